use {
    crate::caller::{Balancer, Outcome, RequestLog, RequestRecord},
    oriolehoist_protocol::{
        ATTEMPT, CLASS, DEADLINE_MS, KEY, REFUSAL, REQUEST_ID, RUN_STATE, TENANT,
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

/// What callers send.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// The service.
    pub service: String,
    /// How many requests a second.
    pub rate: u64,
    /// How many different keys; zero for a service without keys.
    pub key_count: u64,
    /// How many of a hundred requests are bookings.
    pub booking_percent: u64,
    /// The class of the requests.
    pub class: &'static str,
    /// The tenant of the requests.
    pub workspace: String,
    /// The time that callers allow.
    pub deadline: Millis,
    /// Asks servers for runs of this length.
    pub service_time: Option<Millis>,
    /// Whether a caller sends a request again, under the same id, when it does not know whether
    /// it ran.
    pub retry_unknown: bool,
    /// The path that is asked for.
    pub path: String,
    /// The seed of keys and kinds.
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

/// Load that runs until its time is up or it is stopped.
pub struct Load {
    task: tokio::task::JoinHandle<()>,
}

impl Load {
    /// Waits until every caller has its answer.
    pub async fn finish(self) {
        let _ = self.task.await;
    }
}

/// How much longer than its deadline a caller waits before it gives a daemon up.
const GRACE: Millis = Millis(2000);
/// How often a caller sends a request that may have run.
const MAX_ATTEMPTS: u32 = 3;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Starts open-loop load: requests leave at their times, however slow the answers are.
pub fn start_load(
    clock: Clock,
    balancer: Arc<Balancer>,
    records: RequestLog,
    profile: LoadProfile,
    length: Millis,
) -> Load {
    let task = tokio::spawn(async move {
        let Ok(client) = Client::builder().no_proxy().pool_max_idle_per_host(64).build() else {
            return;
        };
        let caller = Arc::new(Caller { clock, balancer, records, profile, client });
        caller.run(length).await;
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

/// One request, whichever attempt it is.
#[derive(Clone)]
struct Planned {
    id: String,
    key: String,
    booking: bool,
}

impl Caller {
    async fn run(self: Arc<Self>, length: Millis) {
        let mut rng = fastrand::Rng::with_seed(self.profile.seed);
        let started = self.clock.now();
        let count = self.profile.rate * length.0 / 1000;
        let mut open = JoinSet::new();
        for number in 0..count {
            let scheduled_at = started + Millis(number * 1000 / self.profile.rate);
            let early = scheduled_at.since(self.clock.now());
            if early > Millis::ZERO {
                sleep(Duration::from(early)).await;
            }
            let planned = self.plan(&mut rng);
            let caller = Arc::clone(&self);
            open.spawn(async move { caller.send_until_known(scheduled_at, planned).await });
            while open.try_join_next().is_some() {}
        }
        while open.join_next().await.is_some() {}
    }

    fn plan(&self, rng: &mut fastrand::Rng) -> Planned {
        let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
        let key = match self.profile.key_count {
            0 => String::new(),
            count => format!("key-{}", rng.u64(..count)),
        };
        Planned {
            id: format!("r{number}"),
            key,
            booking: rng.u64(..100) < self.profile.booking_percent,
        }
    }

    async fn send_until_known(&self, scheduled_at: Millis, planned: Planned) {
        let mut scheduled_at = scheduled_at;
        for attempt in 1..=MAX_ATTEMPTS {
            let outcome = self.send(scheduled_at, attempt, &planned).await;
            let known = match outcome {
                Outcome::Served { .. } => true,
                Outcome::Refused { not_run, .. } => not_run,
                Outcome::NoResponse => false,
            };
            if known || !self.profile.retry_unknown {
                return;
            }
            scheduled_at = self.clock.now();
        }
    }

    async fn send(&self, scheduled_at: Millis, attempt: u32, planned: &Planned) -> Outcome {
        let outcome = self.ask(attempt, planned).await;
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

    /// Sends one attempt. A daemon that takes no connection has not got the request, so the
    /// balancer sends it to the next.
    async fn ask(&self, attempt: u32, planned: &Planned) -> Outcome {
        for _ in 0..8 {
            let Some(daemon) = self.balancer.next() else { break };
            match self.request(daemon, attempt, planned).send().await {
                Ok(answer) => return outcome_of(planned, answer).await,
                Err(error) if error.is_connect() => {}
                Err(_) => return Outcome::NoResponse,
            }
        }
        Outcome::NoResponse
    }

    fn request(
        &self,
        daemon: SocketAddr,
        attempt: u32,
        planned: &Planned,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{daemon}/{}/{}", self.profile.service, self.profile.path);
        let request = match planned.booking {
            true => self.client.post(url).body("book"),
            false => self.client.get(url),
        };
        let mut request = request
            .timeout(Duration::from(self.profile.deadline + GRACE))
            .header(REQUEST_ID, &planned.id)
            .header(ATTEMPT, attempt.to_string())
            .header(CLASS, self.profile.class)
            .header(DEADLINE_MS, self.profile.deadline.0.to_string());
        if !planned.key.is_empty() {
            request = request.header(KEY, &planned.key);
        }
        if !self.profile.workspace.is_empty() {
            request = request.header(TENANT, &self.profile.workspace);
        }
        if let Some(service_time) = self.profile.service_time {
            request = request.header("work-ms", service_time.0.to_string());
        }
        request
    }
}

async fn outcome_of(planned: &Planned, answer: Response) -> Outcome {
    let header =
        |name: &str| answer.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
    match header(REFUSAL) {
        Some(kind) => Outcome::Refused {
            kind,
            not_run: header(RUN_STATE).as_deref() == Some("not-run"),
            retry_after: header("oriolehoist-retry-after-ms")
                .and_then(|text| text.parse().ok().map(Millis)),
        },
        None => match answer.bytes().await {
            // A whole HTTP answer with half a server's answer in it is not the caller's own.
            Ok(body) => Outcome::Served {
                own: serde_json::from_slice::<serde_json::Value>(&body).is_ok_and(|body| {
                    body["request_id"] == planned.id.as_str() && body["key"] == planned.key.as_str()
                }),
            },
            Err(_) => Outcome::NoResponse,
        },
    }
}
