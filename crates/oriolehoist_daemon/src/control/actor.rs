use {
    crate::{
        control::{
            cell::{Cell, budget_of, timing_of},
            election::{Attempt, attempt},
            message::PeerPlan,
            peers::Peers,
            publish::Publisher,
            settings::SettingsInForce,
        },
        process::Shared,
    },
    kameo::{Actor, actor::ActorRef},
    oriolehoist_ownership::ShardBinding,
    oriolehoist_protocol::{
        AssignerContact, PeerHello, Resignation, ServerAddress, ServerName, ServiceName, ShardId,
        Version,
    },
    oriolehoist_settings::{Binding, Service},
    oriolehoist_time::Millis,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::Arc,
    },
};

/// The longest wait for the peers' word before the first settings come into force.
const PEERS_WAIT: Millis = Millis(800);
/// The longest wait for a version that a peer says it has.
const NEWER_WAIT: Millis = Millis(3000);

/// The actor that holds all control state of a daemon.
#[derive(Actor)]
pub(crate) struct Control {
    pub(super) cx: Arc<Shared>,
    pub(super) settings: SettingsInForce,
    pub(super) peers: Peers,
    pub(super) cells: BTreeMap<ServiceName, Cell>,
    publisher: Publisher,
    pub(super) stopping: bool,
    started: Millis,
}

impl Control {
    pub(crate) fn new(cx: Arc<Shared>, seeds: &[SocketAddr]) -> Control {
        let mut peers = Peers::default();
        peers.learn(cx.clock.now(), cx.me.address, seeds.iter().copied());
        Control {
            settings: SettingsInForce::default(),
            peers,
            cells: BTreeMap::new(),
            publisher: Publisher::default(),
            stopping: false,
            started: cx.clock.now(),
            cx,
        }
    }

    pub(super) fn now(&self) -> Millis {
        self.cx.clock.now()
    }

    /// Publishes what the traffic threads use.
    pub(super) fn publish(&mut self) {
        if let Some(settings) = self.settings.settings() {
            let version = self.settings.version();
            let leaving = self.peers.leaving_servers();
            self.publisher.publish(&self.cx, version, settings, &self.cells, leaving);
        }
    }

    /// Puts the first settings in force once every peer was asked, or could have answered.
    pub(super) fn consider_first_settings(&mut self) {
        if self.settings.version() != Version(0) {
            return;
        }
        let now = self.now();
        let newest = self.peers.newest_settings(now);
        let waited = now.since(self.started);
        let asked = self.peers.all_asked() || waited >= PEERS_WAIT;
        let newer_missing = newest > self.settings.first_proposed() && waited < NEWER_WAIT;
        if asked && !newer_missing && self.settings.accept_first() {
            self.on_settings_changed();
        }
    }

    /// Puts what has changed in the settings into use.
    pub(super) fn on_settings_changed(&mut self) {
        self.adjust_cells();
        self.publish();
    }

    /// Makes a cell for each service that is split by key, and drops the others.
    fn adjust_cells(&mut self) {
        let Some(settings) = self.settings.settings().cloned() else { return };
        let now = self.now();
        let incarnation = self.cx.me.incarnation;
        let is_keyed = |name: &ServiceName| settings.services.get(name).is_some_and(|s| s.keyed);
        self.cells.retain(|name, _| is_keyed(name));
        for (name, service) in settings.services.iter().filter(|(_, s)| s.keyed) {
            let timing = timing_of(&settings.timing_of(service));
            let budget = budget_of(&settings.placement_of(service));
            self.cells.entry(name.clone()).or_insert_with(|| {
                Cell::new(now, incarnation, name.clone(), service.shards, timing, budget)
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

    /// Returns the servers of a service that get no new work.
    pub(super) fn leaving_of(&self, name: &ServiceName) -> Vec<ServerName> {
        let listed: &BTreeSet<ServerName> = self.peers.leaving_servers();
        self.service(name)
            .map(|service| super::publish::leaving_of(service, listed).into_iter().collect())
            .unwrap_or_default()
    }

    /// Returns the shards of a service that are bound to certain servers.
    pub(super) fn bindings_of(&self, name: &ServiceName) -> Vec<ShardBinding> {
        let Some(service) = self.service(name) else { return Vec::new() };
        let binding = |binding: &Binding| ShardBinding {
            shard: ShardId::of_key(&binding.key, service.shards),
            servers: binding.targets.clone(),
        };
        service.bindings.iter().map(binding).collect()
    }

    /// Takes a silent assigner's place, if it is this daemon's turn.
    pub(super) fn consider_take_over(&mut self, name: &ServiceName, me: &ActorRef<Control>) {
        let now = self.now();
        let rank = self.peers.rank(now, &self.cx.me, name);
        let Some(cell) = self.cells.get_mut(name) else { return };
        if self.stopping || cell.attempting || !cell.follower.should_take_over(now, rank) {
            return;
        }
        // An assigner that most others still hear is cut off from this daemon only.
        let since = now.since(cell.follower.time_since_heartbeat(now)) + cell.timing.heartbeat * 2;
        let hearing = self.peers.hearing(now, name, since);
        if hearing.hear > hearing.miss {
            return;
        }
        let heard = cell.follower.record().map(|record| record.term);
        let missed = heard.max(cell.found);
        let (peers, servers) = (self.peers.witnesses(now), self.servers_of(name));
        let attempt = Attempt::TakeOver { missed, peers, servers };
        self.start_attempt(name, attempt, me);
    }

    pub(super) fn start_attempt(
        &mut self,
        name: &ServiceName,
        what: Attempt,
        me: &ActorRef<Control>,
    ) {
        let Some(cell) = self.cells.get_mut(name) else { return };
        cell.attempting = true;
        tokio::spawn(attempt(Arc::clone(&self.cx), me.clone(), name.clone(), what));
    }

    /// Returns who this daemon is and what it holds.
    pub(super) fn hello(&self) -> PeerHello {
        let now = self.now();
        let heard = |cell: &Cell| AssignerContact {
            service: cell.service.clone(),
            last_heartbeat_age: cell
                .follower
                .record()
                .map(|_| cell.follower.time_since_heartbeat(now)),
            assignment: (cell.follower.assignment().term, cell.follower.assignment().version),
        };
        let mut known: Vec<SocketAddr> = self.peers.addresses().collect();
        known.push(self.cx.me.address);
        PeerHello {
            witness: self.cx.me.clone(),
            zone: self.cx.zone.clone(),
            leaving: self.stopping,
            settings: self.settings.version(),
            known_peers: known,
            assigner_contacts: self.cells.values().map(heard).collect(),
        }
    }

    /// Decides whom to greet, and which peer knows something better.
    ///
    /// A daemon that the assigner does not reach takes the assignment from another that it does.
    pub(super) fn peer_plan(&self) -> PeerPlan {
        let now = self.now();
        let unheard =
            |cell: &&Cell| cell.follower.time_since_heartbeat(now) > cell.timing.lost_after;
        let source = |cell: &Cell| {
            let address = self.peers.newest_assignment(now, &cell.service)?;
            Some((cell.service.clone(), address))
        };
        PeerPlan {
            has_settings: self.settings.version() != Version(0),
            greet: self.peers.addresses().collect(),
            settings_from: self.peers.newer_settings(now, self.settings.version()),
            assignments_from: self.cells.values().filter(unheard).filter_map(source).collect(),
        }
    }

    /// Hands every role over, so that others need not wait for this daemon's silence.
    pub(super) fn resign(&mut self) {
        self.stopping = true;
        for cell in self.cells.values_mut() {
            let Some(assigner) = cell.assigner.take() else { continue };
            let term = assigner.record().term;
            let resignation = Resignation { service: cell.service.clone(), term };
            for address in self.peers.addresses() {
                let (cx, message) = (Arc::clone(&self.cx), resignation.clone());
                tokio::spawn(super::send::resign(cx, address, message));
            }
        }
    }
}
