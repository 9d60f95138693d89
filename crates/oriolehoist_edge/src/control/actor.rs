use {
    crate::{
        control::{
            StoreClient,
            assigner::Assigner,
            claim::Candidacy,
            cluster_state::ClusterState,
            election::campaign,
            message::{ConfigSource, Input, Member, SyncMessage},
            peers::{confirm_last_term, send_sync},
            tasks::MEMBER_REWRITE_PERIOD,
        },
        process::Shared,
        request::DRAIN_MARGIN,
    },
    kameo::{Actor, actor::ActorRef},
    oriolehoist_keyspace::AssignmentTable,
    oriolehoist_log::{Event, report},
    oriolehoist_replica::TermVersion,
    oriolehoist_time::Millis,
    std::sync::{Arc, atomic::Ordering},
};

/// How long after the next sync message is due a daemon without contact with the assigner tries to
/// take over the role.
const ASSIGNER_TIMEOUT: Millis = Millis(500);
/// The age at which the server list from the assigner is stale, in addition to the interval between
/// sync messages. The assigner confirms its list with each lease renewal, and the next sync message
/// passes that on. After a change no watch waits for 200 ms, so one renewal may not count.
const SERVERS_STALE_AFTER: Millis = Millis(900);
/// The maximum number of large sync messages in flight. Together they have to pass the link of a
/// small instance before they time out.
const MAX_BULK_SYNCS: usize = 2;
/// The additional delay before an election attempt per rank, so that the daemons don't all try at
/// once.
const ELECTION_STAGGER: Millis = Millis(60);
/// The number of ranks that daemons are divided into by their names.
const ELECTION_RANKS: u32 = 8;
/// The delay between two attempts to become the assigner.
pub(super) const ELECTION_RETRY_DELAY: Millis = Millis(250);
/// The minimum time between two sync messages to a peer.
const SYNC_INTERVAL: Millis = Millis(200);
/// A daemon that has not responded to the assigner for this long is not counted as a member until
/// it responds again.
const MEMBER_TIMEOUT: Millis = Millis::from_secs(20);
/// The maximum rate at which the assigner sends sync messages, over all peers.
const MAX_SYNCS_PER_SECOND: u64 = 100;

/// The actor that owns all control state of a daemon.
#[derive(Actor)]
pub(crate) struct Control {
    pub(super) cx: Arc<Shared>,
    pub(super) store: Arc<StoreClient>,
    pub(super) local: Member,
    pub(super) state: ClusterState,
    /// All registered daemons, including those that don't respond.
    pub(super) registered_members: Vec<Member>,
    pub(super) role: Role,
    /// The state of this daemon's last term as the assigner, if its lease ended and no later
    /// assigner is known.
    pub(super) retired: Option<Box<Assigner>>,
    pub(super) started_at: Millis,
    /// When this daemon last had contact with the assigner.
    pub(super) assigner_seen_at: Millis,
    pub(super) assigner_reachable: bool,
    /// The time within which the assigner sends the next message.
    pub(super) sync_interval: Millis,
    pub(super) term: u64,
    /// Since when a watch of the servers has been waiting for changes, if one has.
    watching_since: Option<Millis>,
    /// Since when a watch of the configuration has been waiting for changes, if one has.
    config_watched_since: Option<Millis>,
}

/// The role of this daemon in the cluster.
pub(super) enum Role {
    Follower {
        next_election_at: Millis,
    },
    /// An attempt to become the assigner is in progress.
    Candidate,
    Assigner(Box<Assigner>),
}

impl Control {
    pub(crate) fn new(cx: Arc<Shared>, store: Arc<StoreClient>, local: Member) -> Control {
        let now = cx.clock.now();
        Control {
            cx,
            store,
            local,
            state: ClusterState::default(),
            registered_members: Vec::new(),
            role: Role::Follower { next_election_at: now },
            retired: None,
            started_at: now,
            assigner_seen_at: Millis::ZERO,
            assigner_reachable: false,
            sync_interval: SYNC_INTERVAL,
            term: 0,
            watching_since: None,
            config_watched_since: None,
        }
    }

    pub(super) fn now(&self) -> Millis {
        self.cx.clock.now()
    }

    pub(super) fn tick(&mut self, control: &ActorRef<Control>) {
        self.check_era();
        let now = self.now();
        let successors = self.possible_successors();
        let assigner_timeout = self.assigner_timeout();
        match &mut self.role {
            Role::Follower { next_election_at } => {
                let rank = u64::from(
                    self.local.instance.bytes().map(u32::from).sum::<u32>() % ELECTION_RANKS,
                );
                let timed_out =
                    now.since(self.assigner_seen_at) > assigner_timeout + ELECTION_STAGGER * rank;
                if timed_out && self.assigner_reachable {
                    self.assigner_reachable = false;
                    report(Event::AssignerHeard, format_args!("heard=false term={}", self.term));
                }
                let is_due = (timed_out || successors.is_some()) && now >= *next_election_at;
                if is_due && !self.cx.is_stopping() {
                    self.role = Role::Candidate;
                    let (cx, store) = (Arc::clone(&self.cx), Arc::clone(&self.store));
                    let (member, control) = (self.local.clone(), control.clone());
                    let knows_assignments = !self.state.key_routes().is_empty();
                    let last_term = self.term;
                    tokio::spawn(async move {
                        let is_last_assigner = match successors {
                            Some(daemons) => confirm_last_term(&cx, &daemons, last_term).await,
                            None => false,
                        };
                        let candidacy = Candidacy { is_last_assigner, knows_assignments };
                        let outcome = campaign(&cx, &store, &member, candidacy).await;
                        // The actor runs until the process exits.
                        let _ = control.tell(Input::ElectionEnded { outcome, candidacy }).await;
                    });
                }
            }
            Role::Candidate => {}
            Role::Assigner(assigner) if assigner.suspension.is_some() => {
                self.sync_peers(control, false);
                self.reclaim(control);
            }
            Role::Assigner(assigner) if !assigner.holds_lease(now) => {
                self.sync_peers(control, true);
                self.retire("the lease could not be renewed");
            }
            Role::Assigner(assigner) => {
                let own = self.cx.take_load_reports();
                assigner.on_load(&own);
                let routes = assigner.tick(&self.cx, &self.store, control);
                // The known routes show who holds the keys until unknown grants have expired.
                let routes_known = !assigner.awaits_unknown_grants(now);
                if routes_known && routes != *self.state.key_routes() {
                    let version = self.next_version(self.state.routes.version());
                    self.state.set_routes(version, routes);
                    self.state.publish(&self.cx);
                }
                self.update_members();
                self.sync_peers(control, false);
            }
        }
        if self.state.expire_servers(&self.cx) {
            if let Role::Assigner(assigner) = &mut self.role {
                assigner.on_servers(now, &self.state, true);
            }
            self.state.publish(&self.cx);
        }
        self.update_readiness();
    }

    /// Returns after how long without a message from the assigner this daemon considers it lost.
    pub(super) fn assigner_timeout(&self) -> Millis {
        self.sync_interval + ASSIGNER_TIMEOUT
    }

    pub(super) fn update_readiness(&self) {
        let ready = self.state.can_serve() && !self.cx.is_stopping();
        if self.cx.ready.swap(ready, Ordering::Relaxed) != ready {
            report(Event::Readiness, format_args!("ready={ready}"));
        }
    }

    /// Returns the version of the next change to a part of the state in this daemon's term.
    pub(super) fn next_version(&self, version: TermVersion) -> TermVersion {
        let count = if version.term == self.term { version.count + 1 } else { 1 };
        TermVersion { term: self.term, count }
    }

    /// Sends each peer the parts of the state that it lacks. The message also shows that the
    /// assigner is alive.
    pub(super) fn sync_peers(&mut self, control: &ActorRef<Control>, resigning: bool) {
        let now = self.now();
        let Role::Assigner(assigner) = &mut self.role else { return };
        let peers = self.registered_members.len() as u64;
        let interval = SYNC_INTERVAL.max(Millis(peers * 1000 / MAX_SYNCS_PER_SECOND));
        self.sync_interval = interval;
        let state = &self.state;
        let mut bulk_count = assigner.peers.values().filter(|peer| peer.bulk_in_flight).count();
        for member in self.registered_members.iter().filter(|member| **member != self.local) {
            let peer = assigner.peer(now, member);
            let is_due = resigning || now >= peer.next_sync_at;
            let missing = peer.missing_parts(now, state);
            if peer.sync_in_flight || !(is_due || missing.is_some()) {
                continue;
            }
            let mut sync = SyncMessage {
                from: self.local.clone(),
                term: self.term,
                versions: state.versions(),
                interval,
                servers_age: now.since(state.servers_fresh_at),
                config_age: Some(self.cx.config_age()),
                resigning,
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
            peer.sync_in_flight = true;
            // A random part keeps the messages to all peers from being sent at the same time.
            peer.next_sync_at = now + Millis(fastrand::u64(interval.0 * 3 / 4..=interval.0));
            tokio::spawn(send_sync(Arc::clone(&self.cx), control.clone(), member.clone(), sync));
        }
    }

    /// Keeps known members although they are not registered.
    fn keep_members(&mut self, known: Vec<Member>) {
        let members = &mut self.registered_members;
        let is_missing =
            |member: &Member| members.iter().all(|listed| listed.instance != member.instance);
        let missing: Vec<Member> = known.into_iter().filter(is_missing).collect();
        members.extend(missing);
        members.sort_by(|a, b| a.instance.cmp(&b.instance));
    }

    /// Updates the members to the registered daemons that respond.
    fn update_members(&mut self) {
        let now = self.now();
        let Role::Assigner(assigner) = &mut self.role else { return };
        let mut members = self.registered_members.clone();
        members.retain(|member| {
            *member == self.local
                || now.since(assigner.peer(now, member).responded_at) < MEMBER_TIMEOUT
        });
        if !members.iter().eq(self.state.members.get().values()) {
            report(
                Event::MembersChanged,
                format_args!(
                    "members={} registered={}",
                    members.len(),
                    self.registered_members.len()
                ),
            );
            let version = self.next_version(self.state.members.version());
            let members = members.into_iter().map(|member| (member.instance.clone(), member));
            self.state.members.set(version, members.collect());
            self.state.publish(&self.cx);
        }
    }

    /// Returns whether this daemon's own watch is all that confirms its configuration: as the
    /// assigner, or without contact with one.
    pub(super) fn confirms_config_itself(&self) -> bool {
        matches!(self.role, Role::Assigner(_)) || !self.assigner_reachable
    }

    pub(super) fn on_input(&mut self, control: &ActorRef<Control>, input: Input) {
        let now = self.now();
        self.check_era();
        match input {
            Input::Tick => self.tick(control),
            Input::ConfigWatched(watched) => self.config_watched_since = watched.then_some(now),
            Input::ConfigConfirmed(at) => self.state.confirm_config(&self.cx, at),
            Input::Config { bytes, source } => {
                let changed = self.state.merge_config(&self.cx, &bytes, &source);
                if let ConfigSource::Store(call) = source {
                    self.state.confirm_config(&self.cx, call.started_at);
                }
                if changed {
                    if let Role::Assigner(assigner) = &mut self.role {
                        assigner.on_servers(now, &self.state, false);
                    }
                    self.state.publish(&self.cx);
                    self.sync_peers(control, false);
                }
            }
            Input::StoredTable(bytes) => {
                let is_initial = self.state.routes.version() == TermVersion::default();
                match serde_json::from_slice::<AssignmentTable>(&bytes) {
                    Ok(table) if is_initial => {
                        self.state.set_routes(TermVersion::default(), table.routes());
                        self.state.publish(&self.cx);
                        self.update_readiness();
                    }
                    Ok(_) => {}
                    Err(error) => {
                        let text =
                            format_args!("table=\"failed to decode the stored table: {error}\"");
                        report(Event::TermAttemptFailed, text);
                    }
                }
            }
            Input::ServersWatched(watched) => self.watching_since = watched.then_some(now),
            Input::Servers { read_at, registry } => {
                self.watching_since = None;
                let changed = self.state.merge_registry(&self.cx, read_at, registry);
                if let Role::Assigner(assigner) = &mut self.role {
                    assigner.wait_for_servers(self.state.registry.settles_at());
                    assigner.on_servers(now, &self.state, changed);
                }
                if changed {
                    self.state.publish(&self.cx);
                    self.tick(control);
                }
            }
            Input::Members(members) => {
                let known = std::mem::replace(&mut self.registered_members, members);
                let era = self.cx.observed_store_era();
                if era.is_some_and(|era| now.since(era.since) < MEMBER_REWRITE_PERIOD) {
                    self.keep_members(known);
                }
                self.update_members();
            }
            Input::ElectionEnded { outcome, candidacy } => {
                self.on_election_ended(control, outcome, candidacy);
            }
            Input::Synced { to, response } => {
                if let Some(response) = &response {
                    self.observe_era_of(&response.versions);
                }
                let newer_config = response.as_ref().and_then(|response| response.config.clone());
                let has_higher_term =
                    response.as_ref().is_some_and(|response| response.term > self.term);
                if let Role::Assigner(assigner) = &mut self.role {
                    let (own, other) = match &response {
                        Some(response) if !response.is_from(&to) => (None, Some(response)),
                        response => (response.as_ref(), None),
                    };
                    assigner.on_synced(now, &to, own);
                    // A daemon reports its load once, to whichever message comes first.
                    assigner.on_load(other.map_or(&[], |response| &response.load));
                }
                if let Some(bytes) = newer_config {
                    let source = ConfigSource::Daemon(to.instance.clone());
                    self.on_input(control, Input::Config { bytes, source });
                }
                if has_higher_term {
                    self.step_down("a peer reported a higher term");
                }
            }
            Input::LeaseRenewed { term, sent_at, response } => {
                // The store is reachable, and a watch that has been waiting there since before the
                // renewal would have reported any change.
                let shows = |watched_since: Option<Millis>| {
                    response.is_ok() && watched_since.is_some_and(|since| since <= sent_at)
                };
                if shows(self.watching_since) {
                    self.state.confirm_servers(&self.cx, sent_at);
                }
                if shows(self.config_watched_since) {
                    self.state.confirm_config(&self.cx, sent_at);
                }
                self.with_assigner_of_term(term, "the lease is no longer valid", |assigner| {
                    assigner.on_lease_renewed(now, sent_at, &response)
                });
            }
            Input::TableWritten { term, version, outcome } => {
                self.with_assigner_of_term(term, "another daemon is the assigner", |assigner| {
                    assigner.on_table_written(now, version, &outcome)
                });
                self.tick(control);
            }
            Input::OrderEnded { term, service, order_id, outcome } => {
                let current = match &mut self.role {
                    Role::Assigner(assigner) => Some(assigner),
                    _ => None,
                };
                let mut assigners = current.into_iter().chain(&mut self.retired);
                if let Some(assigner) = assigners.find(|assigner| assigner.first_term == term) {
                    assigner.on_order_ended(now, &service, order_id, &outcome);
                }
                self.tick(control);
            }
        }
    }

    /// Runs `act` if this daemon is the assigner of `term`. If it returns false, the role is lost
    /// and this daemon steps down.
    fn with_assigner_of_term(
        &mut self,
        term: oriolehoist_port::Revision,
        reason: &str,
        act: impl FnOnce(&mut Assigner) -> bool,
    ) {
        let still_assigner = match &mut self.role {
            Role::Assigner(assigner)
                if assigner.term_lease.term == term && assigner.suspension.is_none() =>
            {
                act(assigner)
            }
            _ => true,
        };
        if !still_assigner {
            self.step_down(reason);
        }
    }

    /// Returns whether this daemon reads the servers from the store itself: as the assigner, or
    /// because the list from the assigner is stale.
    pub(super) fn reads_servers(&self) -> bool {
        // A daemon that reads the servers itself must learn of a drain before the drain period ends.
        // With a short period it would read them all the time.
        let drain_limit = self.cx.bootstrap.bounds.drain_period.since(DRAIN_MARGIN);
        let stale_after =
            (self.sync_interval + SERVERS_STALE_AFTER).min(drain_limit.max(SERVERS_STALE_AFTER));
        let stale = self.now().since(self.state.servers_fresh_at) > stale_after;
        matches!(self.role, Role::Assigner(_)) || stale
    }
}
