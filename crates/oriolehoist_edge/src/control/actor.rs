use {
    crate::{
        control::{
            StoreClient,
            assigner::Assigner,
            claim::Candidacy,
            cluster_state::ClusterState,
            election::campaign,
            fanout::{Fanout, SYNC_INTERVAL},
            message::{ConfigSource, Input, Member},
            peers::confirm_last_term,
            relay::RelayDuty,
            server_speeds::ServerSpeeds,
            tasks::MEMBER_REWRITE_PERIOD,
        },
        process::{LoadPeers, Shared},
        request::DRAIN_MARGIN,
    },
    kameo::{Actor, actor::ActorRef},
    oriolehoist_admission::SuspectWrites,
    oriolehoist_backoff::CallKind,
    oriolehoist_fleet::{Standing, claim_delay, election_delay},
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
/// How long a daemon that starts waits for the servers from the assigner before it reads them.
const FIRST_SERVERS_TIMEOUT: Millis = Millis(2500);
/// With more ranges than this in the stored table, there are many servers and daemons.
const MANY_RANGES: usize = 250;
/// The delay between two attempts to become the assigner.
pub(super) const ELECTION_RETRY_DELAY: Millis = Millis(250);
/// A daemon that has not responded to the assigner for this long is not counted as a member until
/// it responds again.
const MEMBER_TIMEOUT: Millis = Millis::from_secs(20);

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
    /// The term of the last assigner that has said that it gives up its role.
    pub(super) resigned_term: u64,
    /// What this daemon knows about those that it sends the state to.
    pub(super) fanout: Fanout,
    /// The daemons that this one relays the assigner's messages to, if it is a relay.
    pub(super) relay: Option<RelayDuty>,
    /// The short ids of servers of which the assigner asks the others whether they reach them.
    pub(super) asked: Vec<u32>,
    /// How long servers take for a request, according to all daemons.
    pub(super) speeds: ServerSpeeds,
    /// When the crash suspects are stored, if this daemon is the assigner.
    pub(super) suspect_writes: SuspectWrites,
    /// Since when a watch of the servers has been waiting for changes, if one has.
    watching_since: Option<Millis>,
    /// Since when a watch of the configuration has been waiting for changes, if one has.
    config_watched_since: Option<Millis>,
    /// Since when a watch of the evacuated zones has been waiting for changes, if one has.
    evacuations_watched_since: Option<Millis>,
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
            resigned_term: 0,
            fanout: Fanout::default(),
            relay: None,
            asked: Vec::new(),
            speeds: ServerSpeeds::default(),
            suspect_writes: SuspectWrites::default(),
            watching_since: None,
            config_watched_since: None,
            evacuations_watched_since: None,
        }
    }

    pub(super) fn now(&self) -> Millis {
        self.cx.clock.now()
    }

    pub(super) fn tick(&mut self, control: &ActorRef<Control>) {
        self.check_era();
        self.probe_era();
        let now = self.now();
        let successors = self.possible_successors();
        let assigner_timeout = self.assigner_timeout();
        match &mut self.role {
            Role::Follower { next_election_at } => {
                let seen_at = self.assigner_seen_at.max(self.started_at.since(assigner_timeout));
                let overdue = now.since(seen_at).since(assigner_timeout);
                let timed_out = overdue > Millis::ZERO && {
                    let sizes = self.state.members.get().values().map(|member| member.size);
                    let first_start = self.cx.bootstrap.first_start && self.term == 0;
                    let local = &self.local;
                    let lost_percent = self.cx.reach_of_key_holders().lost_percent();
                    let standing = Standing { size: local.size, first_start, lost_percent };
                    overdue > election_delay(&local.instance, standing, sizes)
                };
                if timed_out && self.assigner_reachable {
                    self.assigner_reachable = false;
                    self.cx.permits.set_issuer(None);
                    report(Event::AssignerHeard, format_args!("heard=false term={}", self.term));
                }
                let is_due = (timed_out || successors.is_some()) && now >= *next_election_at;
                if is_due
                    && !self.cx.is_stopping()
                    && self.cx.try_call_store(CallKind::Election, false)
                {
                    self.role = Role::Candidate;
                    let (cx, store) = (Arc::clone(&self.cx), Arc::clone(&self.store));
                    let (member, control) = (self.local.clone(), control.clone());
                    let knows_assignments = !self.state.key_routes().is_empty();
                    let last_term = self.term;
                    let sizes = self.state.members.get().values().map(|member| member.size);
                    let claim_delay = claim_delay(self.local.size, sizes.max());
                    tokio::spawn(async move {
                        let is_last_assigner = match successors {
                            Some(daemons) => confirm_last_term(&cx, &daemons, last_term).await,
                            None => false,
                        };
                        let candidacy =
                            Candidacy { is_last_assigner, knows_assignments, claim_delay };
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
            Role::Assigner(_) => {
                self.look_at_reach(control);
                let Role::Assigner(assigner) = &mut self.role else { return };
                let own = self.cx.take_load_reports();
                assigner.on_load(&own);
                self.speeds.on_load(now, &own);
                self.speeds.update(&self.cx);
                let routes = assigner.tick(&self.cx, &self.store, control);
                self.cx.metrics.set_evacuated_keys(assigner.keys_in_evacuated_zones());
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
        self.sync_children(control);
        self.cx.expire_suspects();
        self.store_suspects(control);
        if !self.publish_role() {
            self.cx.metrics.set_evacuated_keys(0);
        }
        if self.expire_evacuations() || self.state.is_fleet_size_outdated(now) {
            self.state.publish(&self.cx);
        }
        if self.state.expire_servers(&self.cx) {
            if let Role::Assigner(assigner) = &mut self.role {
                assigner.on_servers(now, &self.state, true);
            }
            self.state.publish(&self.cx);
        }
        self.update_readiness();
    }

    /// Tells the tasks whether this daemon is the assigner, and returns that.
    pub(super) fn publish_role(&self) -> bool {
        let is_assigner = matches!(self.role, Role::Assigner(_));
        self.cx.set_assigner_role(is_assigner);
        is_assigner
    }

    /// Returns after how long without a message from the assigner this daemon considers it lost.
    pub(super) fn assigner_timeout(&self) -> Millis {
        self.sync_interval + ASSIGNER_TIMEOUT
    }

    pub(super) fn update_readiness(&self) {
        let can_serve = self.state.can_serve() && self.knows_evacuations();
        let ready = can_serve && !self.cx.is_stopping();
        if self.cx.ready.swap(ready, Ordering::Relaxed) != ready {
            report(Event::Readiness, format_args!("ready={ready}"));
        }
    }

    /// Returns the version of the next change to a part of the state in this daemon's term.
    pub(super) fn next_version(&self, version: TermVersion) -> TermVersion {
        let count = if version.term == self.term { version.count + 1 } else { 1 };
        TermVersion { term: self.term, count }
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
        let Role::Assigner(_) = &self.role else { return };
        self.state.fleet.observe(now, self.registered_members.len());
        let asking = self.registered_members.iter().filter(|member| member.asks_for_permits);
        self.cx.permits.set_asking(asking.count(), self.registered_members.len());
        let mut members = self.registered_members.clone();
        members.retain(|member| {
            member.is_same_run(&self.local)
                || now.since(self.fanout.peer(now, member).responded_at) < MEMBER_TIMEOUT
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

    /// Returns whether the fleet has relays and this daemon hears from the assigner.
    pub(super) fn is_relayed(&self) -> bool {
        !self.confirms_config_itself()
            && matches!(&*self.cx.load_peers(), LoadPeers::Relayed { .. })
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
                match AssignmentTable::decode(&bytes) {
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
            Input::PeerState(state) => self.on_peer_state(*state),
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
            Input::EvacuationsWatched(watched) => {
                self.evacuations_watched_since = watched.then_some(now);
            }
            Input::Evacuations { read_at, zones } => {
                self.on_evacuations_read(control, read_at, zones);
            }
            Input::Members(members) => {
                let mut known = std::mem::replace(&mut self.registered_members, members);
                let era = self.cx.observed_store_era();
                let is_restored =
                    era.is_some_and(|era| now.since(era.since) < MEMBER_REWRITE_PERIOD);
                // The store may have ended the lease of a daemon that it refuses to serve. That one
                // depends on the assigner the more.
                known.retain(|member| is_restored || self.fanout.responds(now, member));
                self.keep_members(known);
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
                let suspects = response.as_ref().and_then(|response| response.suspects.as_ref());
                if let Some(news) = suspects {
                    self.cx.merge_suspects(&news.records, &to.instance);
                }
                let own = response.as_deref().filter(|response| response.is_from(&to));
                self.fanout.on_synced(now, &to, own);
                // A daemon reports its load once, to whichever message comes first.
                let load = response.as_ref().map_or(&[][..], |response| &response.load);
                match &mut self.role {
                    Role::Assigner(assigner) => {
                        assigner.on_load(load);
                        self.speeds.on_load(now, load);
                    }
                    _ => {
                        let term = response.as_ref().map_or(0, |response| response.term);
                        self.on_child_synced(load, term);
                    }
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
                if shows(self.evacuations_watched_since) {
                    self.confirm_evacuations(sent_at);
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
            Input::SuspectsRead { term, stored } => self.suspect_writes.on_read(term.0, stored),
            Input::SuspectsWritten { term, written } => {
                self.suspect_writes.on_written(now, term.0, written);
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
        matches!(self.role, Role::Assigner(_)) || (stale && !self.awaits_first_servers())
    }

    /// Returns whether this daemon has just started, and leaves it to the assigner to read the
    /// servers: the callers come later, or there are many daemons that would all read them.
    fn awaits_first_servers(&self) -> bool {
        let is_starting = self.state.servers_fresh_at == Millis::ZERO
            && self.now().since(self.started_at) < FIRST_SERVERS_TIMEOUT;
        let ranges = self.state.key_routes().values().map(|routes| routes.0.len()).sum::<usize>();
        is_starting && (self.cx.bootstrap.first_start || ranges > MANY_RANGES)
    }
}
