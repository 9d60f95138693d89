//! Probes of servers for their load, in fleets with relays.

use {
    crate::load::*,
    googletest::prelude::*,
    oriolehoist_testkit::users_platform::*,
    reqwest::Method,
    std::{
        collections::HashMap,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Enough daemons for relays.
const DAEMONS: u8 = 24;
/// The time between two requests, so that the load known from the first is too old for the second.
const SPACING: Duration = Duration::from_millis(70);
/// How long a change of the servers takes to reach all daemons.
const REGISTRATION_DELAY: Duration = Duration::from_millis(1200);
/// The number of requests to a server without keys.
const REQUESTS: usize = 25;

/// What callers of one server without keys got, and what has reached it.
struct Outcome {
    responses: Vec<ClientResponse>,
    arrivals: ProbedArrivals,
    /// The load probes of the daemon, by their end.
    probes: HashMap<String, u64>,
}

impl Outcome {
    fn probes(&self, end: &str) -> u64 {
        self.probes.get(end).copied().unwrap_or_default()
    }

    /// Checks that each request ran once and got its own response.
    fn expect_all_served(&self) {
        let served = self.responses.iter().filter(|response| response.is_served()).count();
        expect_that!(served, eq(self.responses.len()));
        expect_that!(self.arrivals.runs.len(), eq(self.responses.len()));
        expect_that!(self.arrivals.runs.values().copied().max(), some(eq(1)));
        expect_that!(self.arrivals.pipelined, eq(0));
    }

    fn slowest(&self) -> Duration {
        self.responses.iter().map(|response| response.latency).max().unwrap_or_default()
    }
}

async fn count_probes(daemon: &Daemon) -> eyre::Result<HashMap<String, u64>> {
    let metrics = daemon.metrics().await?;
    let lines = metrics.lines().filter_map(|line| {
        let line = line.strip_prefix("oriolehoist_load_probes_total{end=\"")?;
        let (end, count) = line.split_once("\"} ")?;
        Some((end.to_owned(), count.parse().ok()?))
    });
    Ok(lines.collect())
}

/// Sends requests by way of one daemon to a server with this behaviour, the only one of its service.
async fn play(
    deployment: &Deployment,
    index: u8,
    behaviour: ProbedBehaviour,
) -> eyre::Result<Outcome> {
    let server = deployment.add_probed_server(index, behaviour).await?;
    sleep(REGISTRATION_DELAY).await;
    let daemon = &deployment.daemons[0];
    let before = count_probes(daemon).await?;
    let client = Client::new(HOST, &format!("probed-{index}"))?;
    let mut responses = Vec::new();
    for _ in 0..REQUESTS {
        let address = daemon.caller_address;
        responses.push(client.send(address, Method::GET, "/p/a", None, DEADLINE).await);
        sleep(SPACING).await;
    }
    let mut probes = count_probes(daemon).await?;
    for (end, count) in before {
        *probes.entry(end).or_default() -= count;
    }
    deployment.unregister_address(index);
    let arrivals = server.arrivals();
    println!("server {index}: probes {probes:?}, arrivals {arrivals:?}");
    sleep(REGISTRATION_DELAY).await;
    Ok(Outcome { responses, arrivals, probes })
}

/// Guards against a response to a probe that is taken for the response to a request or the reverse, and
/// against requests that wait for servers which do not answer probes.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn servers_are_probed_and_responses_are_told_apart() -> eyre::Result<()> {
    let deployment = deployment(DAEMONS, 1, 0).await?;
    sleep(SECOND).await;
    let normal = ProbedBehaviour::default;
    let requests = REQUESTS as u64;

    let usual = play(&deployment, 50, normal()).await?;
    usual.expect_all_served();
    // The fourth number is known from the first response.
    expect_that!(usual.probes("answered"), ge(requests * 3 / 4));
    expect_that!(usual.probes("foreign"), eq(0));
    expect_that!(usual.arrivals.connections, le(4), "requests use the connections of probes");
    let log = deployment.daemons[0].log();
    expect_that!(log.matches("LoadProbesUsed: service=plain").count(), eq(1));

    // A second response to the probe arrives while the request runs, and with the first one.
    let extra = Some(Duration::from_millis(8));
    let later =
        play(&deployment, 51, ProbedBehaviour { extra_response: extra, ..normal() }).await?;
    later.expect_all_served();
    expect_that!(later.probes("answered"), ge(requests / 2));
    let extra = Some(Duration::ZERO);
    let at_once =
        play(&deployment, 52, ProbedBehaviour { extra_response: extra, ..normal() }).await?;
    at_once.expect_all_served();
    expect_that!(at_once.probes("answered"), ge(requests / 2));

    // The response arrives after the time-out of the probe, when the request is on its way.
    let health_delay = Duration::from_millis(70);
    let slow = play(&deployment, 53, ProbedBehaviour { health_delay, ..normal() }).await?;
    slow.expect_all_served();
    expect_that!(slow.probes("timed-out"), all!(ge(2), le(6)), "backoff bounds the probes");
    expect_that!(slow.probes("answered"), eq(0));
    expect_that!(slow.slowest(), lt(Duration::from_millis(400)));

    // Another process has the address, as far as its health checks say.
    let health_id = Some("i-other".to_owned());
    let other = play(&deployment, 54, ProbedBehaviour { health_id, ..normal() }).await?;
    other.expect_all_served();
    expect_that!(other.probes("foreign"), ge(2));
    expect_that!(other.probes("answered"), eq(0));

    // The response to a probe is that of a request.
    let named = play(&deployment, 55, ProbedBehaviour { names_request: true, ..normal() }).await?;
    named.expect_all_served();
    expect_that!(named.probes("foreign"), ge(2));
    expect_that!(named.probes("answered"), eq(0));

    // The response has a status that HTTP does not have, and a valid response as its body.
    for (index, status) in [(58, "000 "), (59, "099 Ninety-nine"), (60, "101 Switching Protocols")]
    {
        let invalid_health_status = Some(status);
        let invalid =
            play(&deployment, index, ProbedBehaviour { invalid_health_status, ..normal() }).await?;
        invalid.expect_all_served();
        expect_that!(invalid.probes("failed"), ge(2), "{status}");
        expect_that!(invalid.probes("answered"), eq(0), "{status}");
        expect_that!(invalid.slowest(), lt(Duration::from_millis(400)), "{status}");
    }

    // A server without the fourth number may let health checks wait.
    let health_delay = SECOND;
    let queues = ProbedBehaviour { work_percent: None, health_delay, ..normal() };
    let queues = play(&deployment, 56, queues).await?;
    queues.expect_all_served();
    expect_that!(queues.arrivals.health_checks, eq(0));

    // Refusals that name no request are not taken for responses to the probe before.
    let refuses = ProbedBehaviour { refuses_requests: true, ..normal() };
    let refuses = play(&deployment, 57, refuses).await?;
    expect_that!(
        refuses.slowest(),
        lt(Duration::from_millis(700)),
        "nobody waits for the deadline"
    );
    let refused = refuses.responses.iter().filter(|response| response.status == Some(503));
    expect_that!(refused.count(), eq(REQUESTS));
    clean_up(deployment);
    Ok(())
}

/// Guards against two messages on one connection, and against probes of their own for each of many
/// requests that arrive together.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_arrive_together_share_a_probe_and_no_connection() -> eyre::Result<()> {
    let deployment = deployment(DAEMONS, 1, 0).await?;
    let service_time = Duration::from_millis(150);
    let behaviour = ProbedBehaviour { service_time, ..ProbedBehaviour::default() };
    let server = deployment.add_probed_server(50, behaviour).await?;
    sleep(REGISTRATION_DELAY).await;
    let address = deployment.daemons[0].caller_address;
    let client = Client::new(HOST, "together")?;
    let send = || client.send(address, Method::GET, "/p/a", None, DEADLINE);
    expect_that!(send().await.is_served(), eq(true));
    for _ in 0..10 {
        sleep(SPACING).await;
        // A request is in flight on the only pooled connection when the others arrive.
        let before = server.arrivals().health_checks;
        let others = async {
            sleep(Duration::from_millis(60)).await;
            tokio::join!(send(), send())
        };
        let (first, (second, third)) = tokio::join!(send(), others);
        let responses = [first, second, third];
        let served = responses.iter().filter(|response| response.is_served()).count();
        expect_that!(served, eq(3));
        let probes = server.arrivals().health_checks - before;
        expect_that!(probes, all!(ge(1), le(2)), "one for the first, and one for the others");
    }
    let arrivals = server.arrivals();
    expect_that!(arrivals.pipelined, eq(0));
    expect_that!(arrivals.runs.values().copied().max(), some(eq(1)));
    clean_up(deployment);
    Ok(())
}

/// Guards against probes of owners that have room, and against busy owners whose load is not known.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn owners_are_probed_when_half_of_their_slots_are_used() -> eyre::Result<()> {
    let deployment = deployment(DAEMONS, 1, 1).await?;
    let owner = &deployment.servers[0];
    let service_time = Duration::from_millis(50);
    let work_percent = Some(100);
    owner.set_faults(ServerFaults { service_time, work_percent, ..ServerFaults::default() });
    let health_checks =
        || owner.arrivals().iter().filter(|arrival| arrival.path == "/health").count();
    let client = Client::new(HOST, "owner")?;
    let daemons = caller_addresses(&deployment);
    for _ in 0..20 {
        client.send(daemons[0], Method::GET, "/k/a", Some(7), DEADLINE).await;
        sleep(SPACING).await;
    }
    expect_that!(health_checks(), eq(0));
    let load = Load::start(daemons.clone(), "steady")?;
    let until = Instant::now() + SECOND * 3;
    let mut served = 0;
    let mut sent = 0;
    while Instant::now() < until {
        let send = |index: usize| {
            client.send(daemons[index], Method::GET, "/k/a", Some(index as u16 * 900), DEADLINE)
        };
        let responses = tokio::join!(send(1), send(5), send(9), send(13), send(17));
        for response in [responses.0, responses.1, responses.2, responses.3, responses.4] {
            sent += 1;
            served += usize::from(response.is_served());
        }
    }
    println!("{served} of {sent} served, {} health checks", health_checks());
    expect_that!(health_checks(), ge(20));
    expect_that!(served, ge(sent * 9 / 10));
    finish_and_check(&deployment, load, 0.9).await;
    clean_up(deployment);
    Ok(())
}

/// Guards against probes in fleets that know loads within 40 ms.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn small_fleets_do_not_probe() -> eyre::Result<()> {
    let deployment = deployment(3, 1, 0).await?;
    let outcome = play(&deployment, 50, ProbedBehaviour::default()).await?;
    outcome.expect_all_served();
    expect_that!(outcome.arrivals.health_checks, eq(0));
    clean_up(deployment);
    Ok(())
}
