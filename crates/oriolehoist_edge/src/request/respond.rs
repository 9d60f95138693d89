use {
    crate::{
        process::Shared,
        request::{
            Reply,
            forward::{Job, Outcome, forward},
            refuse::Refusal,
        },
    },
    bytes::Bytes,
    http::{HeaderName, HeaderValue, header::HOST},
    oriolehoist_http1::RequestHead,
    oriolehoist_log::{Event, report},
    oriolehoist_port::Route,
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{future::Future, sync::Arc},
};

/// The longest time that is granted to a request that names no deadline.
const USUAL_DEADLINE: Millis = Millis(5000);
/// A caller that has this much less time than the route gives has tried before.
const RETURNED_AFTER: Millis = Millis(20);

/// A whole request of a caller.
pub(crate) struct Request {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) arrived: Millis,
}

/// Decides where a request goes. Returns whether it may run more than once, and its answer.
pub(crate) fn respond(
    cx: Arc<Shared>,
    request: Request,
) -> (bool, impl Future<Output = Reply> + Send + 'static) {
    let job = prepare(&cx, request);
    let repeatable = job.as_ref().is_ok_and(|job| job.route.idempotent);
    let serve = async move {
        match job {
            Ok(job) => serve(&cx, job).await,
            Err((id, refusal)) => {
                log_refusal(&cx, &id, "", &refusal, Millis::ZERO);
                refusal.reply()
            }
        }
    };
    (repeatable, serve)
}

async fn serve(cx: &Arc<Shared>, mut job: Job) -> Reply {
    let outcome = forward(cx, &mut job).await;
    let took = cx.clock.now().since(job.arrived);
    let service = job.service.as_str();
    cx.metrics.observe(service, took);
    match outcome {
        Outcome::Answered(answer) => {
            let text = format_args!(
                "request={} {} status={} late={} took_ms={}",
                job.id_text(),
                job.context(),
                answer.status,
                cx.clock.now() > job.objective,
                took.0,
            );
            report(Event::Served, text);
            Reply::from(answer)
        }
        Outcome::Refused(refusal) => {
            log_refusal(cx, job.id_text(), &job.context(), &refusal, took);
            refusal.reply()
        }
    }
}

fn prepare(cx: &Shared, request: Request) -> Result<Job, (String, Refusal)> {
    let names = cx.platform.header_names();
    let headers = &request.head.headers;
    let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let id = headers.get(&names.request_id).cloned();
    let refuse = |kind, rule| {
        let id = id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
        Err((id.to_owned(), Refusal::new(kind, rule)))
    };
    let Some(view) = cx.view.load() else {
        return refuse(RefusalKind::NotReady, "no configuration has arrived");
    };
    let Some(host) = headers.get(HOST).and_then(|host| host.to_str().ok()) else {
        return refuse(RefusalKind::Malformed, "the host is missing");
    };
    let Some(route) = view.route(host, &request.head.target).cloned() else {
        return refuse(RefusalKind::UnknownService, "no route matches");
    };
    let service = pick_share(&route);
    let by_key = view.config.services.get(&service).is_some_and(|spec| spec.sharded);
    let key = text(&names.key).and_then(|key| key.parse::<u16>().ok());
    if by_key && key.is_none() {
        return refuse(RefusalKind::MissingKey, "the key is missing or no number");
    }
    let wait = text(&names.deadline).and_then(|deadline| deadline.parse().ok());
    let wait = wait.map_or(USUAL_DEADLINE, Millis).min(route.timeout);
    let spent = route.timeout.since(wait);
    let mut forwarded = request.head.headers;
    forwarded.remove(&names.expected_server);
    Ok(Job {
        id: id.unwrap_or_else(|| HeaderValue::from_static("")),
        method: request.head.method,
        target: request.head.target,
        headers: forwarded,
        body: request.body,
        arrived: request.arrived,
        deadline: request.arrived + wait,
        objective: request.arrived + route.latency_objective.since(spent),
        returned: spent > RETURNED_AFTER,
        key: key.filter(|_| by_key),
        service,
        route,
        view,
        offers: 0,
        last_server: SmolStr::default(),
        may_have_run: false,
    })
}

/// Chooses a service by the weights of the route's shares.
fn pick_share(route: &Route) -> SmolStr {
    let total: u32 = route.service_weights.iter().map(|share| share.1).sum();
    let mut at = fastrand::u32(0..total.max(1));
    for (service, weight) in &route.service_weights {
        match at.checked_sub(*weight) {
            Some(rest) => at = rest,
            None => return service.clone(),
        }
    }
    route.service_weights.last().map(|share| share.0.clone()).unwrap_or_default()
}

fn log_refusal(cx: &Shared, id: &str, context: &str, refusal: &Refusal, took: Millis) {
    cx.metrics.on_refusal(refusal.kind);
    let millis = |time: Option<Millis>| time.map_or(-1, |time| time.0 as i64);
    let text = format_args!(
        "request={id} kind={} status={} rule=\"{}\" {context} wait_ms={} come_back_ms={} took_ms={}",
        refusal.kind,
        refusal.status(),
        refusal.rule,
        millis(refusal.wait),
        millis(refusal.come_back),
        took.0,
    );
    report(Event::Refused, text);
}

impl Job {
    pub(crate) fn id_text(&self) -> &str {
        self.id.to_str().unwrap_or_default()
    }

    /// Describes what decided, for the log: where it went, and by which versions.
    fn context(&self) -> String {
        let key = self.key.map_or(-1, i32::from);
        let (route, service, server) = (&self.route.name, &self.service, &self.last_server);
        let given = self.deadline.since(self.arrived).0;
        let (offers, config) = (self.offers, self.view.config.version);
        let (routes, servers) = (&self.view.routes_stamp, self.view.servers_at);
        format!(
            "route={route} service={service} key={key} offers={offers} server={server} \
             given_ms={given} returned={} config={config:08x} routes={routes} servers={servers}",
            self.returned,
        )
    }

    /// Returns the view as it is now.
    pub(crate) fn refresh(&mut self, cx: &Shared) {
        if let Some(view) = cx.view.load() {
            self.view = view;
        }
    }
}
