//! Driving the assigner of a service whose term this daemon holds.

use {
    crate::{
        control::{
            actor::Control,
            cell::{AssignmentStore, Heartbeats, HeldByPeer},
            election::Attempt,
            message::{AcceptAnswered, RecordAttempted, StoredAssignment},
            send,
        },
        process::{Event as LogEvent, report},
    },
    kameo::actor::ActorRef,
    oriolehoist_ownership::{Assigner, AssignerStatus, Effect, Event, choose_witnesses},
    oriolehoist_platform::Revision,
    oriolehoist_protocol::{
        AcceptTermRequest, Assignment, Heartbeat, ServiceName, TermRecord, Version, Witness,
    },
    oriolehoist_time::Millis,
    std::{collections::HashMap, sync::Arc},
};

/// Least time between two writes of an assignment, so that a burst of changes is one write.
const STORE_INTERVAL: Millis = Millis(200);
/// Least time between two attempts to replace this daemon's own record.
const REPLACE_INTERVAL: Millis = Millis(500);
/// Silence after which a witness is replaced by another.
const WITNESS_SILENCE: Millis = Millis(1000);
/// Time between measurements of an assigner's figures.
const MEASURE_INTERVAL: Millis = Millis(100);

impl Control {
    pub(super) fn tick_assigner(&mut self, name: &ServiceName, me: &ActorRef<Control>) {
        let leaving = self.leaving_of(name);
        let bindings = self.bindings_of(name);
        self.step(name, Event::ServersLeaving(leaving), me);
        self.step(name, Event::Bindings(bindings), me);
        self.step(name, Event::Tick, me);
        self.send_heartbeats(name, me);
        self.store_assignment(name, me);
        self.consider_replacing(name, me);
        self.measure(name);
    }

    /// Gives an event to a service's assigner and carries out what it decides.
    pub(super) fn step(&mut self, name: &ServiceName, event: Event, me: &ActorRef<Control>) {
        let now = self.now();
        let cell = self.cells.get_mut(name);
        let Some(assigner) = cell.and_then(|cell| cell.assigner.as_mut()) else { return };
        for effect in assigner.step(now, event) {
            self.carry_out(name, effect, me);
        }
        self.send_heartbeats(name, me);
    }

    fn carry_out(&mut self, name: &ServiceName, effect: Effect, me: &ActorRef<Control>) {
        let now = self.now();
        let Some(cell) = self.cells.get_mut(name) else { return };
        let Some(assigner) = cell.assigner.as_ref() else { return };
        let record = assigner.record();
        match effect {
            Effect::SendOrder { server, order } => {
                let address = assigner.server_address(server);
                let cx = Arc::clone(&self.cx);
                tokio::spawn(send::order(cx, me.clone(), server, address, order));
            }
            Effect::SendAcceptTerm { witness, request } => self.ask_accept(witness, request, me),
            Effect::Settled => {
                report(LogEvent::TermSettled, format_args!("{name}: term {}", record.term));
                let from = record.clone();
                if !from.unsettled.is_empty() && !cell.attempting {
                    self.start_attempt(name, Attempt::Settle { from }, me);
                }
            }
            Effect::StepDown => {
                report(LogEvent::TermLost, format_args!("{name}: term {}", record.term));
                cell.assigner = None;
                cell.follower.postpone_takeover(now);
            }
        }
    }

    fn ask_accept(&mut self, witness: Witness, request: AcceptTermRequest, me: &ActorRef<Control>) {
        let now = self.now();
        let cell = self.cells.get_mut(&request.service);
        match cell {
            Some(cell) if witness.address == self.cx.me.address => {
                let answer = cell.follower.on_accept_term(now, &request);
                let (service, term) = (request.service, request.term);
                let message = AcceptAnswered { service, term, from: witness, answer };
                let me = me.clone();
                tokio::spawn(async move { me.tell(message).await });
            }
            _ => {
                let cx = Arc::clone(&self.cx);
                tokio::spawn(send::accept(cx, me.clone(), witness, request));
            }
        }
    }

    /// Sends heartbeats if they are due: to itself at once, and to every other daemon.
    fn send_heartbeats(&mut self, name: &ServiceName, me: &ActorRef<Control>) {
        let now = self.now();
        let settings = self.settings.version();
        let Some(cell) = self.cells.get_mut(name) else { return };
        if !cell.heartbeat_due(now) {
            return;
        }
        let Some(assigner) = cell.assigner.as_ref() else { return };
        cell.heartbeats.sent = now;
        cell.heartbeats.sent_version = assigner.version();
        let mut by_held: HashMap<HeldByPeer, Arc<Heartbeat>> = HashMap::new();
        let mut message = |held: HeldByPeer| {
            let record = assigner.record();
            let make = || Heartbeat {
                service: name.clone(),
                term: record.term,
                record: (held.record != record.write_id).then(|| record.clone()),
                delta: assigner.delta_since(held.version),
                settings,
            };
            Arc::clone(by_held.entry(held.clone()).or_insert_with(|| Arc::new(make())))
        };
        for peer in self.peers.live(now) {
            let to = peer.witness.instance.clone();
            let held = cell.heartbeats.held.get(&to).cloned().unwrap_or_default();
            let (cx, address) = (Arc::clone(&self.cx), peer.witness.address);
            tokio::spawn(send::heartbeat(cx, me.clone(), address, to, message(held)));
        }
        let own = cell.follower.assignment();
        let version = match own.term == assigner.record().term {
            true => own.version,
            false => Version::default(),
        };
        let own = message(HeldByPeer { version, ..HeldByPeer::default() });
        let answer = cell.follower.on_heartbeat(now, &own);
        let from = self.cx.me.instance.clone();
        let changed = own.delta.is_some();
        self.step(name, Event::HeartbeatResponse { from, sent: now, response: answer }, me);
        if changed {
            self.publish();
        }
    }

    /// Writes the assignment to the store, if it has changed since it was last written.
    fn store_assignment(&mut self, name: &ServiceName, me: &ActorRef<Control>) {
        let now = self.now();
        let Some(cell) = self.cells.get_mut(name) else { return };
        let Some(assigner) = cell.assigner.as_ref() else { return };
        let store = &mut cell.store;
        let due = !store.writing && now.since(store.tried) >= STORE_INTERVAL;
        if !due || store.version >= assigner.version() {
            return;
        }
        store.writing = true;
        store.tried = now;
        let (cx, assignment) = (Arc::clone(&self.cx), assigner.assignment());
        tokio::spawn(send::store_assignment(cx, me.clone(), store.revision, assignment));
    }

    /// Replaces the record when its witnesses or servers are no longer the right ones.
    fn consider_replacing(&mut self, name: &ServiceName, me: &ActorRef<Control>) {
        let now = self.now();
        let peers = self.peers.witnesses(now);
        let servers = self.servers_of(name);
        let Some(cell) = self.cells.get_mut(name) else { return };
        let Some(assigner) = cell.assigner.as_ref() else { return };
        let record = assigner.record();
        let better = choose_witnesses(&self.cx.me, &peers);
        let silent = assigner.silent_witnesses(now, WITNESS_SILENCE) > 0;
        let more = better.len() > record.witnesses.len() || record.witnesses[0] == self.cx.me;
        let wanted = (silent || more) && better != record.witnesses || servers != record.servers;
        let due = !cell.attempting && now.since(cell.replaced) >= REPLACE_INTERVAL;
        if wanted && due {
            cell.replaced = now;
            let from = record.clone();
            self.start_attempt(name, Attempt::Replace { from, peers, servers }, me);
        }
    }

    /// Takes the outcome of an attempt to write a record.
    pub(super) fn on_record(&mut self, message: RecordAttempted, me: &ActorRef<Control>) {
        let now = self.now();
        let RecordAttempted { service: name, found, stored } = message;
        let mine = found.as_ref().is_some_and(|found| found.holder == self.cx.me);
        let Some(cell) = self.cells.get_mut(&name) else { return };
        cell.attempting = false;
        cell.found = cell.found.max(found.as_ref().map(|found| found.term));
        match (found, cell.assigner.as_mut()) {
            (Some(found), Some(assigner)) if mine && found != *assigner.record() => {
                let term = found.term;
                report(LogEvent::RecordReplaced, format_args!("{name}: term {term}"));
                if term > assigner.record().term {
                    cell.heartbeats = Heartbeats::default();
                    cell.store.version = Version::default();
                }
                assigner.adopt_record(now, found);
            }
            (Some(_), Some(_)) if mine => {}
            (Some(found), None) if mine && !self.stopping => self.begin(now, &name, found, stored),
            (Some(found), Some(_)) => {
                let term = found.term;
                report(LogEvent::TermLost, format_args!("{name}: the store has term {term}"));
                cell.assigner = None;
                cell.follower.postpone_takeover(now);
            }
            _ => cell.follower.postpone_takeover(now),
        }
        self.step(&name, Event::Tick, me);
    }

    /// Starts to assign under a record that this daemon has won.
    fn begin(
        &mut self,
        now: Millis,
        name: &ServiceName,
        found: TermRecord,
        stored: Option<StoredAssignment>,
    ) {
        let Some(cell) = self.cells.get_mut(name) else { return };
        report(LogEvent::TermWon, format_args!("{name}: term {}", found.term));
        let shards = cell.follower.assignment().shards.len();
        let newer = |stored: &Assignment| {
            let own = cell.follower.assignment();
            (stored.term, stored.version) > (own.term, own.version) && stored.shards.len() == shards
        };
        cell.store = AssignmentStore {
            revision: stored.as_ref().map_or(Revision::ABSENT, |stored| stored.revision),
            ..AssignmentStore::default()
        };
        let known = match stored {
            Some(stored) if newer(&stored.assignment) => stored.assignment,
            _ => cell.follower.assignment().clone(),
        };
        cell.heartbeats = Heartbeats::default();
        cell.replaced = now;
        cell.measured = now;
        cell.assigner = Some(Assigner::new(now, cell.timing, cell.budget, found, &known));
    }

    /// Notes what the assigner knows in the metrics, and reports missing vouchers.
    fn measure(&mut self, name: &ServiceName) {
        let now = self.now();
        let Some(cell) = self.cells.get_mut(name) else { return };
        let elapsed = now.since(cell.measured);
        if elapsed < MEASURE_INTERVAL {
            return;
        }
        let Some(assigner) = cell.assigner.as_ref() else { return };
        cell.measured = now;
        let status = assigner.status(now);
        match (cell.was_vouched, status.has_quorum) {
            (true, false) => report(LogEvent::VouchersMissing, format_args!("{name}")),
            (false, true) => report(LogEvent::VouchersBack, format_args!("{name}")),
            _ => {}
        }
        cell.was_vouched = status.has_quorum;
        let (unowned, moved) = (status.unowned_shards, status.moved_shards);
        self.cx.metrics.on_assigner(name.as_str(), unowned, elapsed, moved, imbalance(&status));
    }
}

/// Returns the greatest over the mean number of shards of the servers that answer.
fn imbalance(status: &AssignerStatus) -> f64 {
    let counts: Vec<usize> =
        status.servers.iter().filter(|s| s.reachable && !s.leaving).map(|s| s.shards).collect();
    let sum: usize = counts.iter().sum();
    match (counts.iter().max(), sum) {
        (Some(&most), sum) if sum > 0 => most as f64 * counts.len() as f64 / sum as f64,
        _ => 1.0,
    }
}
