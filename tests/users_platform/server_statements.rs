//! Tests of servers that say that they leave, or for how long they want no requests.

use {
    crate::load::*,
    googletest::prelude::*,
    oriolehoist_testkit::users_platform::*,
    reqwest::Method,
    std::{
        collections::HashMap,
        net::IpAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// How long the servers want no requests after they have turned one away, in seconds.
const COME_BACK_SECONDS: f64 = 2.5;
/// From when on a daemon observes that, after the response that said so.
const NOTICE: Duration = Duration::from_millis(500);
/// How many requests may reach a server in the meantime, from one daemon.
const MAX_EARLY: usize = 2;

const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Sets what a server says in the headers `Server-Leaving` and `Retry-After`. With the latter it turns
/// all requests away.
fn set_statements(server: &Server, leaving: &[&str], retry_after: &[&str]) {
    let texts = |values: &[&str]| values.iter().map(|value| (*value).to_owned()).collect();
    let turn_away = TurnAway { status: 503, says_not_run: true, retry_after: texts(retry_after) };
    server.set_faults(ServerFaults {
        service_time: SERVICE_TIME,
        leaving: texts(leaving),
        turn_away: (!retry_after.is_empty()).then_some(turn_away),
        ..ServerFaults::default()
    });
}

/// Counts the requests that callers sent later than the drain period after the daemon had passed on a
/// response that says that the server leaves, and that reached the server through that daemon.
fn late_arrivals(server: &Server, responses: &Responses) -> usize {
    let by_id: HashMap<&str, &ClientResponse> =
        responses.iter().map(|(response, _)| (response.id.as_str(), response)).collect();
    let mut passed_on: HashMap<IpAddr, Instant> = HashMap::new();
    let arrivals = server.arrivals();
    for arrived in arrivals.iter().filter(|arrived| arrived.says_leaving) {
        let Some(response) = by_id.get(arrived.request_id.as_str()) else { continue };
        let at = response.sent_at + response.latency;
        let earliest = passed_on.entry(arrived.sender).or_insert(at);
        *earliest = at.min(*earliest);
    }
    let is_late = |arrived: &&ArrivedRequest| {
        let sent_at = by_id.get(arrived.request_id.as_str()).map(|response| response.sent_at);
        let passed_on = passed_on.get(&arrived.sender);
        sent_at.zip(passed_on).is_some_and(|(sent, passed)| sent > *passed + DRAIN_PERIOD)
    };
    arrivals.iter().filter(is_late).count()
}

/// Returns the most requests that reached a server from one daemon between half a second after it had
/// turned one away, and the time that it had named.
fn most_early_arrivals(server: &Server, come_back: Duration) -> usize {
    let arrivals = server.arrivals();
    let early_after = |refused: &ArrivedRequest| {
        let is_early = |arrived: &&ArrivedRequest| {
            arrived.sender == refused.sender
                && arrived.at > refused.at + NOTICE
                && arrived.at < refused.at + come_back
        };
        arrivals.iter().filter(is_early).count()
    };
    arrivals.iter().filter(|arrived| arrived.turned_away).map(early_after).max().unwrap_or(0)
}

fn responses_of(path: &str, responses: &Responses) -> Responses {
    responses.iter().filter(|one| one.1 == path).cloned().collect()
}

/// Checks that requests were refused at once, as not run, and with a time to come back.
fn check_refusals(responses: &Responses) {
    for (response, path) in responses.iter().filter(|(response, _)| !response.is_served()) {
        expect_that!(response.status, some(eq(503)), "{path}");
        expect_that!(response.retry_after, some(gt(0.0)), "{path}");
        expect_that!(response.latency, lt(Duration::from_millis(400)), "{path}");
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_says_that_it_leaves_gets_no_requests_after_the_drain_period()
-> eyre::Result<()> {
    let deployment = deployment(3, 3, 3).await?;
    let load = Load::start(caller_addresses(&deployment), "leaving")?;
    sleep(SECOND).await;
    // Its registration stays ready.
    let leaving = [&deployment.servers[0], &deployment.servers[3]];
    leaving.iter().for_each(|server| set_statements(server, &["1"], &[]));
    sleep(SECOND * 6).await;
    let responses = finish_and_check(&deployment, load, 0.99).await;
    for server in leaving {
        expect_that!(late_arrivals(server, &responses), eq(0), "{}", server.id);
    }
    expect_that!(served_share(&responses_of("/p/a", &responses)), ge(0.99));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_no_late_requests_while_the_store_is_away() -> eyre::Result<()> {
    let deployment = deployment(3, 3, 3).await?;
    let load = Load::start(caller_addresses(&deployment), "storeless")?;
    sleep(SECOND).await;
    deployment.store.set_faults(StoreFaults { unreachable: true, ..StoreFaults::default() });
    let leaving = [&deployment.servers[0], &deployment.servers[3]];
    leaving.iter().for_each(|server| set_statements(server, &["1"], &[]));
    sleep(SECOND * 5).await;
    deployment.store.set_faults(StoreFaults::default());
    sleep(SECOND * 3).await;
    let responses = load.finish().await;
    check_invariants(&deployment, &responses);
    for server in leaving {
        expect_that!(late_arrivals(server, &responses), eq(0), "{}", server.id);
    }
    expect_that!(served_share(&responses_of("/p/a", &responses)), ge(0.99));
    // Without the store, its keys can't be moved.
    check_refusals(&responses);
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_starts_again_after_leaving_gets_requests() -> eyre::Result<()> {
    let mut deployment = deployment(2, 2, 1).await?;
    let load = Load::start(caller_addresses(&deployment), "again")?;
    sleep(SECOND).await;
    set_statements(&deployment.servers[2], &["1"], &[]);
    sleep(SECOND * 3).await;
    deployment.replace_server(2, None, SECOND / 10, SECOND / 10).await?;
    sleep(SECOND * 3).await;
    let restarted_at = Instant::now() - SECOND * 2;
    let responses = load.finish().await;
    check_invariants(&deployment, &responses);
    let after: Responses =
        responses.iter().filter(|(response, _)| response.sent_at > restarted_at).cloned().collect();
    expect_that!(served_share(&responses_of("/p/a", &after)), ge(0.99));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_gets_no_requests_before_the_time_to_come_back_that_it_names() -> eyre::Result<()>
{
    let deployment = deployment(3, 3, 3).await?;
    let load = Load::start(caller_addresses(&deployment), "pause")?;
    sleep(SECOND).await;
    let pausing = [&deployment.servers[0], &deployment.servers[3]];
    let come_back = COME_BACK_SECONDS.to_string();
    pausing.iter().for_each(|server| set_statements(server, &[], &[&come_back]));
    sleep(SECOND * 6).await;
    pausing.iter().for_each(|server| set_statements(server, &[], &[]));
    let ended_at = Instant::now() + Duration::from_secs_f64(COME_BACK_SECONDS) + SECOND / 2;
    sleep(SECOND * 5).await;
    let responses = load.finish().await;
    check_invariants(&deployment, &responses);
    for server in pausing {
        let early = most_early_arrivals(server, Duration::from_secs_f64(COME_BACK_SECONDS));
        expect_that!(early, le(MAX_EARLY), "{}", server.id);
    }
    check_refusals(&responses);
    expect_that!(served_share(&responses_of("/p/a", &responses)), ge(0.99));
    let after: Responses =
        responses.iter().filter(|(response, _)| response.sent_at > ended_at).cloned().collect();
    expect_that!(served_share(&after), ge(0.99));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_with_the_earliest_time_if_all_servers_turn_them_away()
-> eyre::Result<()> {
    let deployment = deployment(1, 1, 2).await?;
    let (daemon, client) = (&deployment.daemons[0], Client::new(HOST, "all")?);
    let (one, other) = (&deployment.servers[1], &deployment.servers[2]);
    set_statements(one, &[], &["4"]);
    set_statements(other, &[], &["2.5"]);
    let (mut arrivals, mut told) = (0, Vec::new());
    for index in 0..10 {
        let response = client.send(daemon.caller_address, Method::GET, "/p/a", None, DEADLINE);
        let response = response.await;
        expect_that!(response.status, some(eq(503)));
        expect_that!(response.latency, lt(Duration::from_millis(200)));
        if index == 2 {
            arrivals = one.arrivals().len() + other.arrivals().len();
        }
        told.extend(response.retry_after.filter(|_| index > 2));
    }
    // What is told is spread over half the time in addition.
    expect_that!(told, each(all!(ge(&1.5), le(&(2.5 * 1.5)))));
    expect_that!(one.arrivals().len() + other.arrivals().len(), eq(arrivals));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_pause_counts_with_429_and_without_a_word_on_whether_the_request_ran() -> eyre::Result<()>
{
    let deployment = deployment(1, 1, 2).await?;
    let (daemon, client) = (&deployment.daemons[0], Client::new(HOST, "status")?);
    for (index, (status, says_not_run)) in [(429, true), (503, false)].into_iter().enumerate() {
        let server = &deployment.servers[index + 1];
        server.set_faults(ServerFaults {
            turn_away: Some(TurnAway { status, says_not_run, retry_after: vec!["30".into()] }),
            ..ServerFaults::default()
        });
    }
    for _ in 0..6 {
        let response = client.send(daemon.caller_address, Method::GET, "/p/a", None, DEADLINE);
        expect_that!(response.await.is_served(), eq(false));
    }
    for server in &deployment.servers[1..] {
        expect_that!(server.arrivals().len(), le(1), "{}", server.id);
    }
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_whose_entry_is_back_after_a_while_gets_no_late_requests()
-> eyre::Result<()> {
    let deployment = deployment(1, 1, 1).await?;
    let (daemon, client) = (&deployment.daemons[0], Client::new(HOST, "back")?);
    let send = || client.send(daemon.caller_address, Method::GET, "/p/a", None, DEADLINE);
    let server = &deployment.servers[1];
    set_statements(server, &["1"], &[]);
    expect_that!(send().await.is_served(), eq(true));
    sleep(DRAIN_PERIOD).await;
    deployment.unregister(server);
    // A daemon forgets the entry after 8 s.
    sleep(SECOND * 9).await;
    // The start in it shows that the process is the same.
    deployment.register(server, "plain", "ready");
    sleep(SECOND).await;
    for _ in 0..5 {
        expect_that!(send().await.status, some(eq(503)));
    }
    expect_that!(server.arrivals().len(), eq(1));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn statements_that_are_malformed_keep_no_request_from_a_server() -> eyre::Result<()> {
    let deployment = deployment(1, 1, 1).await?;
    let (daemon, server) = (&deployment.daemons[0], &deployment.servers[1]);
    let client = Arc::new(Client::new(HOST, "malformed")?);
    let malformed: [(&[&str], &[&str]); 9] = [
        (&["0"], &[]),
        (&["soon"], &[]),
        (&["1", "0"], &[]),
        (&[], &["-1"]),
        (&[], &["NaN"]),
        (&[], &["inf"]),
        (&[], &["later"]),
        (&[], &["Fri, 31 Dec 2027 23:59:59 GMT"]),
        (&[], &["1", "2"]),
    ];
    for (index, (leaving, retry_after)) in malformed.into_iter().enumerate() {
        set_statements(server, leaving, retry_after);
        let before = server.arrivals().len();
        for _ in 0..8 {
            let request = client.send(daemon.caller_address, Method::GET, "/p/a", None, DEADLINE);
            let served = request.await.is_served();
            expect_that!(served, eq(retry_after.is_empty()), "{leaving:?} {retry_after:?}");
            // A server that has turned a request away counts as full for up to half a second.
            if !served {
                sleep(SECOND / 2).await;
            }
        }
        expect_that!(server.arrivals().len(), ge(before + 7), "{leaving:?} {retry_after:?}");
        // A value that stays malformed is logged once.
        let logged = daemon.log().matches("ServerStatementMalformed").count();
        expect_that!(logged, eq(index + 1), "{leaving:?} {retry_after:?}");
    }
    clean_up(deployment);
    Ok(())
}
