//! The store: calm, silent, forgetful; and what is read there.

use {
    crate::load::*, googletest::prelude::*, oriolehoist_testkit::users_platform::*,
    std::collections::HashSet, tokio::time::sleep,
};

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_calm_time_is_served_with_few_calls_to_the_store() -> eyre::Result<()> {
    let deployment = deployment(3, 3, 2).await?;
    let load = Load::start(callers(&deployment), "calm")?;
    sleep(SECOND).await;
    let calls = deployment.store.request_count();
    sleep(SECOND * 4).await;
    let calls = deployment.store.request_count() - calls;
    finish(&deployment, load, 0.995).await;
    // Five a second at rest, for four seconds.
    expect_that!(calls, le(20));
    let metrics = deployment.daemons[0].metrics().await?;
    expect_that!(metrics, contains_substring("oriolehoist_request_seconds_bucket"));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn ten_daemons_at_rest_make_few_calls_to_the_store() -> eyre::Result<()> {
    let deployment = deployment(10, 3, 2).await?;
    // The watches that began while no assigner was heard have to end.
    sleep(SECOND * 6).await;
    let calls = deployment.store.request_count();
    sleep(SECOND * 8).await;
    let calls = deployment.store.request_count() - calls;
    // Five a second of all daemons together.
    expect_that!(calls, le(40));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_go_on_being_served_while_the_store_is_silent() -> eyre::Result<()> {
    let deployment = deployment(3, 3, 1).await?;
    let load = Load::start(callers(&deployment), "silent")?;
    sleep(SECOND).await;
    deployment.store.set_faults(StoreFaults { unreachable: true, ..StoreFaults::default() });
    sleep(SECOND * 9).await;
    deployment.store.set_faults(StoreFaults::default());
    sleep(SECOND * 6).await;
    let replies = finish(&deployment, load, 0.99).await;
    expect_that!(longest_gap(&replies), lt(SERVED_AGAIN));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_lapsed_with_the_store_keep_their_keys() -> eyre::Result<()> {
    let deployment = deployment(3, 3, 1).await?;
    let load = Load::start(callers(&deployment), "lapsed")?;
    sleep(SECOND).await;
    deployment.store.set_faults(StoreFaults { unreachable: true, ..StoreFaults::default() });
    sleep(SECOND * 6).await;
    for server in &deployment.servers {
        deployment.unregister(server);
    }
    deployment.store.set_faults(StoreFaults::default());
    sleep(SECOND * 3 / 2).await;
    for (index, server) in deployment.servers.iter().enumerate() {
        deployment.register(server, if index < 3 { "keyed" } else { "plain" }, "ready");
    }
    sleep(SECOND * 6).await;
    let replies = finish(&deployment, load, 0.99).await;
    expect_that!(longest_gap(&replies), lt(SERVED_AGAIN));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_configuration_is_in_force_everywhere() -> eyre::Result<()> {
    let mut deployment = deployment(3, 2, 1).await?;
    let refused = deployment.daemons[1].peer_address.ip();
    let faults =
        StoreFaults { refused_callers: HashSet::from([refused]), ..StoreFaults::default() };
    deployment.store.set_faults(faults);
    deployment.publish_configuration();
    sleep(SECOND * 2).await;
    for daemon in &deployment.daemons {
        // One of them has it from a peer.
        expect_that!(daemon.log(), contains_substring("SettingsInForce: version=00000006"));
    }
    deployment.store.put("op/config", b"{\"version\":\"000000ff\"");
    sleep(SECOND).await;
    expect_that!(deployment.daemons[0].log(), contains_substring("SettingsRejected"));
    let load = Load::start(callers(&deployment), "config")?;
    sleep(SECOND).await;
    finish(&deployment, load, 0.99).await;
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_forgets_its_history_is_not_asked_again_and_again() -> eyre::Result<()> {
    let deployment = deployment(3, 2, 1).await?;
    let calls = deployment.store.request_count();
    for _ in 0..4 {
        deployment.unregister(&deployment.servers[2]);
        deployment.register(&deployment.servers[2], "plain", "ready");
        deployment.store.compact_history();
        sleep(SECOND).await;
    }
    // Every watch starts afresh after each loss of the history: some ten calls, not hundreds.
    expect_that!(deployment.store.request_count() - calls, le(100));
    clean_up(deployment);
    Ok(())
}
