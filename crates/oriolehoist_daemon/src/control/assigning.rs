//! Drives the assigners of the services whose terms this daemon holds.

use {
    crate::{
        control::{
            actor::Control,
            election::RecordWrite,
            message::{AcceptTermResponseReceived, RecordWriteFinished, StoredAssignment},
            send,
            service_state::{AssignmentStoreState, HeartbeatState, PeerAck},
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

/// Minimum time between two writes of an assignment, so that a burst of changes takes one write.
const STORE_INTERVAL: Millis = Millis(200);
/// Minimum time between two attempts to replace this daemon's own term record.
const REPLACE_INTERVAL: Millis = Millis(500);
/// How long a witness may be silent before it is replaced.
const WITNESS_SILENCE: Millis = Millis(1000);
/// Minimum time between two updates of an assigner's metrics.
const METRICS_INTERVAL: Millis = Millis(100);

impl Control {
    /// Runs the periodic work of a service's assigner.
    pub(super) fn tick_assigner(&mut self, name: &ServiceName, actor: &ActorRef<Control>) {
        let leaving = self.leaving_servers_of(name);
        let bindings = self.bindings_of(name);
        self.step(name, Event::ServersLeaving(leaving), actor);
        self.step(name, Event::Bindings(bindings), actor);
        self.step(name, Event::Tick, actor);
        self.send_heartbeats(name, actor);
        self.store_assignment(name, actor);
        self.replace_record_if_needed(name, actor);
        self.update_metrics(name);
    }

    /// Passes an event to a service's assigner and executes the effects that it returns. Then sends
    /// heartbeats if they are due, since the event may have changed the assignment.
    pub(super) fn step(&mut self, name: &ServiceName, event: Event, actor: &ActorRef<Control>) {
        let now = self.now();
        let state = self.services.get_mut(name);
        let Some(assigner) = state.and_then(|state| state.assigner.as_mut()) else { return };
        for effect in assigner.step(now, event) {
            self.execute(name, effect, actor);
        }
        self.send_heartbeats(name, actor);
    }

    fn execute(&mut self, name: &ServiceName, effect: Effect, actor: &ActorRef<Control>) {
        let now = self.now();
        let Some(state) = self.services.get_mut(name) else { return };
        let Some(assigner) = state.assigner.as_ref() else { return };
        let record = assigner.record();
        match effect {
            Effect::SendOrder { server, order } => {
                let address = assigner.server_address(server);
                let cx = Arc::clone(&self.cx);
                tokio::spawn(send::order(cx, actor.clone(), server, address, order));
            }
            Effect::SendAcceptTerm { witness, request } => self.ask_accept(witness, request, actor),
            Effect::Settled => {
                report(
                    LogEvent::TermSettled,
                    format_args!(
                        "service {name}: term {}: no previous assigner can renew grants",
                        record.term
                    ),
                );
                let from = record.clone();
                if !from.unsettled.is_empty() && !state.writing_record {
                    self.spawn_record_write(name, RecordWrite::Settle { from }, actor);
                }
            }
            Effect::StepDown => {
                report(
                    LogEvent::TermLost,
                    format_args!("service {name}: term {} was superseded", record.term),
                );
                state.assigner = None;
                state.follower.postpone_takeover(now);
            }
        }
    }

    /// Asks a witness to accept this assigner's term. If the witness is this daemon, its follower
    /// responds without a network round trip.
    fn ask_accept(
        &mut self,
        witness: Witness,
        request: AcceptTermRequest,
        actor: &ActorRef<Control>,
    ) {
        let now = self.now();
        let state = self.services.get_mut(&request.service);
        match state {
            Some(state) if witness.address == self.cx.identity.address => {
                let response = state.follower.on_accept_term(now, &request);
                let (service, term) = (request.service, request.term);
                let message = AcceptTermResponseReceived { service, term, from: witness, response };
                let actor = actor.clone();
                tokio::spawn(async move { actor.tell(message).await });
            }
            _ => {
                let cx = Arc::clone(&self.cx);
                tokio::spawn(send::accept_term(cx, actor.clone(), witness, request));
            }
        }
    }

    /// Sends heartbeats to all live peers if they are due, and passes one to this daemon's own
    /// follower directly.
    fn send_heartbeats(&mut self, name: &ServiceName, actor: &ActorRef<Control>) {
        let now = self.now();
        let settings = self.settings.version();
        let Some(state) = self.services.get_mut(name) else { return };
        if !state.heartbeat_due(now) {
            return;
        }
        let Some(assigner) = state.assigner.as_ref() else { return };
        state.heartbeats.sent_at = now;
        state.heartbeats.sent_version = assigner.version();
        let mut by_ack: HashMap<PeerAck, Arc<Heartbeat>> = HashMap::new();
        let mut heartbeat_for = |ack: PeerAck| {
            let record = assigner.record();
            let build = || Heartbeat {
                service: name.clone(),
                term: record.term,
                record: (ack.record_write_id != record.write_id).then(|| record.clone()),
                delta: assigner.delta_since(ack.version),
                settings,
                asks_reach: state.lost_since.is_some(),
            };
            Arc::clone(by_ack.entry(ack.clone()).or_insert_with(|| Arc::new(build())))
        };
        for peer in self.peers.live(now) {
            let recipient = peer.witness.instance.clone();
            let ack = state.heartbeats.acks.get(&recipient).cloned().unwrap_or_default();
            let (cx, address) = (Arc::clone(&self.cx), peer.witness.address);
            tokio::spawn(send::heartbeat(
                cx,
                actor.clone(),
                address,
                recipient,
                heartbeat_for(ack),
            ));
        }
        let own_assignment = state.follower.assignment();
        let version = match own_assignment.term == assigner.record().term {
            true => own_assignment.version,
            false => Version::default(),
        };
        let own_heartbeat = heartbeat_for(PeerAck { version, ..PeerAck::default() });
        let response = state.follower.on_heartbeat(now, &own_heartbeat);
        let from = self.cx.identity.instance.clone();
        let changed = own_heartbeat.delta.is_some();
        self.step(name, Event::HeartbeatResponse { from, sent: now, response }, actor);
        if changed {
            self.publish();
        }
    }

    /// Writes the assignment to the store if it has changed since the last write.
    fn store_assignment(&mut self, name: &ServiceName, actor: &ActorRef<Control>) {
        let now = self.now();
        let Some(state) = self.services.get_mut(name) else { return };
        let Some(assigner) = state.assigner.as_ref() else { return };
        let store = &mut state.store;
        let due = !store.writing && now.since(store.attempted_at) >= STORE_INTERVAL;
        if !due || store.version >= assigner.version() {
            return;
        }
        store.writing = true;
        store.attempted_at = now;
        let (cx, assignment) = (Arc::clone(&self.cx), assigner.assignment());
        tokio::spawn(send::store_assignment(cx, actor.clone(), store.revision, assignment));
    }

    /// Replaces the term record if the configured servers have changed, or if the choice of
    /// witnesses would differ and either a witness is silent or more peers are available.
    fn replace_record_if_needed(&mut self, name: &ServiceName, actor: &ActorRef<Control>) {
        let now = self.now();
        let peers = self.peers.witness_candidates(now);
        let servers = self.servers_of(name);
        let Some(state) = self.services.get_mut(name) else { return };
        let Some(assigner) = state.assigner.as_ref() else { return };
        let record = assigner.record();
        let candidates = choose_witnesses(&self.cx.identity, &peers);
        let has_silent = assigner.silent_witnesses(now, WITNESS_SILENCE) > 0;
        // A holder that knows no peers is its own only witness. A single peer is a better one.
        let has_better =
            candidates.len() > record.witnesses.len() || record.witnesses[0] == self.cx.identity;
        let wanted = (has_silent || has_better) && candidates != record.witnesses
            || servers != record.servers;
        let due =
            !state.writing_record && now.since(state.replace_attempted_at) >= REPLACE_INTERVAL;
        if wanted && due {
            state.replace_attempted_at = now;
            let from = record.clone();
            self.spawn_record_write(name, RecordWrite::Replace { from, peers, servers }, actor);
        }
    }

    /// Handles the end of an attempt to write a term record.
    pub(super) fn on_record_write_finished(
        &mut self,
        message: RecordWriteFinished,
        actor: &ActorRef<Control>,
    ) {
        let now = self.now();
        let RecordWriteFinished { service: name, found, stored } = message;
        let won = found.as_ref().is_some_and(|found| found.holder == self.cx.identity);
        let Some(state) = self.services.get_mut(&name) else { return };
        state.writing_record = false;
        state.highest_found_term =
            state.highest_found_term.max(found.as_ref().map(|found| found.term));
        match (found, state.assigner.as_mut()) {
            (Some(found), Some(assigner)) if won && found != *assigner.record() => {
                let term = found.term;
                report(
                    LogEvent::RecordReplaced,
                    format_args!(
                        "service {name}: this daemon holds term {term} under a new record"
                    ),
                );
                if term > assigner.record().term {
                    state.heartbeats = HeartbeatState::default();
                    state.store.version = Version::default();
                }
                assigner.adopt_record(now, found);
            }
            (Some(_), Some(_)) if won => {}
            (Some(found), None) if won && !self.stopping => self.promote(now, &name, found, stored),
            (Some(found), Some(_)) => {
                let term = found.term;
                report(
                    LogEvent::TermLost,
                    format_args!("service {name}: the store holds term {term} of another holder"),
                );
                state.assigner = None;
                state.follower.postpone_takeover(now);
            }
            _ => state.follower.postpone_takeover(now),
        }
        self.step(&name, Event::Tick, actor);
    }

    /// Makes this daemon the assigner of a service, under the record by which it holds the term.
    fn promote(
        &mut self,
        now: Millis,
        name: &ServiceName,
        found: TermRecord,
        stored: Option<StoredAssignment>,
    ) {
        let Some(state) = self.services.get_mut(name) else { return };
        report(
            LogEvent::TermWon,
            format_args!("service {name}: this daemon holds term {}", found.term),
        );
        let shards = state.follower.assignment().shards.len();
        let is_newer = |stored: &Assignment| {
            let own = state.follower.assignment();
            (stored.term, stored.version) > (own.term, own.version) && stored.shards.len() == shards
        };
        state.store = AssignmentStoreState {
            revision: stored.as_ref().map_or(Revision::ABSENT, |stored| stored.revision),
            ..AssignmentStoreState::default()
        };
        let known = match stored {
            Some(stored) if is_newer(&stored.assignment) => stored.assignment,
            _ => state.follower.assignment().clone(),
        };
        state.heartbeats = HeartbeatState::default();
        state.replace_attempted_at = now;
        state.metrics_updated_at = now;
        state.assigner = Some(Assigner::new(now, state.timing, state.budget, found, &known));
    }

    /// Updates the metrics from the assigner's status, and logs when the quorum of witness leases
    /// is lost or regained.
    fn update_metrics(&mut self, name: &ServiceName) {
        let now = self.now();
        let Some(state) = self.services.get_mut(name) else { return };
        let elapsed = now.since(state.metrics_updated_at);
        if elapsed < METRICS_INTERVAL {
            return;
        }
        let Some(assigner) = state.assigner.as_ref() else { return };
        state.metrics_updated_at = now;
        let status = assigner.status(now);
        match (state.had_quorum, status.has_quorum) {
            (true, false) => report(
                LogEvent::VouchersMissing,
                format_args!("service {name}: no quorum of witness leases is in force"),
            ),
            (false, true) => report(
                LogEvent::VouchersBack,
                format_args!("service {name}: a quorum of witness leases is in force again"),
            ),
            _ => {}
        }
        state.had_quorum = status.has_quorum;
        let (unowned, moved) = (status.unowned_shards, status.moved_shards);
        self.cx.metrics.on_assigner(name.as_str(), unowned, elapsed, moved, imbalance(&status));
    }
}

/// Returns the ratio of the maximum to the mean number of shards of the reachable servers that are
/// not leaving.
fn imbalance(status: &AssignerStatus) -> f64 {
    let counts: Vec<usize> =
        status.servers.iter().filter(|s| s.reachable && !s.leaving).map(|s| s.shards).collect();
    let sum: usize = counts.iter().sum();
    match (counts.iter().max(), sum) {
        (Some(&max), sum) if sum > 0 => max as f64 * counts.len() as f64 / sum as f64,
        _ => 1.0,
    }
}
