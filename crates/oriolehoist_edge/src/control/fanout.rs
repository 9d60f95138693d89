//! Sends the state to other daemons: the assigner to relays or, if there are few daemons, to all of
//! them, and a relay to its children.

use {
    crate::{
        control::{
            actor::{Control, Role},
            message::{Member, SyncMessage, SyncResponse},
            peer_state::PeerState,
            peers::send_sync,
        },
        process::{LoadPeers, Shared},
    },
    kameo::actor::ActorRef,
    oriolehoist_fleet::{Candidate, MAX_DIRECT, Relays},
    oriolehoist_protocol::SuspectNews,
    oriolehoist_reach::ReachSummary,
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// The minimum time between two sync messages to a peer.
pub(super) const SYNC_INTERVAL: Millis = Millis(200);
/// The maximum rate at which a daemon sends sync messages, over all peers.
const MAX_SYNCS_PER_SECOND: u64 = 100;
/// The minimum time between two messages to a daemon that does not respond, if there are relays.
const UNRESPONSIVE_INTERVAL: Millis = Millis(1000);
/// How long after its last response a daemon without an entry in the store counts as running.
const RESPONDING_PERIOD: Millis = Millis(3000);
/// How long a report of the servers that a daemon reaches is used.
const REACH_REPORT_TTL: Millis = Millis(1000);
/// The maximum rate of messages to daemons that don't respond, if there are relays.
const MAX_UNRESPONSIVE_SYNCS_PER_SECOND: u64 = 20;
/// The maximum number of large sync messages in flight. Together they have to pass the link of a
/// small instance before they time out.
const MAX_BULK_SYNCS: usize = 2;

/// A daemon that gets messages from this one.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) member: Member,
    /// The time between two messages.
    pub(super) interval: Millis,
    /// The daemons that it relays the state to.
    pub(super) children: Vec<SmolStr>,
}

/// What a daemon knows about those that it sends the state to.
#[derive(Debug, Default)]
pub(crate) struct Fanout {
    /// The state of each peer, by the name of its instance.
    peers: HashMap<SmolStr, PeerState>,
    targets: Vec<Target>,
    /// When the targets are determined again.
    refresh_at: Millis,
}

impl Fanout {
    /// Returns the state of a peer. A new incarnation starts without any state.
    pub(super) fn peer(&mut self, now: Millis, member: &Member) -> &mut PeerState {
        let new = || PeerState::new(now, member.incarnation);
        let peer = self.peers.entry(member.instance.clone()).or_insert_with(new);
        if peer.incarnation != member.incarnation {
            *peer = new();
        }
        peer
    }

    /// Handles a peer's response, or `None` if there was none.
    pub(super) fn on_synced(&mut self, now: Millis, to: &Member, response: Option<&SyncResponse>) {
        let peer = self.peer(now, to);
        peer.sync_in_flight = false;
        peer.bulk_in_flight = false;
        peer.confirmed = response.map(|response| response.versions);
        peer.responds = response.is_some();
        // A daemon that knows none does not say so.
        let digest = |news: &SuspectNews| news.digest;
        peer.suspects = response.map(|response| response.suspects.as_ref().map_or(0, digest));
        let Some(response) = response else {
            // A relay is replaced at once.
            self.refresh_at = Millis::ZERO;
            return;
        };
        peer.responded_at = now;
        peer.reach = response.reach;
        let is_target = |target: &&Target| target.member.instance == to.instance;
        let Some(relay) = self.targets.iter().find(is_target) else { return };
        for child in &relay.children {
            let Some(peer) = self.peers.get_mut(child) else { continue };
            peer.responds = !response.unresponsive.contains(child);
            if peer.responds {
                peer.responded_at = now;
            }
        }
    }

    /// Returns the peers that did not confirm the last message.
    pub(super) fn unresponsive(&self) -> Vec<SmolStr> {
        let failing = self.peers.iter().filter(|(_, peer)| !peer.responds);
        failing.map(|(instance, _)| instance.clone()).collect()
    }

    /// Returns whether a daemon has responded lately, to this one or to its relay.
    pub(super) fn responds(&self, now: Millis, member: &Member) -> bool {
        self.peers.get(&member.instance).is_some_and(|peer| {
            peer.incarnation == member.incarnation
                && peer.responds
                && now.since(peer.responded_at) < RESPONDING_PERIOD
        })
    }

    /// Returns what the peers have reported lately of the servers that they reach.
    pub(super) fn reach_reports(&self, now: Millis) -> Vec<ReachSummary> {
        let fresh = self
            .peers
            .values()
            .filter(|peer| peer.responds && now.since(peer.responded_at) < REACH_REPORT_TTL);
        fresh.filter_map(|peer| peer.reach).collect()
    }

    /// Forgets the peers that are not among `instances`.
    pub(super) fn retain(&mut self, instances: &[SmolStr]) {
        self.peers.retain(|instance, _| instances.contains(instance));
    }

    /// Makes the next messages to all peers due.
    pub(super) fn send_soon(&mut self) {
        for peer in self.peers.values_mut() {
            peer.next_sync_at = Millis::ZERO;
        }
    }

    /// Determines again to whom the assigner sends messages with the next ones.
    pub(super) fn refresh(&mut self) {
        self.refresh_at = Millis::ZERO;
    }

    /// Returns to whom the assigner sends messages. `members` are all other daemons.
    fn assigner_targets(&mut self, now: Millis, members: &[&Member]) -> &[Target] {
        if now < self.refresh_at {
            return &self.targets;
        }
        self.refresh_at = now + SYNC_INTERVAL;
        let mut candidates = Vec::new();
        for member in members {
            candidates.push(Candidate {
                zone: member.zone.clone(),
                size: member.size,
                responds: self.peer(now, member).responds,
                can_relay: member.relays,
            });
        }
        let relays = Relays::plan(&candidates);
        let has_relays = !relays.groups.is_empty();
        let (groups, direct) = (relays.groups.len() as u64, relays.direct.len() as u64);
        let direct_interval = match has_relays {
            true => {
                UNRESPONSIVE_INTERVAL.max(Millis(direct * 1000 / MAX_UNRESPONSIVE_SYNCS_PER_SECOND))
            }
            false => SYNC_INTERVAL.max(Millis(direct * 1000 / MAX_SYNCS_PER_SECOND)),
        };
        let relay_interval = SYNC_INTERVAL.max(Millis(groups * 1000 / MAX_SYNCS_PER_SECOND));
        let name = |index: &usize| members[*index].instance.clone();
        let grouped = relays.groups.iter().map(|group| Target {
            member: members[group.relay].clone(),
            interval: relay_interval,
            children: group.children.iter().map(name).collect(),
        });
        let direct = relays.direct.iter().map(|index| Target {
            member: members[*index].clone(),
            interval: direct_interval,
            children: Vec::new(),
        });
        self.targets = grouped.chain(direct).collect();
        &self.targets
    }
}

impl Control {
    /// Sends the relays, or all daemons if there are few, the parts of the state that they lack. The
    /// messages also show that the assigner is alive.
    pub(super) fn sync_peers(&mut self, control: &ActorRef<Control>, resigning: bool) {
        let now = self.now();
        let Role::Assigner(_) = &self.role else { return };
        let others = self.registered_members.iter();
        let others: Vec<&Member> =
            others.filter(|member| !member.is_same_run(&self.local)).collect();
        if others.len() <= MAX_DIRECT {
            self.fanout.refresh();
        }
        let targets = self.fanout.assigner_targets(now, &others).to_vec();
        let intervals = targets.iter().map(|target| target.interval);
        self.sync_interval = intervals.min().unwrap_or(SYNC_INTERVAL).max(SYNC_INTERVAL);
        self.send_syncs(control, &targets, resigning);
        let relays = targets.iter().filter(|target| !target.children.is_empty());
        let relays: Vec<SocketAddr> = relays.map(|target| target.member.address).collect();
        self.cx.set_load_peers(match relays.is_empty() {
            true => LoadPeers::All,
            false => LoadPeers::Relayed { up: relays, down: Vec::new() },
        });
    }

    /// Sends the parts of the state that they lack to those targets whose message is due, or that
    /// lack any.
    pub(super) fn send_syncs(
        &mut self,
        control: &ActorRef<Control>,
        targets: &[Target],
        resigning: bool,
    ) {
        let now = self.now();
        let is_assigner = matches!(self.role, Role::Assigner(_));
        let relayed_after = (!is_assigner).then(|| now.since(self.assigner_seen_at));
        let (state, fanout) = (&self.state, &mut self.fanout);
        let relays = targets.iter().filter(|target| !target.children.is_empty());
        let relays: Vec<SmolStr> = relays.map(|target| target.member.instance.clone()).collect();
        let mut bulk_count = fanout.peers.values().filter(|peer| peer.bulk_in_flight).count();
        for Target { member, interval, children } in targets {
            let peer = fanout.peer(now, member);
            let is_due = resigning || now >= peer.next_sync_at;
            let missing = peer.missing_parts(now, state);
            if peer.sync_in_flight || !(is_due || missing.is_some()) {
                continue;
            }
            let mut sync = SyncMessage {
                from: self.local.clone(),
                term: self.term,
                versions: state.versions(),
                // A relay passes a message on with its next one.
                interval: if is_assigner { *interval } else { *interval + SYNC_INTERVAL },
                servers_age: now.since(state.servers_fresh_at),
                config_age: Some(self.cx.config_age()),
                resigning,
                relayed_after,
                children: children.clone(),
                relays: if children.is_empty() { Vec::new() } else { relays.clone() },
                // The relays are enough to know whether others reach these servers.
                asked: if is_assigner { self.asked.clone() } else { Vec::new() },
                evacuations: state
                    .evacuations
                    .news(now, peer.confirmed.and_then(|confirmed| confirmed.evacuations)),
                store: Some(self.cx.store_news(is_assigner)),
                server_speeds: Vec::new(),
                fleet_size: state.fleet.news(now),
                suspects: self.cx.suspect_news(peer.suspects),
                permit_issuer: self.cx.permits.issuer(),
                config: None,
                servers: None,
                routes: None,
                members: None,
            };
            // Large messages take turns, so that the link stays free for orders and for the lease.
            // Meanwhile the peer gets the regular messages.
            let bulk_allowed = bulk_count < MAX_BULK_SYNCS;
            if let Some(missing) = missing.filter(|_| bulk_allowed || !peer.awaits_bulk) {
                let mut complete = sync.clone();
                let is_bulk = missing.add_to(&mut complete, now, state);
                peer.awaits_bulk = is_bulk && !bulk_allowed;
                peer.bulk_in_flight = is_bulk && bulk_allowed;
                bulk_count += usize::from(peer.bulk_in_flight);
                if !peer.awaits_bulk {
                    sync = complete;
                }
            }
            if peer.awaits_bulk && !is_due {
                continue;
            }
            sync.server_speeds = self.speeds.due(now, &mut peer.speeds);
            peer.sync_in_flight = true;
            // A random part keeps the messages to all peers from being sent at the same time.
            peer.next_sync_at = now + Millis(fastrand::u64(interval.0 * 3 / 4..=interval.0));
            let cx: Arc<Shared> = Arc::clone(&self.cx);
            tokio::spawn(send_sync(cx, control.clone(), member.clone(), sync));
        }
    }
}
