use {
    crate::{
        control::{
            election::{RecordWrite, write_record},
            message::SyncPlan,
            peers::Peers,
            publish::Publisher,
            service_state::{ServiceState, budget_of, timing_of},
            settings::SettingsInForce,
        },
        process::{DaemonContext, Event as LogEvent, report},
    },
    kameo::{Actor, actor::ActorRef},
    oriolehoist_ownership::ShardBinding,
    oriolehoist_protocol::{
        AssignerContact, PeerHello, Resignation, ServerAddress, ServerName, ServiceName, ShardId,
        Version, build_name,
    },
    oriolehoist_settings::{Binding, Service},
    oriolehoist_time::Millis,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
    },
};

/// How long the daemon waits for all peers to respond before it applies its first settings.
const INITIAL_PEERS_TIMEOUT: Millis = Millis(800);
/// How long the daemon waits for a newer settings version that a peer has announced before it
/// applies its first settings.
const INITIAL_SETTINGS_TIMEOUT: Millis = Millis(3000);

/// How long peers take to report what they reach since this daemon has lost most servers, and how long
/// a report is used.
const REPORT_DELAY: Millis = Millis(400);
/// How many ranks later than the others a daemon tries to take over that does not reach the servers.
const RANKS_BEHIND_IF_CUT_OFF: u32 = 25;

/// The actor that holds all control state of a daemon.
#[derive(Actor)]
pub(crate) struct Control {
    pub(super) cx: Arc<DaemonContext>,
    pub(super) settings: SettingsInForce,
    pub(super) peers: Peers,
    /// The state of each keyed service.
    pub(super) services: BTreeMap<ServiceName, ServiceState>,
    publisher: Publisher,
    /// Whether the daemon is stopping. It then takes over no terms.
    pub(super) stopping: bool,
    /// When the actor was created.
    started: Millis,
}

impl Control {
    pub(crate) fn new(cx: Arc<DaemonContext>, seeds: &[SocketAddr]) -> Control {
        let mut peers = Peers::default();
        peers.add_addresses(cx.clock.now(), cx.identity.address, seeds.iter().copied());
        Control {
            settings: SettingsInForce::default(),
            peers,
            services: BTreeMap::new(),
            publisher: Publisher::default(),
            stopping: false,
            started: cx.clock.now(),
            cx,
        }
    }

    pub(super) fn now(&self) -> Millis {
        self.cx.clock.now()
    }

    /// Publishes a new [`View`](crate::version::View) to the traffic threads.
    pub(super) fn publish(&mut self) {
        if let Some(settings) = self.settings.settings() {
            let version = self.settings.version();
            let leaving = self.peers.leaving_servers();
            self.publisher.publish(&self.cx, version, settings, &self.services, leaving);
        }
    }

    /// Applies the first settings once every peer has responded and any newer version that a peer
    /// announced has arrived. Each of these two waits has a timeout.
    ///
    /// Does nothing if settings are in force.
    pub(super) fn try_apply_initial_settings(&mut self) {
        if self.settings.version() != Version(0) {
            return;
        }
        let now = self.now();
        let newest = self.peers.newest_settings(now);
        let waited = now.since(self.started);
        let peers_consulted = self.peers.have_all_responded() || waited >= INITIAL_PEERS_TIMEOUT;
        let newer_missing =
            newest > self.settings.proposed_version() && waited < INITIAL_SETTINGS_TIMEOUT;
        if peers_consulted && !newer_missing && self.settings.apply_initial() {
            self.on_settings_changed();
        }
    }

    /// Applies the settings in force to the services and publishes them.
    pub(super) fn on_settings_changed(&mut self) {
        self.sync_services();
        self.publish();
    }

    /// Creates the state of each new keyed service, and drops that of services that are no longer
    /// keyed or configured.
    fn sync_services(&mut self) {
        let Some(settings) = self.settings.settings().cloned() else { return };
        let now = self.now();
        let incarnation = self.cx.identity.incarnation;
        let is_keyed = |name: &ServiceName| settings.services.get(name).is_some_and(|s| s.keyed);
        self.services.retain(|name, _| is_keyed(name));
        for (name, service) in settings.services.iter().filter(|(_, s)| s.keyed) {
            let timing = timing_of(&settings.timing_of(service));
            let budget = budget_of(&settings.placement_of(service));
            self.services.entry(name.clone()).or_insert_with(|| {
                ServiceState::new(now, incarnation, name.clone(), service.shards, timing, budget)
            });
        }
    }

    pub(super) fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.settings.settings().and_then(|settings| settings.services.get(name))
    }

    pub(super) fn servers_of(&self, name: &ServiceName) -> Vec<ServerAddress> {
        let targets = self.service(name).into_iter().flat_map(|service| &service.targets);
        targets
            .map(|(name, target)| ServerAddress { name: name.clone(), address: target.address })
            .collect()
    }

    /// Returns the servers of a service that get no new requests, since the settings drain them or
    /// the platform lists them as leaving.
    pub(super) fn leaving_servers_of(&self, name: &ServiceName) -> Vec<ServerName> {
        let leaving: &BTreeSet<ServerName> = self.peers.leaving_servers();
        self.service(name)
            .map(|service| {
                super::publish::leaving_servers_of(service, leaving).into_iter().collect()
            })
            .unwrap_or_default()
    }

    /// Returns which shards of a service may only be owned by certain servers.
    pub(super) fn bindings_of(&self, name: &ServiceName) -> Vec<ShardBinding> {
        let Some(service) = self.service(name) else { return Vec::new() };
        let binding = |binding: &Binding| ShardBinding {
            shard: ShardId::of_key(&binding.key, service.shards),
            servers: binding.targets.clone(),
        };
        service.bindings.iter().map(binding).collect()
    }

    /// Tries to take over the term of an assigner whose heartbeats have stopped, if it is this
    /// daemon's turn.
    pub(super) fn try_take_over(&mut self, name: &ServiceName, actor: &ActorRef<Control>) {
        let now = self.now();
        let mut rank = self.peers.takeover_rank(now, &self.cx.identity, name);
        // Daemons that reach the servers try first.
        if self.cx.reach_of(name).is_mostly_lost() {
            rank.0 += RANKS_BEHIND_IF_CUT_OFF;
        }
        let Some(state) = self.services.get_mut(name) else { return };
        if self.stopping || state.writing_record || !state.follower.should_take_over(now, rank) {
            return;
        }
        // If most peers have had a heartbeat more than two intervals after the last one that
        // reached this daemon, only the link to this daemon is broken.
        let since =
            now.since(state.follower.time_since_heartbeat(now)) + state.timing.heartbeat * 2;
        let counts = self.peers.count_assigner_contacts(now, name, since);
        if counts.in_contact > counts.out_of_contact {
            return;
        }
        let followed_term = state.follower.record().map(|record| record.term);
        let last_known_term = followed_term.max(state.highest_found_term);
        let (peers, servers) = (self.peers.witness_candidates(now), self.servers_of(name));
        let write = RecordWrite::Takeover { last_known_term, peers, servers };
        self.spawn_record_write(name, write, actor);
    }

    pub(super) fn spawn_record_write(
        &mut self,
        name: &ServiceName,
        write: RecordWrite,
        actor: &ActorRef<Control>,
    ) {
        let Some(state) = self.services.get_mut(name) else { return };
        state.writing_record = true;
        tokio::spawn(write_record(Arc::clone(&self.cx), actor.clone(), name.clone(), write));
    }

    /// Returns this daemon's identity and which versions it holds, as the response to `/hello`.
    pub(super) fn hello(&self) -> PeerHello {
        let now = self.now();
        let contact = |state: &ServiceState| AssignerContact {
            service: state.service.clone(),
            last_heartbeat_age: state
                .follower
                .record()
                .map(|_| state.follower.time_since_heartbeat(now)),
            assignment: (state.follower.assignment().term, state.follower.assignment().version),
        };
        let mut known: Vec<SocketAddr> = self.peers.addresses().collect();
        known.push(self.cx.identity.address);
        PeerHello {
            witness: self.cx.identity.clone(),
            zone: self.cx.zone.clone(),
            leaving: self.stopping,
            settings: self.settings.version(),
            known_peers: known,
            assigner_contacts: self.services.values().map(contact).collect(),
            build: Some(build_name()),
            suspects: self.cx.crash_suspects().snapshot(now),
        }
    }

    /// Decides which peers to poll, and from which to fetch newer settings or assignments.
    ///
    /// A daemon that gets no heartbeats fetches the assignment from the live peer that has the
    /// newest one.
    pub(super) fn sync_plan(&self) -> SyncPlan {
        let now = self.now();
        let has_lost_assigner = |state: &&ServiceState| {
            state.follower.time_since_heartbeat(now) > state.timing.lost_after
        };
        let best_source = |state: &ServiceState| {
            let address = self.peers.peer_with_newest_assignment(now, &state.service)?;
            Some((state.service.clone(), address))
        };
        SyncPlan {
            has_settings: self.settings.version() != Version(0),
            poll: self.peers.addresses().collect(),
            settings_from: self.peers.peer_with_newer_settings(now, self.settings.version()),
            assignments_from: self
                .services
                .values()
                .filter(has_lost_assigner)
                .filter_map(best_source)
                .collect(),
        }
    }

    /// Gives up every term that this daemon holds and tells the peers, so that they can take over
    /// without waiting for the heartbeat timeout.
    pub(super) fn resign(&mut self) {
        self.stopping = true;
        let names: Vec<ServiceName> = self.services.keys().cloned().collect();
        for name in &names {
            self.resign_service(name);
        }
    }

    /// Gives up the term of one service, if this daemon holds it, and tells the peers.
    pub(super) fn resign_service(&mut self, name: &ServiceName) {
        let now = self.now();
        let Some(state) = self.services.get_mut(name) else { return };
        let Some(assigner) = state.assigner.take() else { return };
        state.follower.postpone_takeover(now);
        let term = assigner.record().term;
        report(LogEvent::TermLost, format_args!("service {name}: term {term} was given up"));
        let resignation = Resignation { service: name.clone(), term };
        for address in self.peers.addresses() {
            let (cx, message) = (Arc::clone(&self.cx), resignation.clone());
            tokio::spawn(super::send::resign(cx, address, message));
        }
    }

    /// Returns whether this daemon has lost most servers of a service, and a peer reaches them.
    pub(super) fn is_bettered(&mut self, name: &ServiceName) -> bool {
        let now = self.now();
        let own = self.cx.reach_of(name);
        let Some(state) = self.services.get_mut(name) else { return false };
        state.lost_since = own.is_mostly_lost().then(|| state.lost_since.unwrap_or(now));
        let is_known = state.lost_since.is_some_and(|since| now.since(since) >= REPORT_DELAY);
        let fresh = state.heartbeats.reach.values().filter(|(at, _)| now.since(*at) < REPORT_DELAY);
        is_known && fresh.into_iter().any(|(_, reach)| own.is_bettered_by(*reach))
    }
}
