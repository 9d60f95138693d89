//! Tests of which requests a stopping daemon takes.

use {
    googletest::prelude::*,
    oriolehoist_forwarding::{
        AttemptEnd, HandOverNext, PlatformRequest, PlatformTerms, Refusal, Stop,
    },
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
};

const STOP: Stop = Stop { callers_leave: Millis(12_200), exits: Millis(15_150) };
const TERMS: PlatformTerms = PlatformTerms {
    is_keyed: false,
    is_idempotent: true,
    is_handed_over: false,
    deadline: Millis(20_000),
    objective_ends: Millis(20_000),
    latency_objective: Millis(10_000),
    max_attempts: 3,
    headroom: None,
    reserved_wait: None,
    may_exceed_headroom: false,
};

fn refusal(result: std::result::Result<(), Refusal>) -> Option<(RefusalKind, Option<Millis>)> {
    result.err().map(|refusal| (refusal.kind, refusal.retry_after))
}

#[gtest]
fn a_request_whose_deadline_passes_before_the_exit_is_taken() {
    for now in [10_000, 12_300, 15_000].map(Millis) {
        let expected = Some(Millis(60_000));
        expect_that!(STOP.check(now, Millis(15_050), expected), ok(()));
    }
}

#[gtest]
fn while_callers_come_back_a_request_is_taken_that_is_expected_to_end() {
    let deadline = Millis(20_000);
    expect_that!(STOP.check(Millis(12_000), deadline, Some(Millis(1525))), ok(()));
    expect_that!(STOP.check(Millis(12_000), deadline, None), ok(()));
    let refused = refusal(STOP.check(Millis(12_000), deadline, Some(Millis(1526))));
    expect_that!(refused, some(eq((RefusalKind::Stopping, Some(Millis(200))))));
}

#[gtest]
fn once_callers_reach_other_daemons_a_request_that_may_be_cut_is_refused() {
    for expected in [None, Some(Millis(10))] {
        let refused = refusal(STOP.check(Millis(12_200), Millis(15_051), expected));
        expect_that!(refused, some(eq((RefusalKind::Stopping, Some(Millis(100))))));
    }
}

#[gtest]
fn a_request_of_another_daemon_is_taken_only_if_its_deadline_passes_before_the_exit() {
    for (deadline, kind) in [(15_050, None), (15_051, Some(RefusalKind::Stopping))] {
        let deadline = Millis(deadline);
        let terms = PlatformTerms { is_handed_over: true, deadline, ..TERMS };
        let mut request = PlatformRequest::<u32>::new(terms);
        request.set_stop(Some(STOP));
        let refused = refusal(request.check_stop(Millis(10_000), Some(Millis(10))));
        expect_that!(refused.map(|refused| refused.0), eq(kind));
    }
}

#[gtest]
fn a_request_that_may_be_cut_is_not_handed_over() {
    let mut request = PlatformRequest::<u32>::new(TERMS);
    request.set_stop(Some(STOP));
    expect_that!(request.start_hand_over(Millis(12_199)), eq(HandOverNext::ChooseDaemon));
    let kind = match request.start_hand_over(Millis(12_200)) {
        HandOverNext::Refuse(refusal) => Some(refusal.kind),
        _ => None,
    };
    expect_that!(kind, some(eq(RefusalKind::Stopping)));
}

#[gtest]
fn a_request_that_may_have_run_is_not_refused_as_not_run() {
    let mut request = PlatformRequest::<u32>::new(TERMS);
    expect_that!(request.check_stop(Millis(13_000), None), ok(()));
    request.set_stop(Some(STOP));
    let refused = refusal(request.check_stop(Millis(13_000), None));
    expect_that!(refused.map(|refused| refused.0), some(eq(RefusalKind::Stopping)));
    request.on_selected(1, false);
    let end = AttemptEnd::NoResponse("the connection failed");
    request.on_attempt_ended(Millis(13_100), end);
    let refused = refusal(request.check_stop(Millis(13_200), None));
    expect_that!(refused.map(|refused| refused.0), some(eq(RefusalKind::OutcomeUnknown)));
}

#[gtest]
fn a_request_that_is_taken_late_always_ends_before_the_exit() {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..20_000 {
        let now = Millis(rng.u64(10_000..18_000));
        let deadline = now + Millis(rng.u64(..12_000));
        let expected = Millis(rng.u64(..4000));
        if STOP.check(now, deadline, Some(expected)).is_ok() {
            let ends = deadline < STOP.exits;
            let is_early = now < STOP.callers_leave && now + expected < STOP.exits;
            expect_that!(ends || is_early, eq(true), "{now:?} {deadline:?} {expected:?}");
        }
    }
}
