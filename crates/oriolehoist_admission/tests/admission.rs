//! Limits, queues, budgets and suspicion.

use {
    googletest::prelude::*,
    oriolehoist_admission::{
        AtServerEnd, Class, ClassQueue, Crash, Entry, Fingerprint, Gate, GateLimits, GateRefusal,
        Gauge, Judgement, Leave, RetryBudget, Suspects, Turn, Waiting,
    },
    oriolehoist_time::Millis,
    proptest::{
        collection::vec,
        prelude::*,
        test_runner::{Config, RngSeed, TestRunner},
    },
    std::collections::HashMap,
};

fn waiting(class: Class, tenant: &str) -> Waiting {
    Waiting::new(class, tenant, Millis(1_000_000))
}

fn push(queue: &mut ClassQueue, count: usize, waiting: &Waiting) {
    for _ in 0..count {
        queue.push(waiting.clone());
    }
}

fn shares(queue: &mut ClassQueue, taken: usize) -> HashMap<(Class, String), usize> {
    let mut counts = HashMap::new();
    for _ in 0..taken {
        if let Some((_, waiting)) = queue.pop() {
            *counts.entry((waiting.class, waiting.tenant)).or_default() += 1;
        }
    }
    counts
}

#[gtest]
fn classes_share_by_urgency_and_each_keeps_a_floor() {
    let mut queue = ClassQueue::default();
    for class in Class::ALL {
        push(&mut queue, 210, &waiting(class, ""));
    }
    let counts = shares(&mut queue, 210);
    let of = |class| counts.get(&(class, String::new())).copied().unwrap_or(0);
    expect_that!(of(Class::Urgent), all![ge(155), le(165)]);
    expect_that!(of(Class::Interactive), all![ge(36), le(44)]);
    expect_that!(of(Class::Bulk), all![ge(8), le(12)]);
}

#[gtest]
fn a_greedy_tenant_does_not_starve_another() {
    let mut queue = ClassQueue::default();
    push(&mut queue, 1000, &waiting(Class::Interactive, "greedy"));
    push(&mut queue, 10, &waiting(Class::Interactive, "modest"));
    let counts = shares(&mut queue, 21);
    expect_that!(counts.get(&(Class::Interactive, "modest".into())), some(ge(&10)));
}

#[gtest]
fn a_gate_never_admits_more_than_its_limit_nor_loses_anyone() {
    let mut runner = TestRunner::new(Config {
        cases: 500,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    });
    let result = runner.run(&vec(any::<u8>(), 300), |steps| {
        let mut gate = Gate::new(GateLimits { slots: 3, queue: 10 });
        let mut queued = Vec::new();
        let mut running = 0_u32;
        for (time, step) in steps.into_iter().enumerate() {
            let now = Millis(time as u64 * 3);
            match step % 5 {
                0..3 => match gate.enter(now, waiting(Class::Urgent, "t")) {
                    Entry::Admitted => running += 1,
                    Entry::Queued(ticket) => queued.push(ticket),
                    Entry::Refused(_) => {}
                },
                3 if running > 0 => {
                    running -= 1;
                    let leave = if step < 128 { Leave::Served(Millis(5)) } else { Leave::Shed };
                    gate.leave(now, leave);
                }
                _ => {
                    if let Some(ticket) = queued.pop() {
                        prop_assert!(gate.cancel(ticket));
                    }
                }
            }
            while let Some(turn) = gate.next(now) {
                let (Turn::Send(ticket) | Turn::GiveUp(ticket)) = turn;
                let known = queued.iter().position(|t| *t == ticket);
                prop_assert!(known.is_some(), "a ticket was admitted twice");
                queued.remove(known.unwrap_or(0));
                running += u32::from(matches!(turn, Turn::Send(_)));
            }
            prop_assert!(gate.running() == running && running <= 3);
            prop_assert_eq!(gate.queued(), queued.len());
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

#[gtest]
fn work_that_can_not_make_its_deadline_is_refused_before_it_waits() {
    let mut gate = Gate::new(GateLimits { slots: 1, queue: 100 });
    expect_that!(gate.enter(Millis(0), waiting(Class::Urgent, "")), eq(Entry::Admitted));
    gate.leave(Millis(100), Leave::Served(Millis(100)));
    expect_that!(gate.enter(Millis(100), waiting(Class::Urgent, "")), eq(Entry::Admitted));
    let hasty = Waiting::new(Class::Urgent, "", Millis(250));
    let refused = Entry::Refused(GateRefusal::DeadlineTooShort(Millis(100)));
    expect_that!(gate.enter(Millis(100), hasty), eq(refused));
}

#[gtest]
fn a_shed_request_closes_the_gate_for_a_while() {
    let mut gate = Gate::new(GateLimits { slots: 2, queue: 10 });
    expect_that!(gate.enter(Millis(0), waiting(Class::Urgent, "")), eq(Entry::Admitted));
    gate.leave(Millis(10), Leave::Shed);
    let entered = gate.enter(Millis(10), waiting(Class::Urgent, ""));
    expect_that!(entered, matches_pattern!(Entry::Queued(_)));
    expect_that!(gate.next(Millis(10)), none());
    expect_that!(gate.next(Millis(10) + gate.closed_for(Millis(10))), some(anything()));
}

#[gtest]
fn retries_are_a_share_of_first_attempts() {
    let mut budget = RetryBudget::with_savings(10);
    while budget.try_spend() {}
    (0..100).for_each(|_| budget.on_first_attempt(10));
    let mut retries = 0;
    while budget.try_spend() {
        retries += 1;
    }
    expect_that!(retries, eq(10));
}

#[gtest]
fn two_crashes_convict_a_request_and_an_answer_clears_it() {
    let (mut suspects, poison, innocent) = (Suspects::default(), Fingerprint(1), Fingerprint(2));
    for _ in 0..5 {
        suspects.on_crash(Millis(0), poison, Crash(1));
        suspects.on_crash(Millis(0), innocent, Crash(1));
    }
    expect_that!(suspects.judge(Millis(1), poison), eq(Judgement::Alone));
    suspects.on_answered(innocent);
    expect_that!(suspects.judge(Millis(1), innocent), eq(Judgement::Clear));
    suspects.on_crash(Millis(1000), poison, Crash(2));
    let until = Judgement::Quarantined(Millis(60_000));
    expect_that!(suspects.judge(Millis(1000), poison), eq(until));
    expect_that!(suspects.judge(Millis(61_000), poison), eq(Judgement::Clear));
}

#[gtest]
fn a_waiting_request_that_has_become_hopeless_is_given_up_and_costs_no_slot() {
    let mut gate = Gate::new(GateLimits { slots: 1, queue: 100 });
    expect_that!(gate.enter(Millis(0), waiting(Class::Urgent, "")), eq(Entry::Admitted));
    let Entry::Queued(hasty) = gate.enter(Millis(0), Waiting::new(Class::Urgent, "", Millis(150)))
    else {
        return fail!("nothing is known of the service time yet").unwrap_or_default();
    };
    let Entry::Queued(patient) = gate.enter(Millis(0), waiting(Class::Urgent, "")) else {
        return fail!("there is room in the queue").unwrap_or_default();
    };
    gate.leave(Millis(100), Leave::Served(Millis(100)));
    expect_that!(gate.next(Millis(100)), some(eq(Turn::GiveUp(hasty))));
    expect_that!(gate.running(), eq(0));
    expect_that!(gate.next(Millis(100)), some(eq(Turn::Send(patient))));
}

#[gtest]
fn a_smaller_share_of_the_retries_is_in_force_at_once() {
    let mut budget = RetryBudget::with_savings(40);
    budget.set_savings(4);
    let spent = (0..40).take_while(|_| budget.try_spend()).count();
    expect_that!(spent, eq(4));
    budget.set_savings(10);
    expect_that!(budget.try_spend(), eq(false));
    for _ in 0..200 {
        budget.on_first_attempt(10);
    }
    let spent = (0..40).take_while(|_| budget.try_spend()).count();
    expect_that!(spent, eq(10));
}

#[gtest]
fn a_server_is_untried_until_it_answers_or_refuses() {
    for end in [AtServerEnd::Answered, AtServerEnd::Shed, AtServerEnd::Lost] {
        let mut gauge = Gauge::new(2, Millis(120));
        expect_that!(gauge.is_untried(), eq(true));
        let at = gauge.on_sent(Millis(10));
        expect_that!(gauge.is_untried(), eq(false));
        gauge.on_ended(Millis(20), at, end, None);
        expect_that!(gauge.is_untried(), eq(false), "after {end:?}");
    }
}
