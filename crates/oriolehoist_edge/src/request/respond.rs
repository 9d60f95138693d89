use {
    crate::{
        control::OrDash,
        process::Shared,
        request::{
            CallerResponse,
            forward::{ForwardOutcome, RoutedRequest, forward},
            presence::CallerPresence,
            refusal::{Refusal, status},
        },
    },
    bytes::Bytes,
    http::{HeaderName, HeaderValue, header::HOST},
    oriolehoist_http1::RequestHead,
    oriolehoist_log::{Event, report},
    oriolehoist_port::{HttpRequest, Route},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{future::Future, sync::Arc},
};

/// The maximum time for a request that carries no deadline.
const DEFAULT_DEADLINE: Millis = Millis(5000);
/// If a caller grants less than the route's timeout by more than this, its request is treated as a
/// retry.
const RETRY_DETECTION_THRESHOLD: Millis = Millis(20);

/// A complete request from a caller.
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) arrived: Millis,
}

/// Routes a request. Returns a future of the response, and by what it learns that its caller has
/// left. The response is `None` if the request was given up for that reason.
pub(crate) fn respond(
    cx: Arc<Shared>,
    request: Request,
) -> (CallerPresence, impl Future<Output = Option<CallerResponse>> + Send + 'static) {
    let Request { head, body, arrived } = request;
    let (method, path, headers) = (head.method, head.target, head.headers);
    let request = HttpRequest { method, path, headers, body };
    let routed = route_request(&cx, request, arrived, pick_service);
    let presence = match &routed {
        Ok(routed) => routed.presence.clone(),
        Err(_) => CallerPresence::new(true),
    };
    let caller = presence.clone();
    let response = async move {
        match routed {
            Ok(routed) => {
                let response = caller.run_while_wanted(forward_and_log(&cx, routed)).await;
                if response.is_none() {
                    cx.metrics.on_abandoned();
                }
                response
            }
            Err((id, refusal)) => {
                log_refusal(&cx, &id, "", &refusal, Millis::ZERO);
                Some(CallerResponse::from(&refusal))
            }
        }
    };
    (presence, response)
}

async fn forward_and_log(cx: &Arc<Shared>, mut routed: RoutedRequest) -> CallerResponse {
    let outcome = forward(cx, &mut routed).await;
    let elapsed = cx.clock.now().since(routed.arrived);
    let service = routed.service.as_str();
    cx.metrics.observe(service, elapsed);
    match outcome {
        ForwardOutcome::Response(response) => {
            let text = format_args!(
                "request={} {} status={} late={} took_ms={}",
                routed.id_text(),
                routed.log_context(cx),
                response.status,
                cx.clock.now() > routed.latency_objective,
                elapsed.0,
            );
            report(Event::Served, text);
            CallerResponse::from(response)
        }
        ForwardOutcome::Refused(refusal) => {
            log_refusal(cx, routed.id_text(), &routed.log_context(cx), &refusal, elapsed);
            CallerResponse::from(&refusal)
        }
    }
}

/// Finds the route of a request that arrived at `arrived`. `pick_service` returns the one of the route's
/// services that the request is for.
///
/// # Errors
///
/// Returns the request's id, and the refusal of one without a route or the key that it needs.
pub(super) fn route_request(
    cx: &Shared,
    request: HttpRequest,
    arrived: Millis,
    pick_service: impl FnOnce(&Route) -> SmolStr,
) -> Result<RoutedRequest, (String, Refusal)> {
    let names = cx.platform.header_names();
    let headers = &request.headers;
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let id = headers.get(&names.request_id).cloned();
    let refuse = |kind, reason| {
        let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
        Err((id.to_owned(), Refusal::new(kind, reason)))
    };
    let Some(view) = cx.view.load() else {
        return refuse(RefusalKind::NotReady, "no configuration received yet");
    };
    let Some(host) = headers.get(HOST).and_then(|host| host.to_str().ok()) else {
        return refuse(RefusalKind::Malformed, "the Host header is missing");
    };
    let Some(route) = view.route(host, &request.path).cloned() else {
        return refuse(RefusalKind::UnknownService, "no route matches");
    };
    let service = pick_service(&route);
    let sharded = view.config.services.get(&service).is_some_and(|spec| spec.sharded);
    let key = text(&names.key).and_then(|key| key.parse::<u16>().ok());
    if sharded && key.is_none() {
        return refuse(RefusalKind::MissingKey, "the key is missing or not a 16-bit number");
    }
    let deadline = text(&names.deadline).and_then(|deadline| deadline.parse().ok());
    let time_limit = time_limit(&route, deadline.map(Millis));
    let time_spent = route.timeout.since(time_limit);
    let idempotent = route.idempotent;
    let mut forwarded = request.headers;
    forwarded.remove(&names.expected_server);
    Ok(RoutedRequest {
        id: id.unwrap_or_else(|| HeaderValue::from_static("")),
        method: request.method,
        target: request.path,
        headers: forwarded,
        body: request.body,
        arrived,
        deadline: arrived + time_limit,
        latency_objective: arrived + route.latency_objective.since(time_spent),
        is_retry: time_spent > RETRY_DETECTION_THRESHOLD,
        key: key.filter(|_| sharded),
        work: cx.route_work(&service, &route.name),
        service,
        route,
        view,
        attempts: 0,
        last_server: SmolStr::default(),
        last_draining: None,
        counted: false,
        presence: CallerPresence::new(idempotent),
        is_handed_over: false,
        via: None,
    })
}

/// Returns the maximum time for a request on a route whose caller grants `deadline`.
pub(super) fn time_limit(route: &Route, deadline: Option<Millis>) -> Millis {
    deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout)
}

/// Picks a service at random by the weights of the route.
fn pick_service(route: &Route) -> SmolStr {
    let total: u32 = route.service_weights.iter().map(|entry| entry.1).sum();
    let mut point = fastrand::u32(0..total.max(1));
    for (service, weight) in &route.service_weights {
        match point.checked_sub(*weight) {
            Some(rest) => point = rest,
            None => return service.clone(),
        }
    }
    route.service_weights.last().map(|entry| entry.0.clone()).unwrap_or_default()
}

fn log_refusal(cx: &Shared, id: &str, context: &str, refusal: &Refusal, elapsed: Millis) {
    cx.metrics.on_refusal(refusal.kind);
    let millis = |time: Option<Millis>| time.map_or(-1, |time| time.0 as i64);
    let text = format_args!(
        "request={id} kind={} status={} rule=\"{}\" {context} wait_ms={} come_back_ms={} took_ms={}",
        refusal.kind,
        status(refusal),
        refusal.reason,
        millis(refusal.expected_wait),
        millis(refusal.retry_after),
        elapsed.0,
    );
    report(Event::Refused, text);
}

impl RoutedRequest {
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or_default()
    }

    /// Describes the routing decision for the log, with the versions that it was based on.
    fn log_context(&self, cx: &Shared) -> String {
        let key = self.key.map_or(-1, i32::from);
        let (route, service, server) = (&self.route.name, &self.service, &self.last_server);
        let given = self.deadline.since(self.arrived).0;
        let (attempts, config) = (self.attempts, self.view.config.version);
        let (routes, servers) = (&self.view.routes_version, self.view.servers_revision);
        let draining = self.last_draining.map_or(-1, |time| time.0 as i64);
        let servers_age = cx.servers_age().0;
        let via = OrDash(self.via);
        format!(
            "route={route} service={service} key={key} offers={attempts} server={server} \
             given_ms={given} returned={} config={config:08x} routes={routes} servers={servers} \
             servers_age_ms={servers_age} draining_ms={draining} via={via}",
            self.is_retry,
        )
    }

    /// Replaces the request's view by the current one.
    pub(crate) fn refresh_view(&mut self, cx: &Shared) {
        if let Some(view) = cx.view.load() {
            self.view = view;
        }
    }
}
