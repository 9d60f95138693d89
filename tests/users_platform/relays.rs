//! Tests with so many daemons that the assigner's messages go by way of relays.

use {
    crate::load::*,
    googletest::prelude::*,
    oriolehoist_testkit::users_platform::*,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Enough daemons for five relays.
const DAEMONS: u8 = 24;

/// Returns the daemons that have sent others the state, without being the assigner.
async fn relays(deployment: &Deployment) -> eyre::Result<Vec<usize>> {
    let assigner = assigner_index(deployment);
    let mut relays = Vec::new();
    for (index, daemon) in deployment.daemons.iter().enumerate().filter(|one| one.0 != assigner) {
        if daemon.metrics().await?.contains("oriolehoist_syncs_total{end=\"done\"}") {
            relays.push(index);
        }
    }
    Ok(relays)
}

async fn version_in_force(daemon: &Daemon) -> String {
    let log = daemon.log();
    let line = log.lines().rev().find(|line| line.contains("SettingsInForce")).unwrap_or_default();
    line.split("version=").nth(1).unwrap_or_default().chars().take(8).collect()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_with_relays_keeps_its_bounds_when_relays_and_the_assigner_are_lost()
-> eyre::Result<()> {
    let mut deployment = deployment(DAEMONS, 3, 3).await?;
    sleep(SECOND).await;
    let relays = relays(&deployment).await?;
    expect_that!(relays.len(), ge(4), "{relays:?}");
    let relay = relays[0];
    let assigner = assigner_index(&deployment);
    let addresses: Vec<_> = (0..usize::from(DAEMONS))
        .filter(|index| ![relay, assigner].contains(index))
        .map(|index| deployment.daemons[index].caller_address)
        .collect();
    let load = Load::start(addresses, "fleet")?;
    sleep(SECOND).await;

    // A lost relay holds back neither servers that drain nor configurations.
    deployment.daemons[relay].kill();
    let leaving = [deployment.servers[0].clone(), deployment.servers[3].clone()];
    deployment.register(&leaving[0], "keyed", "draining");
    deployment.register(&leaving[1], "plain", "draining");
    let announced = Instant::now();
    let version = format!("{:08x}", deployment.publish_configuration());
    sleep(CONFIG_BOUND).await;
    for (index, daemon) in
        deployment.daemons.iter().enumerate().filter(|(index, _)| *index != relay)
    {
        expect_that!(version_in_force(daemon).await, eq(&version), "daemon {index}");
    }
    sleep(SECOND * 2).await;

    deployment.daemons[assigner].kill();
    sleep(SECOND * 4).await;
    let responses = finish_and_check(&deployment, load, 0.99).await;
    expect_that!(late_runs(&deployment, &leaving, announced), eq(0));
    expect_that!(longest_outage(&responses), lt(MAX_OUTAGE));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_fleet_with_relays_at_rest_makes_few_calls_to_the_store() -> eyre::Result<()> {
    let deployment = deployment(DAEMONS, 2, 1).await?;
    sleep(SECOND * 3).await;
    let before = deployment.store.request_count();
    sleep(SECOND * 4).await;
    let calls = deployment.store.request_count() - before;
    println!("{calls} calls in 4 s");
    // Five a second, as with few daemons, and a renewal of each daemon's entry in 12 s or more.
    expect_that!(calls, le(20 + 4 * u64::from(DAEMONS) / 12));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_the_store_refuses_and_forgets_still_hears_from_the_assigner()
-> eyre::Result<()> {
    let mut deployment = deployment(4, 2, 1).await?;
    let assigner = assigner_index(&deployment);
    let refused = (assigner + 1) % 4;
    // For three seconds after an assigner learns of the store's era, entries may be missing.
    sleep(SECOND * 3).await;
    let load = Load::start(caller_addresses(&deployment), "refused")?;
    let callers = [deployment.daemons[refused].peer_address.ip()].into();
    let faults = StoreFaults { refused_callers: callers, ..StoreFaults::default() };
    deployment.store.set_faults(faults);
    deployment.store.remove(&format!("oriolehoist/members/edge-{refused}"));
    sleep(SECOND).await;
    let before = deployment.store.request_count();
    sleep(SECOND * 4).await;
    let calls = deployment.store.request_count() - before;
    println!("{calls} calls in 4 s");
    // Five a second at rest, and few by the daemon that is refused.
    expect_that!(calls, le(28));
    expect_that!(deployment.daemons[refused].log(), not(contains_substring("heard=false")));
    let version = format!("{:08x}", deployment.publish_configuration());
    sleep(CONFIG_BOUND).await;
    expect_that!(version_in_force(&deployment.daemons[refused]).await, eq(&version));
    deployment.store.set_faults(StoreFaults::default());
    finish_and_check(&deployment, load, 0.99).await;
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_messages_on_loads_are_ignored() -> eyre::Result<()> {
    let deployment = deployment(2, 1, 1).await?;
    let load = Load::start(caller_addresses(&deployment), "datagrams")?;
    let daemon = &deployment.daemons[0];
    let stranger = tokio::net::UdpSocket::bind("127.0.0.1:0").await?;
    let member = SocketAddr::new(deployment.daemons[1].peer_address.ip(), 0);
    let member = tokio::net::UdpSocket::bind(member).await?;
    let datagrams = SocketAddr::new(daemon.peer_address.ip(), 7721);
    let until = Instant::now() + SECOND * 2;
    while Instant::now() < until {
        let length = fastrand::usize(..1600);
        let bytes: Vec<u8> = std::iter::repeat_with(|| fastrand::u8(..)).take(length).collect();
        // Of a version that does not exist.
        let other = rmp_serde::to_vec(&("loads-9", vec![(1_u32, u16::MAX, 0_u16)], 0_u8))?;
        for socket in [&stranger, &member] {
            let _ = socket.send_to(&bytes, datagrams).await;
            let _ = socket.send_to(&other, datagrams).await;
        }
        sleep(Duration::from_millis(2)).await;
    }
    finish_and_check(&deployment, load, 0.99).await;
    // Each sender is logged once.
    expect_that!(daemon.log().matches("PeerMalformed: datagrams").count(), eq(2));
    clean_up(deployment);
    Ok(())
}
