//! Explains to operators what this daemon would do with a request at this moment.
//!
//! The functions that forward requests decide, without their effects: nothing is sent, counted or taken
//! from a limit or a budget, and nothing is drawn at random.

mod server;
mod step;

use {
    crate::{
        process::Shared,
        request::{
            explain::{
                server::{explain_servers, owner_of},
                step::{first_step, refuse},
            },
            respond::{route_request, time_limit},
        },
    },
    axum::{
        Json, Router,
        extract::{Query, State, rejection::QueryRejection},
        http::StatusCode,
        response::{IntoResponse, Response},
        routing::get,
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method, header::HOST},
    oriolehoist_explain::{
        EXPLAIN_PATH, ExplainError, ExplainErrorKind, ExplainQuery, ExplainedPart, ExplainedRoute,
        Explanation, explain_step,
    },
    oriolehoist_port::HttpRequest,
    oriolehoist_refusal::RefusalKind,
    smol_str::SmolStr,
    std::sync::Arc,
};

/// The route for operators, at the metrics address.
pub(crate) fn explain_router(cx: Arc<Shared>) -> Router {
    Router::new().route(EXPLAIN_PATH, get(serve)).with_state(cx)
}

async fn serve(
    State(cx): State<Arc<Shared>>,
    query: Result<Query<ExplainQuery>, QueryRejection>,
) -> Response {
    let explained = match query {
        Ok(Query(query)) => explain(&cx, &query),
        Err(error) => Err(ExplainError::new(ExplainErrorKind::InvalidQuery, error.body_text())),
    };
    cx.metrics.on_explained(explained.as_ref().err().map(|error| error.error));
    match explained {
        Ok(explanation) => Json(explanation).into_response(),
        Err(error) => {
            let status = StatusCode::from_u16(error.error.status());
            (status.unwrap_or(StatusCode::BAD_REQUEST), Json(error)).into_response()
        }
    }
}

fn explain(cx: &Shared, query: &ExplainQuery) -> Result<Explanation, ExplainError> {
    let request = http_request(cx, query)?;
    let not_ready =
        || ExplainError::new(ExplainErrorKind::NotReady, "the daemon has no configuration yet");
    let view = cx.view.load().ok_or_else(not_ready)?;
    let route = view.route(&query.host, &query.path).ok_or_else(|| unknown_route(query))?;
    let parts = route.service_weights.iter();
    let parts = parts.map(|(service, weight)| explain_part(cx, query, &request, service, *weight));
    Ok(Explanation {
        instance: cx.bootstrap.instance.clone(),
        settings: view.config.version,
        route: ExplainedRoute {
            name: route.name.clone(),
            host: route.host.clone(),
            prefix: route.prefix.clone(),
            priority: route.priority,
            deadline_ms: time_limit(route, query.deadline_ms),
            objective_ms: Some(route.latency_objective),
        },
        parts: parts.collect::<Result<_, _>>()?,
    })
}

fn unknown_route(query: &ExplainQuery) -> ExplainError {
    let message = format!("no route matches host \"{}\" and path \"{}\"", query.host, query.path);
    ExplainError::new(ExplainErrorKind::UnknownRoute, message)
}

fn invalid_key(query: &ExplainQuery) -> ExplainError {
    let key = query.key.as_deref().unwrap_or_default();
    let message = format!("the key \"{key}\" is not a 16-bit number");
    ExplainError::new(ExplainErrorKind::InvalidKey, message)
}

/// Returns the request that a caller would send.
fn http_request(cx: &Shared, query: &ExplainQuery) -> Result<HttpRequest, ExplainError> {
    let invalid = |part: &str| {
        let message = format!("the {part} is missing or malformed");
        ExplainError::new(ExplainErrorKind::InvalidQuery, message)
    };
    let method = Method::from_bytes(query.method.as_bytes()).map_err(|_| invalid("method"))?;
    if !query.path.starts_with('/') {
        return Err(invalid("path"));
    }
    let names = cx.platform.header_names();
    let mut headers = HeaderMap::new();
    let host = HeaderValue::from_str(&query.host).ok().filter(|host| !host.is_empty());
    headers.insert(HOST, host.ok_or_else(|| invalid("host"))?);
    if let Some(key) = &query.key {
        let key = HeaderValue::from_str(key).map_err(|_| invalid_key(query))?;
        headers.insert(names.key.clone(), key);
    }
    if let Some(deadline) = query.deadline_ms {
        headers.insert(names.deadline.clone(), deadline.0.into());
    }
    Ok(HttpRequest { method, path: query.path.clone(), headers, body: Bytes::new() })
}

/// Explains what happens to a request if it is for this one of the route's services.
fn explain_part(
    cx: &Shared,
    query: &ExplainQuery,
    request: &HttpRequest,
    service: &SmolStr,
    weight: u32,
) -> Result<ExplainedPart, ExplainError> {
    let now = cx.clock.now();
    let routed = route_request(cx, request.clone(), now, |_| service.clone());
    let part = |owner, servers, decision| ExplainedPart {
        service: service.clone(),
        weight,
        owner,
        servers,
        decision,
    };
    match routed {
        Ok(request) => {
            let owner = request.key.map(|key| owner_of(&request, key));
            let (decision, servers) =
                explain_step(|| first_step(cx, &request), || explain_servers(cx, &request));
            Ok(part(owner, servers, decision))
        }
        Err((_, refusal)) => match refusal.kind {
            RefusalKind::UnknownService => Err(unknown_route(query)),
            RefusalKind::MissingKey if query.key.is_some() => Err(invalid_key(query)),
            _ => Ok(part(None, Vec::new(), refuse(&refusal))),
        },
    }
}
