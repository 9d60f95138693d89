//! What the tests share: a load on the daemons, and what must hold under it.

use {
    googletest::prelude::*,
    oriolehoist_testkit::users_platform::{Client, ClientResponse, Daemon, Deployment, HOST},
    reqwest::Method,
    std::{
        collections::HashMap,
        net::SocketAddr,
        path::Path,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time::sleep},
};

pub const SECOND: Duration = Duration::from_secs(1);
/// The users' bound for a single loss.
pub const SERVED_AGAIN: Duration = Duration::from_secs(2);
/// How long callers wait.
pub const DEADLINE: Duration = Duration::from_millis(1500);

pub async fn deployment(daemons: u8, keyed: u8, plain: u8) -> eyre::Result<Deployment> {
    let program = Path::new(env!("CARGO_BIN_EXE_oriolehoist"));
    Deployment::start(program, daemons, keyed, plain).await
}

/// What a caller got, with the path that it asked for.
pub type Replies = Vec<(ClientResponse, &'static str)>;

/// Asks daemons in turn, 100 times a second, until it is stopped.
pub struct Load {
    replies: Arc<Mutex<Replies>>,
    task: JoinHandle<()>,
}

impl Load {
    pub fn start(daemons: Vec<SocketAddr>, name: &str) -> eyre::Result<Load> {
        let client = Arc::new(Client::new(HOST, name)?);
        let replies = Arc::new(Mutex::new(Vec::new()));
        let collected = Arc::clone(&replies);
        let task = tokio::spawn(async move {
            for turn in 0_usize.. {
                let daemon = daemons[turn % daemons.len()];
                let key = fastrand::u16(..);
                let (method, path, key) = match turn % 10 {
                    0 => (Method::GET, "/p/a", None),
                    1 | 2 => (Method::POST, "/b/a", Some(key)),
                    _ => (Method::GET, "/k/a", Some(key)),
                };
                let (client, collected) = (Arc::clone(&client), Arc::clone(&collected));
                tokio::spawn(async move {
                    let reply = client.send(daemon, method, path, key, DEADLINE).await;
                    collected.lock().expect("no holder panics").push((reply, path));
                });
                sleep(Duration::from_millis(10)).await;
            }
        });
        Ok(Load { replies, task })
    }

    pub async fn finish(self) -> Replies {
        self.task.abort();
        sleep(DEADLINE + SECOND / 2).await;
        self.replies.lock().expect("no holder panics").clone()
    }
}

pub fn served(replies: &[(ClientResponse, &'static str)]) -> f64 {
    let count = replies.iter().filter(|(reply, _)| reply.is_served()).count();
    count as f64 / replies.len().max(1) as f64
}

/// Returns the longest time in which no request was served.
pub fn longest_gap(replies: &[(ClientResponse, &'static str)]) -> Duration {
    let served = replies.iter().filter(|(reply, _)| reply.is_served());
    let mut times: Vec<Instant> = served.map(|(reply, _)| reply.sent_at + reply.latency).collect();
    times.sort();
    times.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(Duration::MAX)
}

/// What must hold in every test: one owner, bookings at most once, and refusals that are true.
pub fn check_promises(deployment: &Deployment, replies: &[(ClientResponse, &'static str)]) {
    let mut runs: HashMap<String, u32> = HashMap::new();
    for ran in deployment.executed_requests() {
        *runs.entry(ran.request_id).or_default() += 1;
    }
    expect_that!(deployment.overlaps(), is_empty());
    for (reply, path) in replies {
        let times = runs.get(&reply.id).copied().unwrap_or(0);
        if *path == "/b/a" {
            expect_that!(times, le(1), "{path} {}", reply.id);
        }
        if matches!(reply.status, Some(408 | 421 | 429 | 503)) {
            expect_that!(times, eq(0), "{} was refused as not run", reply.id);
        }
    }
    let foreign =
        replies.iter().filter(|(reply, _)| reply.status == Some(200) && !reply.is_served());
    expect_that!(foreign.count(), eq(0));
}

pub fn callers(deployment: &Deployment) -> Vec<SocketAddr> {
    deployment.daemons.iter().map(|daemon| daemon.caller_address).collect()
}

/// Returns where all daemons but one listen.
pub fn callers_without(deployment: &Deployment, left_out: usize) -> Vec<SocketAddr> {
    let mut callers = callers(deployment);
    callers.remove(left_out);
    callers
}

pub fn assigner(deployment: &Deployment) -> usize {
    deployment.daemons.iter().position(Daemon::is_assigner).expect("there is an assigner")
}

/// Ends a load, and checks what must hold in every test and that at least this share was served.
/// Returns the replies.
pub async fn finish(deployment: &Deployment, load: Load, share: f64) -> Replies {
    let replies = load.finish().await;
    check_promises(deployment, &replies);
    expect_that!(served(&replies), ge(share));
    replies
}

/// Removes the files of a deployment. After a failure they stay, with the logs.
pub fn clean_up(deployment: Deployment) {
    if googletest::verify_current_test_outcome().is_ok() {
        deployment.clean_up();
    }
}
