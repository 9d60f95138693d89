//! How a stand-in server runs a request.

use {
    crate::{
        lock::lock,
        standin::{
            Run, RunOutcome,
            backend::{COLD_FACTOR, CRASH_PATH, Living, RunAnswer, refuse, respond, text},
            work::{HeldWork, OpenRun, Slot},
        },
    },
    axum::{
        body::Body,
        extract::Request,
        http::{HeaderMap, StatusCode},
        response::{IntoResponse, Response},
    },
    oriolehoist_protocol::{DEADLINE_MS, EPOCH, EXCHANGE, Epoch, KEY, REQUEST_ID, SHARD, ShardId},
    oriolehoist_time::Millis,
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

pub(super) async fn run_request(state: Arc<Living>, request: Request<Body>) -> Response {
    state.thawed().await;
    let (parts, body) = request.into_parts();
    let Ok(body) = axum::body::to_bytes(body, usize::MAX).await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let headers = &parts.headers;
    let exchange = text(headers, EXCHANGE);
    let shard = text(headers, SHARD).parse().ok().map(ShardId);
    let epoch = Epoch::parse(&text(headers, EPOCH));
    let request_id = text(headers, REQUEST_ID);
    let Ok(work) = state.begin(shard, epoch) else {
        return refuse(&state, &exchange, "grant");
    };
    let work = HeldWork { state: Arc::clone(&state), work };
    let known = lock(&state.answers).get(&request_id).cloned();
    if let Some(known) = known {
        return respond(&state, StatusCode::OK, &exchange, known.body);
    }
    let Some(slot) = Slot::take(&state) else {
        return refuse(&state, &exchange, "shed");
    };
    let run = Run {
        service: state.options.service.clone(),
        server: state.options.name.clone(),
        incarnation: state.incarnation,
        request_id: request_id.clone(),
        key: text(headers, KEY),
        shard,
        epoch,
        began: state.clock.now(),
        ended: state.clock.now(),
        outcome: RunOutcome::Open,
    };
    let open =
        OpenRun { number: state.journal.begin(run), state: Arc::clone(&state), ended: false };
    if parts.uri.path() == CRASH_PATH {
        let crash = lock(&state.crash).take();
        let _ = crash.map(|tx| tx.send(()));
        std::future::pending::<()>().await;
    }
    let length = work_of(&state, headers);
    let deadline = text(headers, DEADLINE_MS).parse().map(Duration::from_millis);
    // A server that is told a deadline does not work past it.
    if timeout(deadline.unwrap_or(Duration::MAX), sleep(length)).await.is_err() {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    state.thawed().await;
    if !work.may_take_effect() {
        return refuse(&state, &exchange, "grant");
    }
    let answer = RunAnswer {
        body: format!(
            "{{\"request_id\":\"{request_id}\",\"key\":\"{}\",\"server\":\"{}\",\"bytes\":{}}}",
            text(headers, KEY),
            state.options.name,
            body.len(),
        ),
    };
    // Taking effect and remembering it are one step: a repeat may have run at the same time.
    let first = {
        let mut answers = lock(&state.answers);
        let known = answers.get(&request_id).cloned();
        if known.is_none() {
            open.take_effect();
            if !request_id.is_empty() {
                answers.insert(request_id, answer.clone());
            }
        }
        known
    };
    drop((slot, work));
    respond(&state, StatusCode::OK, &exchange, first.unwrap_or(answer).body)
}

/// A header with which tests ask for a run of another length, in milliseconds.
const WORK_MS: &str = "work-ms";

fn work_of(state: &Living, headers: &HeaderMap) -> Duration {
    let asked = text(headers, WORK_MS).parse().map(Millis);
    let usual = asked.unwrap_or(state.options.service_time);
    Duration::from(match state.is_cold() {
        true => usual * COLD_FACTOR,
        false => usual,
    })
}
