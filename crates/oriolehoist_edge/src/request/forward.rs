use {
    crate::{
        connection::Backend,
        process::Shared,
        request::{
            exchange::{Offered, offer},
            refuse::Refusal,
            select::{Choice, select},
            suspicion,
        },
        version::View,
    },
    bytes::Bytes,
    http::{HeaderMap, HeaderValue, Method},
    oriolehoist_port::{HttpResponse, Route},
    oriolehoist_refusal::RefusalKind,
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// The longest wait for keys that are being moved: the work that is running there has to end.
const MOVE_WAIT: Millis = Millis(500);
/// The longest wait for a newer view after a server said that it does not hold the key.
const STALE_WAIT: Millis = Millis(250);
/// How often one request may find its key with another server than the view said.
const MAX_STALE: u32 = 3;
/// How often a request is offered to a server that can't be reached.
const MAX_UNSENT: u32 = 2;
/// When to come back if nothing better is known.
pub(super) const SOON: Millis = Millis(100);

/// A request on its way.
pub(crate) struct Job {
    pub(crate) id: HeaderValue,
    pub(crate) method: Method,
    pub(crate) target: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Millis,
    /// When the caller or the route gives up.
    pub(crate) deadline: Millis,
    /// Until when an answer has its full value.
    pub(crate) objective: Millis,
    /// The caller has less time than the route gives: it was refused before.
    pub(crate) returned: bool,
    /// The key, for a service that is split by key.
    pub(crate) key: Option<u16>,
    pub(crate) service: SmolStr,
    pub(crate) route: Route,
    pub(crate) view: Arc<View>,
    /// How often it was sent to a server.
    pub(crate) offers: u32,
    pub(crate) last_server: SmolStr,
    /// An offer ended without an answer.
    pub(crate) may_have_run: bool,
}

/// How a request ended.
pub(crate) enum Outcome {
    Answered(HttpResponse),
    Refused(Refusal),
}

/// Takes a request to a server and brings its answer back.
pub(crate) async fn forward(cx: &Arc<Shared>, job: &mut Job) -> Outcome {
    match offer_until_settled(cx, job).await {
        // An earlier offer may have run, whatever decided in the end.
        Outcome::Refused(refusal) if job.may_have_run => {
            Outcome::Refused(Refusal::new(RefusalKind::OutcomeUnknown, refusal.rule))
        }
        outcome => outcome,
    }
}

async fn offer_until_settled(cx: &Arc<Shared>, job: &mut Job) -> Outcome {
    cx.on_first_offer(&job.service);
    if let Some(key) = job.key {
        cx.count_key(&job.service, key);
    }
    let mut tried: Vec<SmolStr> = Vec::new();
    let mut stale = 0;
    let mut unsent = 0;
    loop {
        let backend = match choose(cx, job, &tried).await {
            Ok(backend) => backend,
            Err(refusal) => return Outcome::Refused(refusal),
        };
        if let Some(refusal) = too_late(cx, job, &backend) {
            return Outcome::Refused(refusal);
        }
        let turn = match suspicion::admit(cx, job, &backend) {
            Ok(turn) => turn,
            Err(refusal) => return Outcome::Refused(refusal),
        };
        if job.offers > 0 && !cx.try_spend_retry(&job.service) {
            return Outcome::Refused(Refusal::new(
                RefusalKind::ServerRefused,
                "the retry budget is spent",
            ));
        }
        let untried = !tried.contains(&backend.life.id);
        if untried && tried.len() as u32 >= job.route.max_attempts {
            return Outcome::Refused(Refusal::new(
                RefusalKind::ServerRefused,
                "attempts of the route",
            ));
        }
        let mut changes = cx.view.subscribe();
        let offered = offer(cx, job, &backend).await;
        drop(turn);
        job.last_server = backend.life.id.clone();
        if !matches!(offered, Offered::Unsent) {
            job.offers += 1;
            if untried {
                tried.push(backend.life.id.clone());
            }
        }
        if matches!(offered, Offered::Lost(_)) {
            suspicion::on_broken(cx, job, &backend);
        }
        let may_repeat = job.route.idempotent && cx.clock.now() < job.deadline;
        match offered {
            Offered::Answered(answer) => {
                suspicion::clear(cx, job);
                return Outcome::Answered(answer);
            }
            Offered::Shed if job.key.is_none() && job.route.max_attempts > tried.len() as u32 => {}
            Offered::Shed => {
                let wait = backend.gauge().expected_wait(cx.clock.now()).max(SOON);
                let refusal = Refusal::new(RefusalKind::Overloaded, "the server is full");
                return Outcome::Refused(refusal.wait(wait).come_back(wait));
            }
            Offered::NotOwner if stale < MAX_STALE => {
                stale += 1;
                let wait = STALE_WAIT.min(job.deadline.since(cx.clock.now()));
                // Without a newer view the same server is asked once more: it may just have been
                // granted the key.
                let _ = timeout(Duration::from(wait), changes.changed()).await;
                tried.pop();
            }
            Offered::NotOwner => {
                let refusal = Refusal::new(RefusalKind::NoOwner, "no server holds the key");
                return Outcome::Refused(refusal.come_back(STALE_WAIT));
            }
            Offered::Unsent if unsent < MAX_UNSENT => {
                unsent += 1;
                if job.key.is_some() {
                    let wait = SOON.min(job.deadline.since(cx.clock.now()));
                    let _ = timeout(Duration::from(wait), changes.changed()).await;
                }
            }
            Offered::Unsent => {
                return Outcome::Refused(Refusal::new(RefusalKind::Unreachable, "no connection"));
            }
            Offered::Lost(_) if may_repeat => job.may_have_run = true,
            Offered::Lost(why) => {
                return Outcome::Refused(Refusal::new(RefusalKind::OutcomeUnknown, why));
            }
            Offered::TimedOut => {
                let refusal = Refusal::new(RefusalKind::OutcomeUnknown, "the deadline passed");
                return Outcome::Refused(refusal);
            }
        }
        job.refresh(cx);
    }
}

/// Chooses a server, after waiting for keys that are being moved.
async fn choose(
    cx: &Arc<Shared>,
    job: &mut Job,
    tried: &[SmolStr],
) -> Result<Arc<Backend>, Refusal> {
    let started = cx.clock.now();
    loop {
        let mut changes = cx.view.subscribe();
        job.refresh(cx);
        match select(cx, job, tried) {
            Choice::Server(backend) => return Ok(backend),
            Choice::Refuse(refusal) => return Err(refusal),
            Choice::Wait => {}
        }
        let until = (started + MOVE_WAIT).min(job.objective);
        let left = until.since(cx.clock.now());
        if timeout(Duration::from(left), changes.changed()).await.is_err() {
            return Err(
                Refusal::new(RefusalKind::NoOwner, "the key is being moved").come_back(SOON)
            );
        }
    }
}

/// Refuses a request at once that the server could not finish in time.
///
/// Answers servers that many daemons share: a queue in which everything becomes late serves nobody
/// better than a short one, and a caller that is refused at once has time to come back. Callers
/// that have come back are treated as all others: admitted into a long queue, they made both
/// themselves and those behind them late.
fn too_late(cx: &Shared, job: &Job, backend: &Backend) -> Option<Refusal> {
    let now = cx.clock.now();
    let (wait, expected) = {
        let gauge = backend.gauge();
        (gauge.expected_wait(now), gauge.expected_latency(now))
    };
    let refuse = |rule, after: Millis| {
        Some(Refusal::new(RefusalKind::Overloaded, rule).wait(wait).come_back(after.max(SOON)))
    };
    let over = expected.since(job.route.latency_objective);
    match () {
        () if now >= job.deadline => refuse("the deadline has passed", SOON),
        () if now + wait > job.deadline => {
            refuse("the server's queue is longer than the deadline", wait)
        }
        () if wait > Millis::ZERO && over > Millis::ZERO => {
            refuse("the server's queue is longer than the objective", over)
        }
        () if backend.is_at_share() => refuse("this daemon's share of the server is in use", wait),
        () => None,
    }
}
