//! Minimal end-to-end test: daemons, store, backend servers, and the loss of an owner.

use {
    googletest::prelude::*,
    oriolehoist_testkit::{
        caller::{Balancer, LoadProfile, RequestLog, start_load},
        cluster::{Cluster, ClusterOptions, DaemonMode},
        oracle::{availability, duplicate_bookings, mismatched_responses, overlapping_owners},
        site,
    },
    oriolehoist_time::Millis,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

fn load_profile() -> LoadProfile {
    LoadProfile { rate: 200, key_count: 60, class: "urgent", ..LoadProfile::default() }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn serves_keys_again_after_an_owner_is_killed() -> eyre::Result<()> {
    let program = env!("CARGO_BIN_EXE_oriolehoist").into();
    let options = ClusterOptions::new(site::villacres(), 2, DaemonMode::Process(program));
    let cluster = Cluster::start(options).await?;
    let balancer =
        Arc::new(Balancer::start(cluster.daemons.iter().map(|d| d.caller_address).collect()));
    let records = RequestLog::default();
    let started = cluster.clock.now();
    let load = start_load(cluster.clock, balancer, records.clone(), load_profile(), Millis(5000));
    sleep(Duration::from_millis(1500)).await;
    let owner = cluster.last_server_for_key("key-7")?;
    cluster.kill_servers(&[owner]).await?;
    load.finish().await;

    let (records, runs) = (records.all(), cluster.journal.runs());
    let outages = availability(&records, started, cluster.clock.now());
    let served = records.iter().filter(|r| r.is_served()).count();
    println!("{served} of {} served; {outages:?}", records.len());
    expect_that!(overlapping_owners(&cluster.journal.ownership_intervals(), &runs), is_empty());
    expect_that!(mismatched_responses(&records), is_empty());
    expect_that!(duplicate_bookings(&records, &runs), is_empty());
    expect_that!(outages.affected_keys, gt(0));
    expect_that!(outages.longest_outage, le(Millis(2000)));
    cluster.clean_up();
    Ok(())
}
