//! Requests that wait at this daemon until their server's queue leaves room for more urgent ones.

use {
    crate::{
        connection::Backend,
        process::{Shared, lock},
        request::forward::{RequestLife, RoutedRequest},
    },
    oriolehoist_admission::{HeldRequest, HeldRequests, HoldId},
    oriolehoist_log::{Event, report},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{
        collections::{HashMap, HashSet},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{sync::oneshot, time::sleep},
};

/// The least part of the longest wait after which a request tries again. It is random, so that the
/// requests of many daemons do not all try at the same time.
const MIN_WAIT_PART: f64 = 0.5;
/// The time after which it is checked whether a service's requests are still held.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// What a request waits for: a service, or the owner of its key.
type HoldQueue = (SmolStr, Option<SmolStr>);

/// The requests that wait at this daemon.
#[derive(Default)]
pub(crate) struct Holds(Mutex<HoldsState>);

#[derive(Default)]
struct HoldsState {
    requests: HeldRequests<HoldQueue>,
    /// A message, or the end of the channel, ends the wait of a request.
    releases: HashMap<HoldId, oneshot::Sender<()>>,
    /// How many requests of each service wait.
    counts: HashMap<SmolStr, usize>,
    /// The services whose requests were reported to be held.
    reported: HashSet<SmolStr>,
}

impl Holds {
    /// Ends all waits, and holds no more requests: this daemon stops.
    pub(crate) fn close(&self) {
        let mut state = lock(&self.0);
        state.requests.close();
        state.releases.clear();
    }

    /// Returns when a request has its turn, or `None` if its wait has ended.
    fn turn(&self, id: HoldId) -> Option<Millis> {
        lock(&self.0).requests.turn(id)
    }

    /// Ends the waits of the requests that try again at `now`.
    fn release_due(&self, now: Millis) {
        let mut state = lock(&self.0);
        while let Some(id) = state.requests.take_due(now) {
            if let Some(release) = state.releases.remove(&id) {
                // Sending fails if the caller has just left.
                let _ = release.send(());
            }
        }
    }

    /// Returns whether no request of a reported service waits any more. It then counts as not reported.
    fn take_ended(&self, service: &SmolStr) -> bool {
        let mut state = lock(&self.0);
        let has_ended = !state.counts.contains_key(service);
        if has_ended {
            state.reported.remove(service);
        }
        has_ended
    }
}

/// The waits of a request, which are counted when it ends.
pub(super) struct RequestHolds<'a> {
    cx: &'a Shared,
    waited: Millis,
    /// When the present wait began.
    waiting_since: Option<Millis>,
    attempts_before: u32,
    end: Option<&'static str>,
}

impl<'a> RequestHolds<'a> {
    pub(super) fn new(cx: &'a Shared) -> RequestHolds<'a> {
        let (waited, waiting_since) = (Millis::ZERO, None);
        RequestHolds { cx, waited, waiting_since, attempts_before: 0, end: None }
    }

    /// Records that the request waits from `now` on.
    fn on_started(&mut self, now: Millis, attempts: u32) {
        self.waiting_since = Some(now);
        self.attempts_before = attempts;
        self.end = Some("left");
    }

    /// Records that the request tries again. If its caller leaves from now on, it counts as sent.
    fn on_tried(&mut self, now: Millis) {
        let since = self.waiting_since.take().unwrap_or(now);
        self.waited += now.since(since);
        self.end = Some("sent");
    }

    /// Records that the request has ended after this many attempts.
    pub(super) fn on_ended(&mut self, attempts: u32) {
        self.end = match self.end {
            Some(_) if attempts == self.attempts_before => Some("refused"),
            end => end,
        };
    }
}

impl Drop for RequestHolds<'_> {
    fn drop(&mut self) {
        let Some(end) = self.end else { return };
        let now = self.cx.clock.now();
        let waiting = self.waiting_since.map_or(Millis::ZERO, |since| now.since(since));
        self.cx.metrics.on_held(end, self.waited + waiting);
    }
}

/// A waiting request, until this value is dropped: it tries again, or its caller has left.
struct Waiting<'a> {
    cx: &'a Shared,
    id: HoldId,
    service: &'a SmolStr,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = lock(&self.cx.holds.0);
        state.requests.remove(self.id);
        state.releases.remove(&self.id);
        let left = state.counts.get(self.service).map_or(0, |count| count - 1);
        match left {
            0 => state.counts.remove(self.service),
            _ => state.counts.insert(self.service.clone(), left),
        };
        self.cx.metrics.set_held(self.service, left);
    }
}

/// Lets a request wait for at most `wait`, or tells it that it can't.
pub(super) async fn hold(
    cx: &Arc<Shared>,
    request: &RoutedRequest,
    life: &mut RequestLife,
    holds: &mut RequestHolds<'_>,
    server: &Backend,
    wait: Millis,
) {
    let Some((waiting, released)) = start(cx, request, life, server, wait) else {
        return life.on_hold_denied();
    };
    holds.on_started(cx.clock.now(), life.attempts());
    wait_for_turn(cx, waiting.id, released).await;
    drop(waiting);
    holds.on_tried(cx.clock.now());
    if cx.is_stopping() {
        life.on_hold_denied();
    }
}

/// Adds a request to those that wait. Returns `None` if there is no room for it.
fn start<'a>(
    cx: &'a Arc<Shared>,
    request: &'a RoutedRequest,
    life: &RequestLife,
    server: &Backend,
    wait: Millis,
) -> Option<(Waiting<'a>, oneshot::Receiver<()>)> {
    let now = cx.clock.now();
    let service = &request.service;
    let part = MIN_WAIT_PART + (1.0 - MIN_WAIT_PART) * fastrand::f64();
    let owner = request.key.map(|_| server.incarnation.id.clone());
    let held = HeldRequest {
        queue: (service.clone(), owner),
        priority: request.route.priority,
        slack_ends: life.hold_ends().unwrap_or(now + wait),
        turn: now + Millis((wait.0 as f64 * part).ceil() as u64),
        body_bytes: request.body.len(),
    };
    let (release, released) = oneshot::channel();
    let mut state = lock(&cx.holds.0);
    let id = state.requests.hold(held)?;
    state.releases.insert(id, release);
    let count = state.counts.entry(service.clone()).or_default();
    *count += 1;
    cx.metrics.set_held(service, *count);
    let is_new = state.reported.insert(service.clone());
    drop(state);
    if is_new {
        let headroom = request.view.headroom(&request.route, service).unwrap_or_default();
        let (route, headroom) = (&request.route.name, headroom.0);
        report(
            Event::RequestsHeld,
            format_args!("service={service} held=true route={route} headroom_ms={headroom}"),
        );
        tokio::spawn(report_end(Arc::clone(cx), service.clone()));
    }
    Some((Waiting { cx, id, service }, released))
}

/// Returns when the request has been released. Its own turn may release another one, which is more
/// urgent, and it then gets a later one.
async fn wait_for_turn(cx: &Shared, id: HoldId, mut released: oneshot::Receiver<()>) {
    while let Some(turn) = cx.holds.turn(id) {
        tokio::select! {
            biased;
            _ = &mut released => return,
            () = sleep(Duration::from(turn.since(cx.clock.now()))) => {}
        }
        cx.holds.release_due(cx.clock.now());
    }
}

/// Reports the end of the waits of a service's requests, at most once in an interval.
async fn report_end(cx: Arc<Shared>, service: SmolStr) {
    loop {
        sleep(REPORT_INTERVAL).await;
        if cx.holds.take_ended(&service) {
            break;
        }
    }
    report(Event::RequestsHeld, format_args!("service={service} held=false"));
}
