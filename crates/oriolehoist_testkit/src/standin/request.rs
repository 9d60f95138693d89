//! How a fake backend server runs a request.

use {
    crate::{
        lock::lock,
        standin::{
            Run, RunOutcome,
            backend::{
                COLD_FACTOR, CRASH_PATH, RunResponse, ServerState, header_text, refuse, respond,
            },
            guards::{RunGuard, SlotGuard, WorkGuard},
        },
    },
    axum::{
        body::Body,
        extract::Request,
        http::{HeaderMap, StatusCode},
        response::{IntoResponse, Response},
    },
    oriolehoist_protocol::{
        DEADLINE_MS, EPOCH, EXCHANGE, Epoch, KEY, REQUEST_ID, SERVICE, SHARD, ShardId,
    },
    oriolehoist_time::Millis,
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

pub(super) async fn run_request(state: Arc<ServerState>, request: Request<Body>) -> Response {
    state.wait_until_thawed().await;
    let (parts, body) = request.into_parts();
    let Ok(body) = axum::body::to_bytes(body, usize::MAX).await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let headers = &parts.headers;
    let exchange = header_text(headers, EXCHANGE);
    let shard = header_text(headers, SHARD).parse().ok().map(ShardId);
    let epoch = Epoch::parse(&header_text(headers, EPOCH));
    let request_id = header_text(headers, REQUEST_ID);
    if header_text(headers, SERVICE) != state.options.service.as_str() {
        return refuse(&state, &exchange, "service");
    }
    let Ok(work) = state.begin_work(shard, epoch) else {
        return refuse(&state, &exchange, "grant");
    };
    let work = WorkGuard { state: Arc::clone(&state), work };
    let stored = lock(&state.responses).get(&request_id).cloned();
    if let Some(stored) = stored {
        return respond(&state, StatusCode::OK, &exchange, stored.body);
    }
    let Some(slot) = SlotGuard::acquire(&state) else {
        return refuse(&state, &exchange, "shed");
    };
    let run = Run {
        service: state.options.service.clone(),
        server: state.options.name.clone(),
        incarnation: state.incarnation,
        request_id: request_id.clone(),
        key: header_text(headers, KEY),
        shard,
        epoch,
        started_at: state.clock.now(),
        ended_at: state.clock.now(),
        outcome: RunOutcome::Running,
    };
    let run_guard = RunGuard {
        run_index: state.journal.begin_run(run),
        state: Arc::clone(&state),
        committed: false,
    };
    if parts.uri.path() == CRASH_PATH {
        let crash_tx = lock(&state.crash_tx).take();
        let _ = crash_tx.map(|tx| tx.send(()));
        std::future::pending::<()>().await;
    }
    let service_time = service_time_for(&state, headers);
    let deadline = header_text(headers, DEADLINE_MS).parse().map(Duration::from_millis);
    // A server does not work beyond the deadline of a request.
    if timeout(deadline.unwrap_or(Duration::MAX), sleep(service_time)).await.is_err() {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    state.wait_until_thawed().await;
    if !work.may_commit() {
        return refuse(&state, &exchange, "grant");
    }
    let response = RunResponse {
        body: format!(
            "{{\"request_id\":\"{request_id}\",\"key\":\"{}\",\"server\":\"{}\",\"bytes\":{}}}",
            header_text(headers, KEY),
            state.options.name,
            body.len(),
        ),
    };
    // Committing and storing the response are one atomic step, because a repeat of the request may
    // have run at the same time.
    let earlier = {
        let mut responses = lock(&state.responses);
        let stored = responses.get(&request_id).cloned();
        if stored.is_none() {
            run_guard.commit();
            if !request_id.is_empty() {
                responses.insert(request_id, response.clone());
            }
        }
        stored
    };
    drop((slot, work));
    respond(&state, StatusCode::OK, &exchange, earlier.unwrap_or(response).body)
}

/// The header with which tests request another service time, in milliseconds.
const SERVICE_TIME_HEADER: &str = "work-ms";

fn service_time_for(state: &ServerState, headers: &HeaderMap) -> Duration {
    let requested = header_text(headers, SERVICE_TIME_HEADER).parse().map(Millis);
    let service_time = requested.unwrap_or(state.options.service_time);
    Duration::from(match state.is_cold() {
        true => service_time * COLD_FACTOR,
        false => service_time,
    })
}
