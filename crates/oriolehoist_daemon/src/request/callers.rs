use {
    crate::{
        process::{Phase, Shared},
        request::{
            exchange::{Answer, end_to_end},
            forward::forward,
            parse::{Parsed, parse},
            refuse::{Refusal, answer},
        },
    },
    axum::{
        Router,
        body::{Body, to_bytes},
        extract::{Request, State},
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

/// Makes the routes for callers: `/ready` for the balancer, and every service under its name.
pub(crate) fn callers_router(cx: Arc<Shared>) -> Router {
    Router::new().route("/ready", get(ready)).fallback(serve).with_state(cx)
}

/// Tells the balancer whether to send callers here.
async fn ready(State(cx): State<Arc<Shared>>) -> Response {
    match cx.view.load() {
        Some(_) if !cx.is_stopping() => StatusCode::OK.into_response(),
        _ => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

async fn serve(State(cx): State<Arc<Shared>>, request: Request) -> Response {
    let started = cx.clock.now();
    let Some(view) = cx.view.load() else {
        return answer(&cx, None, &Refusal::new(RefusalKind::NotReady, "no settings have arrived"));
    };
    let (parts, body) = request.into_parts();
    let parsed = match parse(started, &view, &parts) {
        Ok(parsed) => parsed,
        Err(refusal) => return answer(&cx, None, &refusal),
    };
    let response = match serve_parsed(&cx, &parsed, body).await {
        Ok(answer) => into_response(answer),
        Err(refusal) => answer(&cx, Some(&parsed), &refusal),
    };
    let took = cx.clock.now().since(parsed.started);
    let service = parsed.service.name.as_str();
    cx.metrics.observe(service, parsed.class, Phase::Whole, took);
    cx.metrics.observe_tenant(service, &parsed.tenant, took);
    response
}

async fn serve_parsed(cx: &Arc<Shared>, parsed: &Parsed, body: Body) -> Result<Answer, Refusal> {
    let body = read_body(parsed, body).await?;
    forward(cx, parsed, body).await
}

async fn read_body(parsed: &Parsed, body: Body) -> Result<Bytes, Refusal> {
    let most = usize::try_from(parsed.policy.max_body_bytes).unwrap_or(usize::MAX);
    let too_large = || Refusal::new(RefusalKind::TooLarge, "policy.max_body_bytes");
    let announced = parsed
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok()?.parse::<usize>().ok());
    if announced.is_some_and(|length| length > most) {
        return Err(too_large());
    }
    let wait = Duration::from_millis(parsed.policy.body_timeout_ms);
    match timeout(wait, to_bytes(body, most)).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(error)) if is_limit(&error) => Err(too_large()),
        Ok(Err(_)) => Err(Refusal::new(RefusalKind::Malformed, "the body broke off")),
        Err(_) => Err(Refusal::new(RefusalKind::SlowSender, "policy.body_timeout_ms")),
    }
}

fn is_limit(error: &axum::Error) -> bool {
    let mut source: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(error) = source {
        if error.to_string().contains("length limit exceeded") {
            return true;
        }
        source = error.source();
    }
    false
}

fn into_response(answer: Answer) -> Response {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = answer.status;
    for (name, value) in end_to_end(&answer.headers).filter(|(name, _)| *name != EXCHANGE) {
        response.headers_mut().append(name.clone(), value.clone());
    }
    response
}
