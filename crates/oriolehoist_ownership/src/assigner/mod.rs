//! The state machine of the daemon that holds a service's term.

mod event;
mod holdings;
mod orders;
mod planning;
mod predecessor;
mod server;
mod shard;
mod status;
mod vouching;

pub use {
    event::{Effect, Event, ShardBinding},
    oriolehoist_placement::ServerIndex,
    status::{AssignerStatus, ServerStatus},
};

use {
    crate::{
        Timing,
        assigner::{
            predecessor::Predecessors,
            server::{Life, ServerEntry},
            shard::ShardEntry,
            vouching::Vouching,
        },
    },
    oriolehoist_placement::{Bindings, MoveBudget},
    oriolehoist_protocol::{
        Assignment, AssignmentDelta, Epoch, HeartbeatAnswer, InstanceName, OrderOutcome,
        RouteState, ServerAnswer, ServerName, ShardChange, ShardGrant, ShardId, Term, TermRecord,
        Version,
    },
    oriolehoist_time::Millis,
};

/// Assigns the shards of one service under one term, or under a run of its own successive terms.
///
/// Drive it with [`Assigner::step`]; it answers with the messages to send. Sending late, twice or
/// never is safe: a renewal counts from a time that the server gave, not from when it arrives.
#[derive(Clone, Debug)]
pub struct Assigner {
    timing: Timing,
    budget: MoveBudget,
    record: TermRecord,
    vouching: Vouching,
    predecessors: Predecessors,
    servers: Vec<ServerEntry>,
    shards: Vec<ShardEntry>,
    last_epoch: Epoch,
    version: Version,
    settled: bool,
    stepped_down: bool,
    bound: Bindings,
    moved: u64,
    balanced: Millis,
    started: Millis,
    /// Since when shards are free while most servers are out of reach.
    scarce_since: Option<Millis>,
}

impl Assigner {
    /// Starts assigning under `record`, which this daemon has just written to the store.
    ///
    /// `known` is the newest assignment that could be found. It is only a preference: it says
    /// which server to try first, never who owns a shard.
    pub fn new(
        now: Millis,
        timing: Timing,
        budget: MoveBudget,
        record: TermRecord,
        known: &Assignment,
    ) -> Assigner {
        let servers: Vec<_> = record.servers.iter().map(ServerEntry::new).collect();
        let index_of = |name: &ServerName| servers.iter().position(|s| s.name() == name);
        let shards = known
            .shards
            .iter()
            .map(|route| {
                let last = index_of(&route.server).map(ServerIndex);
                ShardEntry::unclaimed(last, route, record.term == Term(1))
            })
            .collect();
        Assigner {
            vouching: Vouching::new(&record, timing, now),
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
            bound: Bindings::default(),
            moved: 0,
            balanced: now,
            started: now,
            scarce_since: None,
        }
    }

    /// Takes one event at `now` and returns what to do.
    pub fn step(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.stepped_down {
            return effects;
        }
        let ticked = matches!(event, Event::Tick);
        match event {
            Event::Tick => {}
            Event::ServerAnswered { server, sent, probed, answer } => {
                self.on_server(now, server, sent, probed, &answer);
            }
            Event::Revoked { server, grants, answer } => self.on_revoked(server, &answer, &grants),
            Event::Heartbeat { from, sent, answer } => self.on_heartbeat(&from, sent, &answer),
            Event::TermAccepted { from, answer } => {
                self.predecessors.on_accepted(now, &from, self.record.term, &answer);
                self.step_down_below(answer.accepted);
            }
            // These take effect with the next tick.
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
        self.advance(now, ticked, &mut effects);
        effects
    }

    /// Goes on under a new record of the same holder: other witnesses, other servers, or none
    /// unsettled any more.
    pub fn continue_under(&mut self, now: Millis, record: TermRecord) {
        let higher = record.term > self.record.term;
        for address in &record.servers {
            match self.servers.iter_mut().find(|s| s.name() == &address.name) {
                Some(entry) => entry.set_address(address.address),
                None => self.servers.push(ServerEntry::new(address)),
            }
        }
        for entry in &mut self.servers {
            let named = record.servers.iter().any(|s| s.name == *entry.name());
            entry.set_removed(!named);
        }
        if higher {
            self.vouching = Vouching::new(&record, self.timing, now);
            self.last_epoch = Epoch { term: record.term, sequence: 0 };
            self.settled = false;
            // Routes are versioned within a term, so every one counts as changed.
            self.version = Version(1);
            for shard in &mut self.shards {
                shard.touch(self.version);
            }
        }
        self.record = record;
    }

    /// Returns the record in force.
    pub fn record(&self) -> &TermRecord {
        &self.record
    }

    /// Returns whether a majority of the witnesses vouches for this assigner at `now`.
    pub fn is_vouched(&self, now: Millis) -> bool {
        self.vouching.holds(now)
    }

    /// Returns the witnesses that have not vouched for `silence`.
    pub fn silent_witnesses(&self, now: Millis, silence: Millis) -> usize {
        self.vouching.silent(now, silence)
    }

    /// Returns the present version of the assignment.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns how a peer that holds `held` under this term learns the present version.
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

    /// Returns the whole assignment, for the store.
    pub fn assignment(&self) -> Assignment {
        Assignment {
            service: self.record.service.clone(),
            term: self.record.term,
            version: self.version,
            shards: self.shards.iter().map(|s| s.route(&self.servers)).collect(),
        }
    }

    /// Returns where a server takes orders.
    pub fn address_of(&self, server: ServerIndex) -> std::net::SocketAddr {
        self.servers[server.0].address()
    }

    /// Returns a summary for operators and metrics.
    pub fn status(&self, now: Millis) -> AssignerStatus {
        AssignerStatus {
            service: self.record.service.clone(),
            term: self.record.term,
            vouched: self.is_vouched(now),
            settled: self.settled,
            unowned_shards: self.shards.iter().filter(|s| !s.is_confirmed()).count(),
            moved_shards: self.moved,
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

    fn on_server(
        &mut self,
        now: Millis,
        server: ServerIndex,
        sent: Millis,
        probed: bool,
        answer: &ServerAnswer,
    ) {
        self.step_down_below(answer.highest_term);
        let entry = &mut self.servers[server.0];
        match entry.on_answer(now, sent, answer) {
            Life::Earlier => return,
            Life::Same => {}
            // Its new life may have been granted something by an earlier assigner, which the
            // answer to a probe will tell.
            Life::New => self.disclaim_shards_of(server),
        }
        let in_force =
            answer.outcome == OrderOutcome::Accepted && answer.highest_term == self.record.term;
        if in_force && probed {
            self.servers[server.0].set_fenced();
            self.adopt_held(now, server, &answer.held);
        }
        if in_force {
            self.confirm(server, answer.list);
        }
    }

    /// Takes a server's word that the work in flight under these grants has ended.
    fn on_revoked(&mut self, server: ServerIndex, answer: &ServerAnswer, grants: &[ShardGrant]) {
        if answer.outcome != OrderOutcome::Accepted || answer.highest_term != self.record.term {
            return;
        }
        for grant in grants {
            let version = self.version.next();
            let Some(shard) = self.shards.get_mut(grant.shard.index()) else { continue };
            if shard.finish_move(server, grant.epoch) {
                shard.touch(version);
                self.version = version;
                self.servers[server.0].change_list();
            }
        }
    }

    fn on_heartbeat(&mut self, from: &InstanceName, sent: Millis, answer: &HeartbeatAnswer) {
        self.step_down_below(answer.accepted);
        if answer.vouched {
            self.vouching.on_vouched(from, answer.incarnation, sent);
        }
    }

    fn step_down_below(&mut self, seen: Term) {
        self.stepped_down |= seen > self.record.term;
    }

    fn set_leaving(&mut self, names: &[ServerName]) {
        for entry in &mut self.servers {
            entry.set_leaving(names.contains(entry.name()));
        }
    }

    fn set_bindings(&mut self, bindings: &[ShardBinding]) {
        self.bound = Bindings::default();
        for binding in bindings {
            let allowed = (0..self.servers.len())
                .filter(|&index| binding.servers.contains(self.servers[index].name()))
                .map(ServerIndex);
            self.bound.bind(binding.shard, allowed);
        }
    }

    /// Returns whether this assigner may send orders that change or prolong anything: it is
    /// vouched for, and no earlier holder is any more.
    ///
    /// A server that restarts forgets which terms it has seen, so its refusal of an earlier
    /// holder's orders is not enough.
    fn may_act(&self, now: Millis) -> bool {
        self.is_vouched(now) && self.predecessors.are_silenced(now)
    }

    fn advance(&mut self, now: Millis, ticked: bool, effects: &mut Vec<Effect>) {
        self.predecessors.ask(now, self.record.term, effects);
        self.release_unclaimed(now);
        self.mark_lost(now);
        self.free_lapsed(now);
        if self.may_act(now) {
            self.grant_free(now);
        }
        if ticked {
            self.forget_losses(now);
        }
        if ticked && self.may_act(now) {
            self.plan_moves(now);
            self.send_revocations(now, effects);
        }
        self.send_orders(now, effects);
        self.settle(now, effects);
    }

    /// Reports once that no earlier holder can renew anything any more.
    fn settle(&mut self, now: Millis, effects: &mut Vec<Effect>) {
        if self.predecessors.are_over(now) && !self.settled {
            self.settled = true;
            effects.push(Effect::Settled);
        }
    }

    fn shard_ids(&self) -> impl Iterator<Item = ShardId> + use<> {
        (0..u32::try_from(self.shards.len()).unwrap_or(u32::MAX)).map(ShardId)
    }

    /// Returns how a route looks to a request, for tests and status.
    pub fn route_state(&self, shard: ShardId) -> Option<RouteState> {
        self.shards.get(shard.index()).map(|s| s.route(&self.servers).state)
    }
}
