//! Tests in which open connections go silent for good, without a reset, while new ones work.

use {
    crate::load::*,
    futures::future::join_all,
    googletest::prelude::*,
    oriolehoist_testkit::{fault::Fault, users_platform::*},
    reqwest::Method,
    std::{
        net::IpAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// How long a test waits for a configuration to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Publishes a configuration, and returns how long it takes until it is in force on every daemon.
async fn time_until_in_force(deployment: &mut Deployment) -> Duration {
    let line = format!("SettingsInForce: version={:08x}", deployment.publish_configuration());
    let published_at = Instant::now();
    while published_at.elapsed() < IN_FORCE_TIMEOUT
        && deployment
            .daemons
            .iter()
            .any(|daemon| daemon.is_running() && !daemon.log().contains(&line))
    {
        sleep(Duration::from_millis(10)).await;
    }
    published_at.elapsed()
}

/// Silences the open connections to the store, those of all daemons or those from one address, again
/// and again, and changes the configuration at different times after that.
async fn check_changes_on_silent_connections(
    deployment: &mut Deployment,
    from: Option<IpAddr>,
) -> eyre::Result<()> {
    for delay in [0, 300, 700, 1200] {
        // Until the watches that were started before the assigner was known have ended.
        sleep(SECOND * 6).await;
        deployment.network.add_fault(from, STORE_EDGE, Fault::StallOpenConnections);
        sleep(Duration::from_millis(delay)).await;
        let in_force_after = time_until_in_force(deployment).await;
        println!("changed after {delay} ms, in force {in_force_after:?} later");
        expect_that!(in_force_after, lt(CONFIG_BOUND), "changed after {delay} ms");
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_time_although_all_connections_to_the_store_are_silent()
-> eyre::Result<()> {
    let mut deployment = deployment(4, 2, 1).await?;
    check_changes_on_silent_connections(&mut deployment, None).await?;
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_time_although_the_assigners_connections_to_the_store_are_silent()
-> eyre::Result<()> {
    let mut deployment = deployment(4, 2, 1).await?;
    let assigner = deployment.daemons[assigner_index(&deployment)].peer_address.ip();
    check_changes_on_silent_connections(&mut deployment, Some(assigner)).await?;
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_time_although_the_assigner_is_lost_and_the_store_silent()
-> eyre::Result<()> {
    let mut deployment = deployment(4, 2, 1).await?;
    sleep(SECOND * 6).await;
    let assigner = assigner_index(&deployment);
    deployment.network.add_fault(None, STORE_EDGE, Fault::StallOpenConnections);
    deployment.daemons[assigner].kill();
    let in_force_after = time_until_in_force(&mut deployment).await;
    println!("in force {in_force_after:?} later");
    expect_that!(in_force_after, lt(CONFIG_BOUND));
    clean_up(deployment);
    Ok(())
}

/// Guards against a silent watch of a daemon that has become the assigner, and whose renewals of the lease
/// confirm a configuration that has changed.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_in_time_although_the_watch_of_a_new_assigner_is_silent()
-> eyre::Result<()> {
    let mut deployment = deployment(4, 2, 1).await?;
    for _ in 0..4 {
        // Until the watches of daemons that hear from the assigner have replaced shorter ones, and idle
        // connections are closed.
        sleep(SECOND * 10).await;
        let assigner = assigner_index(&deployment);
        for (index, daemon) in deployment.daemons.iter().enumerate() {
            if index != assigner {
                let ip = Some(daemon.peer_address.ip());
                deployment.network.add_fault(ip, STORE_EDGE, Fault::StallOpenConnections);
            }
        }
        deployment.daemons[assigner].stop().await?;
        let in_force_after = time_until_in_force(&mut deployment).await;
        println!("in force {in_force_after:?} later");
        expect_that!(in_force_after, lt(CONFIG_BOUND));
        deployment.network.clear_all_faults();
        deployment.daemons[assigner].start()?;
        deployment.daemons[assigner].wait_until_ready(SECOND * 12).await?;
    }
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_to_a_server_cost_no_more_than_one_request() -> eyre::Result<()> {
    let mut deployment = deployment(1, 1, 0).await?;
    let edge = deployment.add_server_behind_proxy(5, "plain").await?;
    sleep(SECOND).await;
    let daemon = deployment.daemons[0].caller_address;
    let client = Client::new(HOST, "idle")?;
    let request = || client.send(daemon, Method::GET, "/p/a", None, SECOND);
    // Each of the requests that run at the same time needs a connection to the server.
    let responses = join_all((0..4).map(|_| request())).await;
    expect_that!(responses.iter().filter(|response| response.is_served()).count(), eq(4));
    deployment.network.add_fault(None, &edge, Fault::StallOpenConnections);
    let mut lost = 0;
    for _ in 0..4 {
        lost += u32::from(!request().await.is_served());
    }
    expect_that!(lost, le(1));
    clean_up(deployment);
    Ok(())
}
