//! Plays servers that repeat responses, with directed and with random schedules.

use {
    googletest::prelude::*,
    oriolehoist_exchange::{
        ConnectionHistory, Correlation, ExchangeName, MAX_NAMED_EXCHANGES, ResponseId, Verdict,
    },
};

fn name(id: u32) -> ExchangeName {
    ExchangeName::of(&id.to_be_bytes())
}

/// Guards against a second attempt of a request on a connection that may repeat the response to the first.
#[gtest]
fn a_connection_carries_one_attempt_of_a_request() {
    let mut history = ConnectionHistory::default();
    history.start(Correlation::ById(name(1)));
    expect_that!(history.judge(ResponseId::Own, true), eq(Verdict::Own));
    expect_that!(history.is_reusable(), eq(true));
    expect_that!(history.admits(name(1)), eq(false));
    expect_that!(history.admits(name(2)), eq(true));
    history.start(Correlation::ById(name(2)));
    expect_that!(history.judge(ResponseId::Other, true), eq(Verdict::Unexpected));
    expect_that!(history.judge(ResponseId::Own, false), eq(Verdict::Own));
    expect_that!(history.admits(name(1)), eq(false));
}

/// Guards against a response without an id that is taken for that of another request.
#[gtest]
fn a_connection_is_not_used_again_after_a_response_without_an_id() {
    let mut history = ConnectionHistory::default();
    history.start(Correlation::ById(name(1)));
    expect_that!(history.judge(ResponseId::Missing, true), eq(Verdict::Own));
    expect_that!(history.is_reusable(), eq(false));
    history.start(Correlation::ById(name(2)));
    expect_that!(history.judge(ResponseId::Missing, true), eq(Verdict::Unexpected));
}

/// Guards against a repeated response to a load probe that is taken for that of a request, and against a
/// request that waits for its deadline because its refusal has no id.
#[gtest]
fn the_response_to_a_probe_is_told_from_a_refusal_without_an_id() {
    let mut history = ConnectionHistory::default();
    history.start(Correlation::ByOrder);
    expect_that!(history.judge(ResponseId::Missing, false), eq(Verdict::Own));
    expect_that!(history.is_reusable(), eq(true));
    history.start(Correlation::ById(name(1)));
    expect_that!(history.judge(ResponseId::Missing, false), eq(Verdict::Unexpected));
    expect_that!(history.judge(ResponseId::Missing, true), eq(Verdict::Own));
}

#[gtest]
fn exchanges_that_share_a_connection_take_responses_without_ids_by_their_place() {
    let mut history = ConnectionHistory::default();
    for id in 0..3 {
        history.start(Correlation::ByIdOrOrder(name(id)));
        expect_that!(history.judge(ResponseId::Missing, false), eq(Verdict::Own));
        expect_that!(history.is_reusable(), eq(true));
    }
    history.start(Correlation::ByIdOrOrder(name(3)));
    expect_that!(history.judge(ResponseId::Other, false), eq(Verdict::Unexpected));
}

#[gtest]
fn a_connection_ends_after_a_bounded_number_of_exchanges() {
    let mut history = ConnectionHistory::default();
    for id in 0..MAX_NAMED_EXCHANGES as u32 {
        expect_that!(history.is_reusable(), eq(true));
        history.start(Correlation::ById(name(id)));
        expect_that!(history.judge(ResponseId::Own, false), eq(Verdict::Own));
    }
    expect_that!(history.is_reusable(), eq(false));
}

/// A response as a server sends it.
#[derive(Clone, Copy)]
struct Response {
    exchange: u32,
    id: Option<u32>,
    is_refusal: bool,
}

/// Guards against any order of attempts and repeated responses in which a response is taken for that to
/// another exchange, and against connections that are given up without a reason.
#[gtest]
fn no_repeated_response_is_taken_for_that_to_another_exchange() {
    let mut repeated = 0;
    for seed in 0..2000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let names_refusals = rng.bool();
        let mut history = ConnectionHistory::default();
        let mut sent: Vec<Response> = Vec::new();
        let mut exchange = 0;
        while exchange < 30 && history.is_reusable() {
            // A few requests, each with several attempts, and load probes.
            let id = (rng.u32(..4) > 0).then(|| rng.u32(..12));
            if id.is_some_and(|id| !history.admits(name(id))) {
                let was_sent = sent.iter().any(|response| response.id == id);
                expect_that!(was_sent || !names_refusals, eq(true), "seed {seed}");
                exchange += 1;
                continue;
            }
            history.start(id.map_or(Correlation::ByOrder, |id| Correlation::ById(name(id))));
            let is_refusal = id.is_some() && rng.u32(..3) == 0;
            let named = id.filter(|_| !is_refusal || names_refusals);
            let own = Response { exchange, id: named, is_refusal };
            let mut due: Vec<Response> = Vec::new();
            while !sent.is_empty() && rng.u32(..3) == 0 {
                due.extend(rng.choice(&sent));
            }
            repeated += due.len();
            due.push(own);
            let taken = due.iter().find(|response| {
                let id = match response.id {
                    None => ResponseId::Missing,
                    response if response == id => ResponseId::Own,
                    Some(_) => ResponseId::Other,
                };
                history.judge(id, response.is_refusal) == Verdict::Own
            });
            match (id, taken) {
                (Some(_), taken) => {
                    let taken = taken.map(|response| response.exchange);
                    expect_that!(taken, some(eq(exchange)), "seed {seed}");
                }
                // A response that names a request is not that to a probe: the caller closes the connection.
                (None, Some(Response { id: Some(_), .. })) => break,
                (None, _) => {}
            }
            sent.push(own);
            exchange += 1;
        }
    }
    expect_that!(repeated, gt(1000));
}
