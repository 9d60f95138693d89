//! Single mechanisms that random schedules seldom need, each with the case that needs it.

use {
    googletest::prelude::*,
    oriolehoist_ownership::{
        Assigner, Effect, Event, Follower, GrantTable, PeerView, ServerIndex, Timing,
        choose_witnesses, initial_record, successor_record,
    },
    oriolehoist_placement::MoveBudget,
    oriolehoist_protocol::{
        AcceptAnswer, Assignment, Epoch, Heartbeat, HeartbeatAnswer, Incarnation, InstanceName,
        LoadReport, Order, OrderBody, OrderOutcome, RouteState, ServerAddress, ServerAnswer,
        ServerName, ServiceName, ShardGrant, ShardId, Term, TermRecord, Version, Witness, ZoneName,
    },
    oriolehoist_time::Millis,
};

fn witness(name: &str, incarnation: u64) -> Witness {
    let port = 1000 + u16::from(name.as_bytes()[0]);
    Witness {
        instance: InstanceName::from(name),
        incarnation: Incarnation(incarnation),
        address: ([127, 0, 0, 1], port).into(),
    }
}

fn peers(names: &[&str]) -> Vec<PeerView> {
    let view = |name: &&str| PeerView { witness: witness(name, 1), zone: ZoneName::from("z") };
    names.iter().map(view).collect()
}

fn servers() -> Vec<ServerAddress> {
    let server = |n: u16| ServerAddress {
        name: ServerName::from(format!("s{n}").as_str()),
        address: ([127, 0, 0, 1], 2000 + n).into(),
    };
    (0..2).map(server).collect()
}

fn first_record() -> TermRecord {
    initial_record(ServiceName::from("tides"), witness("a", 1), &peers(&["b", "c", "d"]), servers())
}

/// An assigner with the means to answer for its witnesses and servers.
struct Desk {
    assigner: Assigner,
    sent: Vec<Effect>,
}

impl Desk {
    fn new(now: u64, record: TermRecord) -> Desk {
        let budget = MoveBudget { moves: 0, ratio_percent: 1000 };
        let known = Assignment::empty(ServiceName::from("tides"), 2);
        let assigner = Assigner::new(Millis(now), Timing::default(), budget, record, &known);
        Desk { assigner, sent: Vec::new() }
    }

    fn step(&mut self, now: u64, event: Event) {
        self.sent = self.assigner.step(Millis(now), event);
    }

    fn vouch(&mut self, now: u64) {
        for witness in self.assigner.record().witnesses.clone() {
            let answer = HeartbeatAnswer {
                incarnation: witness.incarnation,
                accepted: self.assigner.record().term,
                vouched: true,
                version: Version(0),
                record: Default::default(),
                settings: Version(1),
            };
            let (from, sent) = (witness.instance, Millis(now));
            self.step(now, Event::Heartbeat { from, sent, answer });
        }
    }

    fn answer(&mut self, now: u64, server: usize, life: Life, outcome: OrderOutcome) {
        let answer = ServerAnswer {
            outcome,
            incarnation: Incarnation(life.incarnation),
            time: Millis(now),
            highest_term: self.assigner.record().term,
            list: life.list,
            held: Vec::new(),
            load: LoadReport::default(),
        };
        let (server, sent, probed) = (ServerIndex(server), Millis(life.sent), life.probed);
        self.step(now, Event::ServerAnswered { server, sent, probed, answer });
    }

    fn probe(&mut self, now: u64, server: usize, incarnation: u64) {
        let life = Life { incarnation, sent: now, probed: true, list: 0 };
        self.answer(now, server, life, OrderOutcome::Accepted);
    }

    /// Brings a first term to where both servers serve.
    fn serving() -> Desk {
        let mut desk = Desk::new(1000, first_record());
        desk.vouch(1000);
        desk.probe(1001, 0, 10);
        desk.probe(1002, 1, 20);
        for (server, incarnation) in [(0, 10), (1, 20)] {
            let life = Life { incarnation, sent: 1003, probed: false, list: 99 };
            desk.answer(1004, server, life, OrderOutcome::Accepted);
        }
        desk
    }

    fn routes(&self) -> Vec<RouteState> {
        (0..2).filter_map(|s| self.assigner.route_state(ShardId(s))).collect()
    }

    fn renewals(&self) -> usize {
        let renews = |e: &&Effect| {
            matches!(e, Effect::Send { order: Order { body: OrderBody::Renew { .. }, .. }, .. })
        };
        self.sent.iter().filter(renews).count()
    }

    fn probes(&self) -> usize {
        let probes = |e: &&Effect| {
            matches!(e, Effect::Send { order: Order { body: OrderBody::Probe, .. }, .. })
        };
        self.sent.iter().filter(probes).count()
    }
}

#[derive(Clone, Copy)]
struct Life {
    incarnation: u64,
    sent: u64,
    probed: bool,
    list: u64,
}

const SERVING: [RouteState; 2] = [RouteState::Serving; 2];

#[gtest]
fn a_delayed_answer_of_an_earlier_life_frees_nothing() {
    let mut desk = Desk::serving();
    expect_that!(desk.routes(), container_eq(SERVING));
    // Server 0 answers as life 10 an order from before that life was known to be 10.
    let earlier = Life { incarnation: 9, sent: 1000, probed: true, list: 0 };
    desk.answer(1100, 0, earlier, OrderOutcome::Accepted);
    expect_that!(desk.routes(), container_eq(SERVING));
    // An order that was sent later can only have been answered by a later life.
    let later = Life { incarnation: 11, sent: 1050, probed: true, list: 0 };
    desk.answer(1100, 0, later, OrderOutcome::Accepted);
    expect_that!(desk.routes(), not(container_eq(SERVING)));
}

#[gtest]
fn a_new_assigner_acts_only_once_its_predecessors_are_silenced() {
    let record =
        successor_record(&first_record(), witness("b", 1), &peers(&["c", "d", "e"]), servers());
    let mut desk = Desk::new(5000, record);
    desk.vouch(5000);
    desk.probe(5001, 0, 10);
    desk.probe(5002, 1, 20);
    expect_that!(desk.renewals(), eq(0));
    for name in ["c", "d"] {
        let answer = AcceptAnswer {
            incarnation: Incarnation(1),
            accepted: Term(2),
            voucher_left: Millis(200),
        };
        desk.step(5003, Event::TermAccepted { from: witness(name, 1), answer });
    }
    desk.vouch(5150);
    expect_that!(desk.renewals(), eq(0));
    desk.vouch(5250);
    desk.step(5251, Event::Tick);
    let renewed = desk.assigner.is_vouched(Millis(5251));
    expect_that!(renewed, eq(true));
    expect_that!(desk.routes(), each(not(eq(&RouteState::Unassigned))));
}

#[gtest]
fn every_unsettled_set_must_accept_not_only_the_latest() {
    let second =
        successor_record(&first_record(), witness("e", 1), &peers(&["f", "g", "h"]), servers());
    let third = successor_record(&second, witness("i", 1), &peers(&["j", "k", "l"]), servers());
    expect_that!(third.unsettled.len(), eq(2));
    let mut desk = Desk::new(5000, third);
    let accept = |name: &str| Event::TermAccepted {
        from: witness(name, 1),
        answer: AcceptAnswer {
            incarnation: Incarnation(1),
            accepted: Term(3),
            voucher_left: Millis(0),
        },
    };
    for name in ["f", "g"] {
        desk.step(5000, accept(name));
    }
    desk.step(9000, Event::Tick);
    let settled = |desk: &Desk| desk.sent.iter().any(|e| matches!(e, Effect::Settled));
    expect_that!(settled(&desk), eq(false));
    for name in ["b", "c"] {
        desk.step(9000, accept(name));
    }
    desk.step(12_000, Event::Tick);
    expect_that!(settled(&desk), eq(true));
}

#[gtest]
fn a_holder_that_succeeds_itself_lists_its_earlier_witnesses() {
    let first = first_record();
    let next = successor_record(&first, witness("a", 1), &peers(&["x", "y", "z"]), servers());
    expect_that!(next.unsettled, container_eq([first.witnesses]));
}

#[gtest]
fn a_released_record_leaves_nothing_to_wait_for() {
    let released = TermRecord { witnesses: Vec::new(), ..first_record() };
    let next = successor_record(&released, witness("x", 1), &peers(&["y", "z"]), servers());
    expect_that!(next.unsettled, is_empty());
}

#[gtest]
fn a_restarted_server_is_probed_before_its_shards_are_granted_again() {
    let mut desk = Desk::serving();
    desk.vouch(1200);
    let restarted = Life { incarnation: 12, sent: 1200, probed: false, list: 0 };
    desk.answer(1201, 0, restarted, OrderOutcome::WrongIncarnation);
    desk.step(1360, Event::Tick);
    // Server 1 gets a renewal, server 0 a probe.
    expect_that!(desk.probes(), eq(1));
    expect_that!(desk.renewals(), eq(1));
}

#[gtest]
fn a_restarted_witness_does_not_vouch_for_an_earlier_record() {
    let service = ServiceName::from("tides");
    let beat = Heartbeat {
        service: service.clone(),
        term: Term(1),
        record: Some(first_record()),
        delta: None,
        settings: Version(1),
    };
    let vouched = |incarnation| {
        let timing = Timing::default();
        let life = Incarnation(incarnation);
        let mut follower = Follower::new(Millis(0), life, service.clone(), 2, timing);
        follower.on_heartbeat(Millis(10), &beat).vouched
    };
    expect_that!(vouched(1), eq(true));
    expect_that!(vouched(2), eq(false));
}

#[gtest]
fn a_lost_server_keeps_its_shards_for_the_grant_and_the_drift_allowance() {
    let mut desk = Desk::serving();
    // Server 0 last answered at 1004 and is silent from then on; server 1 goes on.
    let last_grant_ends = 1004 + 900 + 9 + 1;
    for now in (1050..=last_grant_ends).step_by(20) {
        desk.vouch(now);
        let life = Life { incarnation: 20, sent: now, probed: false, list: 99 };
        desk.answer(now, 1, life, OrderOutcome::Accepted);
        expect_that!(desk.assigner.status(Millis(now)).moved_shards, eq(0), "at {now}");
    }
    let life = Life { incarnation: 20, sent: last_grant_ends, probed: false, list: 99 };
    desk.answer(last_grant_ends, 1, life, OrderOutcome::Accepted);
    expect_that!(desk.assigner.status(Millis(last_grant_ends)).moved_shards, eq(0));
    desk.vouch(last_grant_ends + 1);
    desk.answer(last_grant_ends + 2, 1, life, OrderOutcome::Accepted);
    expect_that!(desk.assigner.status(Millis(last_grant_ends + 2)).moved_shards, eq(1));
}

#[gtest]
fn an_older_list_of_grants_does_not_replace_a_newer_one() {
    let grant = |shard, sequence| ShardGrant {
        shard: ShardId(shard),
        epoch: Epoch { term: Term(1), sequence },
    };
    let renew = |list, grants: Vec<ShardGrant>| Order {
        service: ServiceName::from("tides"),
        term: Term(1),
        body: OrderBody::Renew {
            echo: Millis(100),
            incarnation: Incarnation(1),
            length: Millis(900),
            list,
            grants: Some(grants),
        },
    };
    let mut table = GrantTable::new(Incarnation(1));
    let load = LoadReport::default();
    let newer = table.take(Millis(100), &renew(2, vec![grant(1, 2)]), load);
    expect_that!(newer.outcome, eq(OrderOutcome::Accepted));
    let older = table.take(Millis(101), &renew(1, vec![grant(0, 1)]), load);
    expect_that!(older.outcome, eq(OrderOutcome::StaleEcho));
    expect_that!(table.live(Millis(102)), container_eq([grant(1, 2)]));
}

#[gtest]
fn witnesses_are_odd_in_number_spread_over_zones_and_never_the_holder() {
    let view =
        |name: &str, zone: &str| PeerView { witness: witness(name, 1), zone: ZoneName::from(zone) };
    let peers = [view("a", "1"), view("b", "1"), view("c", "1"), view("d", "2"), view("e", "3")];
    let chosen = choose_witnesses(&witness("a", 1), &peers);
    let names: Vec<&str> = chosen.iter().map(|w| w.instance.as_str()).collect();
    expect_that!(names, unordered_elements_are![eq(&"b"), eq(&"d"), eq(&"e")]);
    expect_that!(choose_witnesses(&witness("a", 1), &[]), container_eq([witness("a", 1)]));
}
