use {
    crate::{
        connection::CallerSocket,
        process::{DaemonContext, Phase},
        request::{
            exchange::{ServerResponse, end_to_end},
            forward::forward,
            parse::{ParsedRequest, parse_request},
            refusal::{Refusal, refusal_response},
        },
    },
    axum::{
        Router,
        body::{Body, to_bytes},
        extract::{ConnectInfo, Request, State},
        http::{StatusCode, header::CONTENT_LENGTH},
        response::{IntoResponse, Response},
        routing::get,
    },
    bytes::Bytes,
    oriolehoist_protocol::EXCHANGE,
    oriolehoist_refusal::RefusalKind,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Builds the router for callers: `/ready` for the load balancer, and each service under its name.
pub(crate) fn callers_router(cx: Arc<DaemonContext>) -> Router {
    Router::new().route("/ready", get(ready)).fallback(serve).with_state(cx)
}

/// Tells the load balancer whether to send requests to this daemon.
async fn ready(State(cx): State<Arc<DaemonContext>>) -> Response {
    match cx.view.load() {
        Some(_) if !cx.is_stopping() => StatusCode::OK.into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

/// Serves a request, and gives it up if its caller leaves.
async fn serve(
    State(cx): State<Arc<DaemonContext>>,
    ConnectInfo(caller): ConnectInfo<CallerSocket>,
    request: Request,
) -> Response {
    tokio::select! {
        biased;
        // Nobody receives this response.
        () = caller.closed() => StatusCode::BAD_REQUEST.into_response(),
        response = respond(&cx, request) => response,
    }
}

async fn respond(cx: &Arc<DaemonContext>, request: Request) -> Response {
    let started = cx.clock.now();
    let Some(view) = cx.view.load() else {
        return refusal_response(
            cx,
            None,
            &Refusal::new(RefusalKind::NotReady, "no settings have arrived"),
        );
    };
    let (parts, body) = request.into_parts();
    let parsed = match parse_request(started, &view, &parts) {
        Ok(parsed) => parsed,
        Err(refusal) => return refusal_response(cx, None, &refusal),
    };
    let response = match serve_parsed(cx, &parsed, body).await {
        Ok(response) => into_response(response),
        Err(refusal) => refusal_response(cx, Some(&parsed), &refusal),
    };
    let took = cx.clock.now().since(parsed.started);
    let service = parsed.service.name.as_str();
    cx.metrics.observe(service, parsed.class, Phase::Whole, took);
    cx.metrics.observe_workspace(service, &parsed.workspace, took);
    response
}

async fn serve_parsed(
    cx: &Arc<DaemonContext>,
    parsed: &ParsedRequest,
    body: Body,
) -> Result<ServerResponse, Refusal> {
    let body = read_body(parsed, body).await?;
    forward(cx, parsed, body).await
}

async fn read_body(parsed: &ParsedRequest, body: Body) -> Result<Bytes, Refusal> {
    let max_bytes = usize::try_from(parsed.policy.max_body_bytes).unwrap_or(usize::MAX);
    let too_large = || Refusal::new(RefusalKind::TooLarge, "policy.max_body_bytes");
    let declared = parsed
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > max_bytes) {
        return Err(too_large());
    }
    let body_timeout = Duration::from_millis(parsed.policy.body_timeout_ms);
    match timeout(body_timeout, to_bytes(body, max_bytes)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) if is_length_limit_error(&error) => Err(too_large()),
        Ok(Err(_)) => Err(Refusal::new(RefusalKind::Malformed, "the body broke off")),
        Err(_) => Err(Refusal::new(RefusalKind::SlowSender, "policy.body_timeout_ms")),
    }
}

fn is_length_limit_error(error: &axum::Error) -> bool {
    let mut source: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(error) = source {
        if error.to_string().contains("length limit exceeded") {
            return true;
        }
        source = error.source();
    }
    false
}

fn into_response(server_response: ServerResponse) -> Response {
    let mut response = Response::new(Body::from(server_response.body));
    *response.status_mut() = server_response.status;
    for (name, value) in end_to_end(&server_response.headers).filter(|(name, _)| *name != EXCHANGE)
    {
        response.headers_mut().append(name.clone(), value.clone());
    }
    response
}
