//! The state machine that runs in the daemon that holds a service's term.

mod event;
mod held_grants;
mod orders;
mod planning;
mod predecessors;
mod server;
mod shard;
mod status;
mod witness_leases;

pub use {
    event::{Effect, Event, ShardBinding},
    oriolehoist_placement::ServerIndex,
    status::{AssignerStatus, ServerStatus},
};

use {
    crate::{
        Timing,
        assigner::{
            predecessors::Predecessors,
            server::{ResponseOrigin, ServerEntry},
            shard::ShardEntry,
            witness_leases::WitnessLeases,
        },
    },
    oriolehoist_placement::{Bindings, MoveBudget},
    oriolehoist_protocol::{
        Assignment, AssignmentDelta, Epoch, HeartbeatResponse, InstanceName, OrderOutcome,
        OrderResponse, RouteState, ServerName, ShardChange, ShardGrant, ShardId, Term, TermRecord,
        Version,
    },
    oriolehoist_time::Millis,
};

/// Assigns the shards of one service, under one term or several successive terms of one holder.
///
/// [`Assigner::step`] handles an event and returns the messages to send. Messages may be delayed,
/// duplicated or lost, because a renewed grant is measured from a time that the server has reported
/// and not from the arrival of the renewal.
#[derive(Clone, Debug)]
pub struct Assigner {
    timing: Timing,
    budget: MoveBudget,
    record: TermRecord,
    witness_leases: WitnessLeases,
    predecessors: Predecessors,
    servers: Vec<ServerEntry>,
    shards: Vec<ShardEntry>,
    /// The epoch of the latest grant under the current term.
    last_epoch: Epoch,
    version: Version,
    /// Whether [`Effect::Settled`] has been reported in the current term.
    settled: bool,
    /// Whether a higher term has been seen, after which all events are ignored.
    stepped_down: bool,
    bindings: Bindings,
    moved_shards: u64,
    last_balanced: Millis,
    started_at: Millis,
    /// Since when most servers have been unreachable. Only updated while there are free shards.
    most_unreachable_since: Option<Millis>,
}

impl Assigner {
    /// Creates an assigner under `record`, which this daemon has just written to the store.
    ///
    /// `last_known` is the newest assignment that was found. It only determines which server is
    /// preferred for a shard. It does not prove that the server owns the shard.
    pub fn new(
        now: Millis,
        timing: Timing,
        budget: MoveBudget,
        record: TermRecord,
        last_known: &Assignment,
    ) -> Assigner {
        let servers: Vec<_> = record.servers.iter().map(ServerEntry::new).collect();
        let index_of = |name: &ServerName| servers.iter().position(|s| s.name() == name);
        let shards = last_known
            .shards
            .iter()
            .map(|route| {
                let last_owner = index_of(&route.server).map(ServerIndex);
                ShardEntry::unclaimed(last_owner, route, record.term == Term(1))
            })
            .collect();
        Assigner {
            witness_leases: WitnessLeases::new(&record, timing, now),
            predecessors: Predecessors::new(&record, timing),
            last_epoch: Epoch { term: record.term, sequence: 0 },
            timing,
            budget,
            record,
            servers,
            shards,
            version: Version(1),
            settled: false,
            stepped_down: false,
            bindings: Bindings::default(),
            moved_shards: 0,
            last_balanced: now,
            started_at: now,
            most_unreachable_since: None,
        }
    }

    /// Handles one event at `now` and returns the actions to perform.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.stepped_down {
            return effects;
        }
        let is_tick = matches!(event, Event::Tick);
        match event {
            Event::Tick => {}
            // The terms of another service have nothing to do with this one's.
            Event::OrderResponse { response, .. } | Event::RevokeResponse { response, .. }
                if response.outcome == OrderOutcome::WrongService => {}
            Event::OrderResponse { server, sent, is_probe, response } => {
                self.on_order_response(now, server, sent, is_probe, &response);
            }
            Event::RevokeResponse { server, grants, response } => {
                self.on_revoke_response(server, &response, &grants);
            }
            Event::HeartbeatResponse { from, sent, response } => {
                self.on_heartbeat_response(&from, sent, &response);
            }
            Event::AcceptTermResponse { from, response } => {
                self.predecessors.on_response(now, &from, self.record.term, &response);
                self.step_down_if_higher(response.accepted);
            }
            // The following events take effect on the next tick.
            Event::ServersLeaving(names) => {
                self.set_leaving(&names);
                return effects;
            }
            Event::Bindings(bindings) => {
                self.set_bindings(&bindings);
                return effects;
            }
        }
        if self.stepped_down {
            effects.push(Effect::StepDown);
            return effects;
        }
        self.advance(now, is_tick, &mut effects);
        effects
    }

    /// Continues under a new record of the same holder, with different witnesses or servers, or
    /// without unsettled witness sets.
    ///
    /// A server that is listed at a new address is another process, and the one at the previous
    /// address may still be running. It keeps its shards until they have been moved.
    pub fn adopt_record(&mut self, now: Millis, record: TermRecord) {
        let higher = record.term > self.record.term;
        for listed in &record.servers {
            match self.servers.iter_mut().find(|s| s.address() == listed.address) {
                Some(entry) => entry.set_name(&listed.name),
                None => self.servers.push(ServerEntry::new(listed)),
            }
        }
        for entry in &mut self.servers {
            let listed = record.servers.iter().any(|s| s.address == entry.address());
            entry.set_removed(!listed);
        }
        if higher {
            self.witness_leases = WitnessLeases::new(&record, self.timing, now);
            self.last_epoch = Epoch { term: record.term, sequence: 0 };
            self.settled = false;
            // Versions are only comparable within a term, so every route counts as changed.
            self.version = Version(1);
            for shard in &mut self.shards {
                shard.mark_changed(self.version);
            }
        }
        self.record = record;
    }

    /// Returns the current record.
    pub fn record(&self) -> &TermRecord {
        &self.record
    }

    /// Returns whether leases of a majority of the witnesses are in force at `now`.
    pub fn has_quorum(&self, now: Millis) -> bool {
        self.witness_leases.has_quorum(now)
    }

    /// Returns the number of witnesses that have not granted a lease for longer than `silence`.
    pub fn silent_witnesses(&self, now: Millis, silence: Millis) -> usize {
        self.witness_leases.silent_witnesses(now, silence)
    }

    /// Returns the current version of the assignment.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the delta from version `held` of this term to the current version, or `None` if
    /// `held` is up to date. The delta contains the full assignment if `held` is zero.
    pub fn delta_since(&self, held: Version) -> Option<AssignmentDelta> {
        let base = (held > Version::default()).then_some(held);
        let changed = |shard: &ShardEntry| base.is_none_or(|base| shard.changed_at() > base);
        let changes = self
            .shard_ids()
            .zip(&self.shards)
            .filter(|(_, shard)| changed(shard))
            .map(|(shard, entry)| ShardChange { shard, route: entry.route(&self.servers) });
        (held < self.version).then(|| AssignmentDelta {
            base,
            version: self.version,
            shard_count: u32::try_from(self.shards.len()).unwrap_or(u32::MAX),
            changes: changes.collect(),
        })
    }

    /// Returns the full assignment, for the store.
    pub fn assignment(&self) -> Assignment {
        Assignment {
            service: self.record.service.clone(),
            term: self.record.term,
            version: self.version,
            shards: self.shards.iter().map(|s| s.route(&self.servers)).collect(),
        }
    }

    /// Returns the address on which a server receives orders.
    pub fn server_address(&self, server: ServerIndex) -> std::net::SocketAddr {
        self.servers[server.0].address()
    }

    /// Returns a summary for operators and metrics.
    pub fn status(&self, now: Millis) -> AssignerStatus {
        AssignerStatus {
            service: self.record.service.clone(),
            term: self.record.term,
            has_quorum: self.has_quorum(now),
            settled: self.settled,
            unowned_shards: self.shards.iter().filter(|s| !s.is_confirmed()).count(),
            moved_shards: self.moved_shards,
            servers: self
                .servers
                .iter()
                .enumerate()
                .map(|(index, entry)| {
                    let owned = |s: &&ShardEntry| s.owner() == Some(ServerIndex(index));
                    ServerStatus {
                        name: entry.name().clone(),
                        reachable: entry.is_reachable(now, &self.timing),
                        leaving: entry.is_leaving(),
                        shards: self.shards.iter().filter(owned).count(),
                        load: entry.load(),
                    }
                })
                .collect(),
        }
    }

    fn on_order_response(
        &mut self,
        now: Millis,
        server: ServerIndex,
        sent: Millis,
        is_probe: bool,
        response: &OrderResponse,
    ) {
        self.step_down_if_higher(response.highest_term);
        let entry = &mut self.servers[server.0];
        match entry.on_response(now, sent, response) {
            ResponseOrigin::Previous => return,
            ResponseOrigin::Current => {}
            // A previous assigner may have given grants to the new incarnation. Its response to a
            // probe lists them.
            ResponseOrigin::New => self.mark_shards_unclaimed(server),
        }
        let accepted =
            response.outcome == OrderOutcome::Accepted && response.highest_term == self.record.term;
        if accepted && is_probe {
            self.servers[server.0].set_fenced();
            self.adopt_grants(now, server, &response.held);
        }
        if accepted {
            self.confirm_grants(server, response.list);
        }
    }

    /// Handles a server's response that no work is in flight under these grants any more.
    fn on_revoke_response(
        &mut self,
        server: ServerIndex,
        response: &OrderResponse,
        grants: &[ShardGrant],
    ) {
        let accepted =
            response.outcome == OrderOutcome::Accepted && response.highest_term == self.record.term;
        // A restarted server has no work in flight because it has lost it, not because it has ended.
        if !accepted || !self.servers[server.0].is_current(response.incarnation) {
            return;
        }
        for grant in grants {
            let version = self.version.next();
            let Some(shard) = self.shards.get_mut(grant.shard.index()) else { continue };
            if shard.finish_revocation(server, grant.epoch) {
                shard.mark_changed(version);
                self.version = version;
                self.servers[server.0].change_list();
            }
        }
    }

    fn on_heartbeat_response(
        &mut self,
        from: &InstanceName,
        sent: Millis,
        response: &HeartbeatResponse,
    ) {
        self.step_down_if_higher(response.accepted);
        if response.lease_granted {
            self.witness_leases.on_granted(from, response.incarnation, sent);
        }
    }

    /// Steps down if `seen` is higher than the term of this assigner.
    fn step_down_if_higher(&mut self, seen: Term) {
        self.stepped_down |= seen > self.record.term;
    }

    fn set_leaving(&mut self, names: &[ServerName]) {
        for entry in &mut self.servers {
            entry.set_leaving(names.contains(entry.name()));
        }
    }

    fn set_bindings(&mut self, bindings: &[ShardBinding]) {
        self.bindings = Bindings::default();
        for binding in bindings {
            let allowed = (0..self.servers.len())
                .filter(|&index| binding.servers.contains(self.servers[index].name()))
                .map(ServerIndex);
            self.bindings.bind(binding.shard, allowed);
        }
    }

    /// Returns whether this assigner may send orders that change or extend grants. It must have a
    /// quorum of witness leases, and no previous holder may have one any more.
    ///
    /// It is not sufficient that servers refuse orders of previous holders, because a restarted
    /// server no longer knows which terms it has seen.
    fn may_act(&self, now: Millis) -> bool {
        self.has_quorum(now) && self.predecessors.leases_have_expired(now)
    }

    /// Updates the state of shards and servers, and collects the messages to send.
    fn advance(&mut self, now: Millis, is_tick: bool, effects: &mut Vec<Effect>) {
        self.predecessors.request_acceptance(now, self.record.term, effects);
        self.free_unclaimed(now);
        self.update_lost_owners(now);
        self.free_expired(now);
        if self.may_act(now) {
            self.grant_free_shards(now);
        }
        if is_tick {
            self.clear_old_losses(now);
        }
        if is_tick && self.may_act(now) {
            self.plan_moves(now);
            self.send_revocations(now, effects);
        }
        self.send_orders(now, effects);
        self.report_settled(now, effects);
    }

    /// Reports once that no grant of a previous holder can be in force any more, nor one to a
    /// server that is no longer listed.
    fn report_settled(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        let mut owners = self.shards.iter().filter_map(ShardEntry::owner);
        let has_unlisted_owner = owners.any(|owner| self.servers[owner.0].is_removed());
        if self.predecessors.grants_have_expired(now) && !has_unlisted_owner && !self.settled {
            self.settled = true;
            effects.push(Effect::Settled);
        }
    }

    fn shard_ids(&self) -> impl Iterator<Item = ShardId> + use<> {
        (0..u32::try_from(self.shards.len()).unwrap_or(u32::MAX)).map(ShardId)
    }

    /// Returns the current route state of `shard`.
    pub fn route_state(&self, shard: ShardId) -> Option<RouteState> {
        self.shards.get(shard.index()).map(|s| s.route(&self.servers).state)
    }
}
