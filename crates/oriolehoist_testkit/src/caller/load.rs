use {
    crate::caller::{Balancer, Outcome, RequestLog, RequestRecord},
    oriolehoist_protocol::{
        ATTEMPT, CLASS, DEADLINE_MS, KEY, REFUSAL, REQUEST_ID, RUN_STATE, WORKSPACE,
    },
    oriolehoist_time::{Clock, Millis},
    reqwest::{Client, Response},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinSet, time::sleep},
};

/// The requests that a load generator sends.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// The service that the requests go to.
    pub service: String,
    /// Requests per second.
    pub rate: u64,
    /// Number of distinct keys; zero for a service without keys.
    pub key_count: u64,
    /// Percentage of requests that are bookings, which must not run twice.
    pub booking_percent: u64,
    /// The priority class of the requests.
    pub class: &'static str,
    /// The workspace of the requests; no header is sent if it is empty.
    pub workspace: String,
    /// The deadline that callers set for each attempt.
    pub deadline: Millis,
    /// The service time that requests ask the fake servers for; `None` for the servers' own.
    pub service_time: Option<Millis>,
    /// Whether callers retry a request, under the same id, if it is unknown whether it ran.
    pub retry_unknown: bool,
    /// The path of the requests below the service.
    pub path: String,
    /// The seed of the random choice of keys and of the requests that are bookings.
    pub seed: u64,
}

impl Default for LoadProfile {
    fn default() -> LoadProfile {
        LoadProfile {
            service: "mareas-live".into(),
            rate: 100,
            key_count: 40,
            booking_percent: 30,
            class: "interactive",
            workspace: String::new(),
            deadline: Millis(3000),
            service_time: None,
            retry_unknown: true,
            path: "window".into(),
            seed: 1,
        }
    }
}

/// A running load generator. It goes on in the background if this is dropped.
pub struct Load {
    task: tokio::task::JoinHandle<()>,
}

impl Load {
    /// Waits until all requests have been sent and have ended.
    pub async fn finish(self) {
        let _ = self.task.await;
    }
}

/// How long after the deadline a caller waits for a response before it times out.
const TIMEOUT_GRACE: Millis = Millis(2000);
/// The maximum number of attempts for one request. A request is retried only while it is unknown
/// whether an earlier attempt ran.
const MAX_ATTEMPTS: u32 = 3;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Starts an open-loop load generator: requests are sent on schedule, however slow the responses
/// are.
pub fn start_load(
    clock: Clock,
    balancer: Arc<Balancer>,
    records: RequestLog,
    profile: LoadProfile,
    duration: Millis,
) -> Load {
    let task = tokio::spawn(async move {
        let Ok(client) = Client::builder().no_proxy().pool_max_idle_per_host(64).build() else {
            return;
        };
        let caller = Arc::new(Caller { clock, balancer, records, profile, client });
        caller.run(duration).await;
    });
    Load { task }
}

struct Caller {
    clock: Clock,
    balancer: Arc<Balancer>,
    records: RequestLog,
    profile: LoadProfile,
    client: Client,
}

/// What all attempts of one request have in common.
#[derive(Clone)]
struct PlannedRequest {
    id: String,
    key: String,
    booking: bool,
}

impl Caller {
    async fn run(self: Arc<Self>, duration: Millis) {
        let mut rng = fastrand::Rng::with_seed(self.profile.seed);
        let started = self.clock.now();
        let count = self.profile.rate * duration.0 / 1000;
        let mut in_flight = JoinSet::new();
        for number in 0..count {
            let scheduled_at = started + Millis(number * 1000 / self.profile.rate);
            let wait = scheduled_at.since(self.clock.now());
            if wait > Millis::ZERO {
                sleep(Duration::from(wait)).await;
            }
            let planned = self.next_request(&mut rng);
            let caller = Arc::clone(&self);
            in_flight.spawn(async move { caller.send_with_retries(scheduled_at, planned).await });
            while in_flight.try_join_next().is_some() {}
        }
        while in_flight.join_next().await.is_some() {}
    }

    fn next_request(&self, rng: &mut fastrand::Rng) -> PlannedRequest {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let key = match self.profile.key_count {
            0 => String::new(),
            count => format!("key-{}", rng.u64(..count)),
        };
        PlannedRequest {
            id: format!("r{number}"),
            key,
            booking: rng.u64(..100) < self.profile.booking_percent,
        }
    }

    async fn send_with_retries(&self, scheduled_at: Millis, planned: PlannedRequest) {
        let mut scheduled_at = scheduled_at;
        for attempt in 1..=MAX_ATTEMPTS {
            let outcome = self.send(scheduled_at, attempt, &planned).await;
            let execution_known = match outcome {
                Outcome::Served { .. } => true,
                Outcome::Refused { not_run, .. } => not_run,
                Outcome::NoResponse => false,
            };
            if execution_known || !self.profile.retry_unknown {
                return;
            }
            scheduled_at = self.clock.now();
        }
    }

    async fn send(&self, scheduled_at: Millis, attempt: u32, planned: &PlannedRequest) -> Outcome {
        let outcome = self.send_attempt(attempt, planned).await;
        self.records.push(RequestRecord {
            id: planned.id.clone(),
            attempt,
            service: self.profile.service.clone(),
            key: planned.key.clone(),
            booking: planned.booking,
            class: self.profile.class,
            workspace: self.profile.workspace.clone(),
            scheduled_at,
            completed_at: self.clock.now(),
            deadline: self.profile.deadline,
            outcome: outcome.clone(),
        });
        outcome
    }

    /// Sends one attempt. A daemon that refuses the connection has not received the request, so the
    /// request is sent to the next daemon.
    async fn send_attempt(&self, attempt: u32, planned: &PlannedRequest) -> Outcome {
        for _ in 0..8 {
            let Some(daemon) = self.balancer.next_daemon() else { break };
            match self.build_request(daemon, attempt, planned).send().await {
                Ok(response) => return outcome_of(planned, response).await,
                Err(error) if error.is_connect() => {}
                Err(_) => return Outcome::NoResponse,
            }
        }
        Outcome::NoResponse
    }

    fn build_request(
        &self,
        daemon: SocketAddr,
        attempt: u32,
        planned: &PlannedRequest,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{daemon}/{}/{}", self.profile.service, self.profile.path);
        let request = match planned.booking {
            true => self.client.post(url).body("book"),
            false => self.client.get(url),
        };
        let mut request = request
            .timeout(Duration::from(self.profile.deadline + TIMEOUT_GRACE))
            .header(REQUEST_ID, &planned.id)
            .header(ATTEMPT, attempt.to_string())
            .header(CLASS, self.profile.class)
            .header(DEADLINE_MS, self.profile.deadline.0.to_string());
        if !planned.key.is_empty() {
            request = request.header(KEY, &planned.key);
        }
        if !self.profile.workspace.is_empty() {
            request = request.header(WORKSPACE, &self.profile.workspace);
        }
        if let Some(service_time) = self.profile.service_time {
            request = request.header("work-ms", service_time.0.to_string());
        }
        request
    }
}

async fn outcome_of(planned: &PlannedRequest, response: Response) -> Outcome {
    let header =
        |name: &str| response.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    match header(REFUSAL) {
        Some(kind) => Outcome::Refused {
            kind,
            not_run: header(RUN_STATE).as_deref() == Some("not-run"),
            retry_after: header("oriolehoist-retry-after-ms")
                .and_then(|text| text.parse().ok().map(Millis)),
        },
        None => match response.bytes().await {
            // A complete HTTP response can still hold a truncated server response, which does not
            // count as the response to this request.
            Ok(body) => Outcome::Served {
                matches_request: serde_json::from_slice::<serde_json::Value>(&body).is_ok_and(
                    |body| {
                        body["request_id"] == planned.id.as_str()
                            && body["key"] == planned.key.as_str()
                    },
                ),
            },
            Err(_) => Outcome::NoResponse,
        },
    }
}
