//! The assigner and the other daemons: killed, frozen, cut off, stopped.

use {
    crate::load::*,
    googletest::prelude::*,
    oriolehoist_testkit::users_platform::*,
    std::{
        collections::HashSet,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_go_on_being_served_when_the_assigner_is_killed() -> eyre::Result<()> {
    let mut deployment = deployment(3, 3, 1).await?;
    let lost = assigner(&deployment);
    let load = Load::start(callers_without(&deployment, lost), "assigner")?;
    sleep(SECOND).await;
    deployment.daemons[lost].kill();
    sleep(SECOND * 7).await;
    let replies = finish(&deployment, load, 0.99).await;
    expect_that!(longest_gap(&replies), lt(SERVED_AGAIN));
    for daemon in &deployment.daemons {
        // Shares of connections and retries would be those of a single daemon.
        expect_that!(daemon.log(), not(contains_substring("members=0 ")));
    }
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_ended_leaves_the_members() -> eyre::Result<()> {
    let mut deployment = deployment(3, 2, 1).await?;
    let assigner = assigner(&deployment);
    deployment.daemons[(assigner + 1) % 3].kill();
    let load = Load::start(callers_without(&deployment, (assigner + 1) % 3), "members")?;
    sleep(SECOND * 23).await;
    finish(&deployment, load, 0.99).await;
    let log = deployment.daemons[assigner].log();
    expect_that!(log, contains_substring("members=2 registered=3"));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn everything_is_served_again_when_all_daemons_were_killed() -> eyre::Result<()> {
    let mut deployment = deployment(3, 3, 1).await?;
    let table = deployment.store.get("oriolehoist/table").expect("there is a table");
    for daemon in &mut deployment.daemons {
        daemon.kill();
    }
    sleep(SECOND).await;
    for daemon in &mut deployment.daemons {
        daemon.start()?;
    }
    for daemon in &deployment.daemons {
        daemon.wait_until_ready(SERVED_AGAIN).await?;
    }
    let load = Load::start(callers(&deployment), "again")?;
    sleep(SECOND * 5).await;
    finish(&deployment, load, 0.99).await;
    let owners = |table: &[u8]| -> HashSet<String> {
        let table: serde_json::Value = serde_json::from_slice(table).expect("JSON");
        let ranges = table["services"]["keyed"].as_array().cloned().unwrap_or_default();
        ranges.iter().map(|range| format!("{} {}", range["range"], range["owner"])).collect()
    };
    let after = deployment.store.get("oriolehoist/table").expect("there is a table");
    expect_that!(owners(&after), eq(&owners(&table)));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn another_daemon_takes_over_when_the_store_refuses_the_assigner() -> eyre::Result<()> {
    let deployment = deployment(3, 3, 1).await?;
    let refused = assigner(&deployment);
    let load = Load::start(callers(&deployment), "refused")?;
    sleep(SECOND).await;
    let faults = StoreFaults {
        refused_callers: HashSet::from([deployment.daemons[refused].peer_address.ip()]),
        ..StoreFaults::default()
    };
    deployment.store.set_faults(faults);
    sleep(SECOND * 7).await;
    expect_that!(assigner(&deployment), not(eq(refused)));
    finish(&deployment, load, 0.99).await;
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_assigner_orders_nothing_when_it_thaws() -> eyre::Result<()> {
    let deployment = deployment(3, 3, 1).await?;
    let frozen = assigner(&deployment);
    let load = Load::start(callers_without(&deployment, frozen), "frozen")?;
    sleep(SECOND).await;
    deployment.daemons[frozen].set_frozen(true);
    sleep(SECOND * 5).await;
    // The others move its keys meanwhile.
    deployment.register(&deployment.servers[0], "keyed", "draining");
    sleep(SECOND).await;
    deployment.daemons[frozen].set_frozen(false);
    sleep(SECOND * 2).await;
    expect_that!(assigner(&deployment), not(eq(frozen)));
    let replies = load.finish().await;
    check_promises(&deployment, &replies);
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing() -> eyre::Result<()> {
    let mut deployment = deployment(3, 3, 1).await?;
    for server in &deployment.servers {
        let work = Duration::from_millis(60);
        server.set_faults(ServerFaults { service_time: work, ..ServerFaults::default() });
    }
    let stopping = assigner(&deployment);
    let load = Load::start(vec![deployment.daemons[stopping].caller_address], "stopped")?;
    let rest = Load::start(callers_without(&deployment, stopping), "rest")?;
    sleep(SECOND).await;
    let asked = Instant::now();
    let stop = deployment.daemons[stopping].stop();
    // The balancer sends nothing new after two failed questions.
    let end_load = async {
        sleep(SECOND * 2).await;
        load.finish().await
    };
    let (status, replies) = tokio::join!(stop, end_load);
    expect_that!(status?.is_some_and(|status| status.success()), eq(true));
    expect_that!(asked.elapsed(), lt(Duration::from_secs(6)));
    expect_that!(served(&replies), eq(1.0));
    let rest = rest.finish().await;
    check_promises(&deployment, &rest);
    expect_that!(served(&rest), ge(0.99));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn takeovers_succeed_though_answers_of_the_store_are_lost() -> eyre::Result<()> {
    let mut deployment = deployment(3, 3, 1).await?;
    let lost = assigner(&deployment);
    let load = Load::start(callers_without(&deployment, lost), "answers")?;
    deployment.store.set_faults(StoreFaults { response_loss_rate: 0.4, ..StoreFaults::default() });
    deployment.daemons[lost].kill();
    sleep(SECOND * 9).await;
    let replies = load.finish().await;
    check_promises(&deployment, &replies);
    expect_that!(deployment.daemons.iter().any(Daemon::is_assigner), eq(true));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn changed_settings_are_checked_and_cut_nothing() -> eyre::Result<()> {
    let deployment = deployment(2, 2, 1).await?;
    let load = Load::start(callers(&deployment), "hup")?;
    for (text, logged) in [("\n# the same\n", "valid=true"), ("\n[[[", "valid=false")] {
        deployment.daemons[0].change_settings(text)?;
        sleep(SECOND).await;
        expect_that!(deployment.daemons[0].log(), contains_substring(logged));
    }
    finish(&deployment, load, 0.99).await;
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_start_is_the_first_line_of_each_log() -> eyre::Result<()> {
    let deployment = deployment(6, 2, 1).await?;
    for daemon in &deployment.daemons {
        let log = daemon.log();
        expect_that!(log.lines().next().unwrap_or_default(), contains_substring("E1001 Started"));
    }
    clean_up(deployment);
    Ok(())
}
