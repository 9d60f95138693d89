use {
    crate::{
        control::{Control, GetStatus, Reply},
        process::DaemonContext,
        request::explain,
    },
    axum::{
        Json, Router,
        extract::{Query, State, rejection::QueryRejection},
        http::StatusCode,
        response::{IntoResponse, Response},
        routing::{get, post},
    },
    kameo::actor::ActorRef,
    oriolehoist_explain::{EXPLAIN_PATH, ExplainError, ExplainErrorKind, ExplainQuery},
    std::sync::Arc,
};

#[derive(Clone)]
struct OperatorsState {
    cx: Arc<DaemonContext>,
    control: ActorRef<Control>,
}

/// Builds the router for operators and their tools.
///
/// `/status` returns the daemon's state as JSON, `/metrics` the metrics in the Prometheus text
/// format, `/explain` what the daemon would do with a request, and `/why` the decoded form of a signed
/// refusal receipt.
pub(crate) fn operators_router(cx: Arc<DaemonContext>, control: ActorRef<Control>) -> Router {
    Router::new()
        .route("/status", get(status))
        .route("/metrics", get(metrics))
        .route(EXPLAIN_PATH, get(explain_request))
        .route("/why", post(why))
        .with_state(OperatorsState { cx, control })
}

async fn status(State(state): State<OperatorsState>) -> Response {
    match state.control.ask(GetStatus).await {
        Ok(Reply(status)) => Json(status).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn metrics(State(state): State<OperatorsState>) -> Response {
    match state.cx.metrics.render(state.cx.store.calls()) {
        Ok(text) => text.into_response(),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_response(),
    }
}

async fn explain_request(
    State(state): State<OperatorsState>,
    query: Result<Query<ExplainQuery>, QueryRejection>,
) -> Response {
    let explained = match query {
        Ok(Query(query)) => explain(&state.cx, &query),
        Err(error) => Err(ExplainError::new(ExplainErrorKind::InvalidQuery, error.body_text())),
    };
    state.cx.metrics.on_explained(explained.as_ref().err().map(|error| error.error));
    match explained {
        Ok(explanation) => Json(explanation).into_response(),
        Err(error) => {
            let status = StatusCode::from_u16(error.error.status());
            (status.unwrap_or(StatusCode::BAD_REQUEST), Json(error)).into_response()
        }
    }
}

async fn why(State(state): State<OperatorsState>, receipt: String) -> Response {
    match state.cx.keys.verify(&receipt) {
        Ok(receipt) => Json(receipt).into_response(),
        Err(error) => (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    }
}
