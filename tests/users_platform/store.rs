//! Tests of the store: the request rate in steady state, outages, lost history, and the
//! configuration it contains.

use {
    crate::load::*,
    googletest::prelude::*,
    oriolehoist_testkit::users_platform::*,
    std::{
        collections::HashSet,
        env,
        path::Path,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// How long the store is unreachable before it continues from a copy.
const RESTORE_OUTAGE: Duration = Duration::from_millis(300);
/// How long after that the operator and the servers write their values again.
const REWRITE_DELAY: Duration = Duration::from_millis(300);

/// Returns the first grant whose fencing token is not higher than that of an earlier grant of the same
/// keys to another server.
fn reissued_fence(deployment: &Deployment) -> Option<String> {
    let grants = deployment.accepted_grants();
    grants.iter().enumerate().find_map(|(index, grant)| {
        let earlier = grants[..index].iter().find(|earlier| {
            earlier.server != grant.server
                && earlier.fence >= grant.fence
                && earlier.from <= grant.to
                && grant.from <= earlier.to
        });
        earlier.map(|earlier| format!("{grant:?} after {earlier:?}"))
    })
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn steady_load_needs_few_store_requests() -> eyre::Result<()> {
    let deployment = deployment(3, 3, 2).await?;
    let load = Load::start(caller_addresses(&deployment), "calm")?;
    sleep(SECOND).await;
    let request_count = deployment.store.request_count();
    sleep(SECOND * 4).await;
    let request_count = deployment.store.request_count() - request_count;
    finish_and_check(&deployment, load, 0.995).await;
    // The limit is 5 requests per second in steady state, for 4 s.
    expect_that!(request_count, le(20));
    let metrics = deployment.daemons[0].metrics().await?;
    expect_that!(metrics, contains_substring("oriolehoist_request_seconds_bucket"));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_short_drain_period_does_not_make_every_daemon_read_the_servers() -> eyre::Result<()> {
    let program = Path::new(env!("CARGO_BIN_EXE_oriolehoist"));
    let deployment = Deployment::start(program, 5, 3, 1, SECOND).await?;
    sleep(SECOND * 2).await;
    let request_count = deployment.store.request_count();
    sleep(SECOND * 4).await;
    // The limit is 5 requests per second in steady state, for 4 s.
    expect_that!(deployment.store.request_count() - request_count, le(20));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn ten_daemons_at_rest_make_few_calls_to_the_store() -> eyre::Result<()> {
    let deployment = deployment(10, 3, 2).await?;
    // Waits until the watches that were started before the assigner was known have ended.
    sleep(SECOND * 6).await;
    let request_count = deployment.store.request_count();
    sleep(SECOND * 8).await;
    let request_count = deployment.store.request_count() - request_count;
    // The limit is 5 requests per second for all daemons together, for 8 s.
    expect_that!(request_count, le(40));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_go_on_being_served_while_the_store_is_unreachable() -> eyre::Result<()> {
    let deployment = deployment(3, 3, 1).await?;
    let load = Load::start(caller_addresses(&deployment), "silent")?;
    sleep(SECOND).await;
    deployment.store.set_faults(StoreFaults { unreachable: true, ..StoreFaults::default() });
    sleep(SECOND * 9).await;
    deployment.store.set_faults(StoreFaults::default());
    sleep(SECOND * 6).await;
    let responses = finish_and_check(&deployment, load, 0.99).await;
    expect_that!(longest_outage(&responses), lt(MAX_OUTAGE));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn servers_whose_registrations_lapsed_in_an_outage_keep_their_keys() -> eyre::Result<()> {
    let deployment = deployment(3, 3, 1).await?;
    let load = Load::start(caller_addresses(&deployment), "lapsed")?;
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
    let responses = finish_and_check(&deployment, load, 0.99).await;
    expect_that!(longest_outage(&responses), lt(MAX_OUTAGE));
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
        // The daemon that the store refuses gets it from a peer.
        expect_that!(daemon.log(), contains_substring("SettingsInForce: version=00000006"));
    }
    deployment.store.put("op/config", b"{\"version\":\"000000ff\"");
    sleep(SECOND).await;
    expect_that!(deployment.daemons[0].log(), contains_substring("SettingsRejected"));
    let load = Load::start(caller_addresses(&deployment), "config")?;
    sleep(SECOND).await;
    finish_and_check(&deployment, load, 0.99).await;
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_forgets_its_history_is_not_asked_again_and_again() -> eyre::Result<()> {
    let deployment = deployment(3, 2, 1).await?;
    let request_count = deployment.store.request_count();
    for _ in 0..4 {
        deployment.unregister(&deployment.servers[2]);
        deployment.register(&deployment.servers[2], "plain", "ready");
        deployment.store.compact_history();
        sleep(SECOND).await;
    }
    // Every watch restarts after each loss of the history, with about 10 requests, not hundreds.
    expect_that!(deployment.store.request_count() - request_count, le(100));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_fence_is_issued_again_after_the_store_lost_its_last_writes() -> eyre::Result<()> {
    let mut deployment = deployment(3, 4, 1).await?;
    let assigner = assigner_index(&deployment);
    let load = Load::start(caller_addresses_without(&deployment, assigner), "fences")?;
    let snapshot = deployment.store.snapshot();
    deployment.register(&deployment.servers[0], "keyed", "draining");
    sleep(SECOND * 2).await;
    // The next assigner knows only the restored table.
    deployment.daemons[assigner].kill();
    deployment.store.restore(snapshot, RESTORE_OUTAGE, REWRITE_DELAY).await;
    sleep(SECOND * 4).await;
    deployment.register(&deployment.servers[1], "keyed", "draining");
    sleep(SECOND * 14).await;
    let responses = load.finish().await;
    check_invariants(&deployment, &responses);
    expect_that!(reissued_fence(&deployment), none());
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_fence_is_issued_again_after_the_store_lost_a_takeover() -> eyre::Result<()> {
    let mut deployment = deployment(3, 4, 1).await?;
    let snapshot = deployment.store.snapshot();
    let first = assigner_index(&deployment);
    deployment.daemons[first].kill();
    sleep(SECOND * 4).await;
    for index in [3, 2] {
        deployment.register(&deployment.servers[index], "keyed", "draining");
        sleep(SECOND * 2).await;
    }
    // The tokens that the second assigner reserved are not in the restored table.
    let second = assigner_index(&deployment);
    deployment.daemons[second].kill();
    deployment.store.restore(snapshot, RESTORE_OUTAGE, REWRITE_DELAY).await;
    // A server that has seen no token yet rejects none.
    deployment.add_server(9, "keyed").await?;
    sleep(SECOND * 18).await;
    expect_that!(reissued_fence(&deployment), none());
    expect_that!(deployment.overlaps(), is_empty());
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_key_has_two_owners_after_the_store_lost_its_move() -> eyre::Result<()> {
    let mut deployment = deployment(3, 4, 1).await?;
    let assigner = assigner_index(&deployment);
    let load = Load::start(caller_addresses_without(&deployment, assigner), "moves")?;
    let snapshot = deployment.store.snapshot();
    deployment.register(&deployment.servers[0], "keyed", "draining");
    sleep(SECOND * 2).await;
    deployment.daemons[assigner].kill();
    deployment.store.restore(snapshot, RESTORE_OUTAGE, SECOND * 3).await;
    sleep(SECOND * 14).await;
    let responses = load.finish().await;
    check_invariants(&deployment, &responses);
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_daemon_becomes_assigner_while_another_trusts_a_lease_that_the_store_lost()
-> eyre::Result<()> {
    let mut deployment = deployment(3, 3, 1).await?;
    let assigner = assigner_index(&deployment);
    let starting = (assigner + 1) % 3;
    deployment.daemons[starting].kill();
    sleep(SECOND).await;
    let snapshot = deployment.store.snapshot().without("oriolehoist/assigner");
    let ignored = deployment.daemons[assigner].peer_address.ip();
    deployment.store.restore(snapshot, Duration::from_millis(20), Duration::ZERO).await;
    let faults =
        StoreFaults { ignored_callers: HashSet::from([ignored]), ..StoreFaults::default() };
    deployment.store.set_faults(faults);
    let restored_at = Instant::now();
    deployment.daemons[starting].start()?;
    // Grants of the previous assigner that the store does not know of last for up to 10 s.
    sleep(SECOND * 15).await;
    let grants = deployment.accepted_grants();
    let last = grants.iter().rfind(|grant| grant.sender == ignored);
    let by_others =
        |grant: &&AcceptedGrant| grant.sender != ignored && grant.received_at > restored_at;
    let first = grants.iter().find(by_others);
    let last_old = last.map(|grant| grant.received_at.saturating_duration_since(restored_at));
    let first_new = first.map(|grant| grant.received_at.saturating_duration_since(restored_at));
    expect_that!(first_new, some(gt(last_old.unwrap_or_default())));
    // The lease of the previous assigner was renewed up to the moment of the restore.
    expect_that!(first_new, some(gt(Duration::from_millis(1200))));
    expect_that!(deployment.overlaps(), is_empty());
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn changes_are_known_everywhere_although_the_revisions_went_back() -> eyre::Result<()> {
    let mut deployment = deployment(3, 3, 2).await?;
    let load = Load::start(caller_addresses(&deployment), "ahead")?;
    let snapshot = deployment.store.snapshot();
    for _ in 0..200 {
        deployment.store.put("op/other", b"{}");
    }
    deployment.register(&deployment.servers[2], "keyed", "ready");
    deployment.publish_configuration();
    sleep(SECOND).await;
    deployment.store.restore(snapshot, RESTORE_OUTAGE, REWRITE_DELAY).await;
    let leaving = [deployment.servers[0].clone(), deployment.servers[3].clone()];
    deployment.register(&leaving[0], "keyed", "draining");
    deployment.register(&leaving[1], "plain", "draining");
    deployment.publish_configuration();
    let announced = Instant::now();
    sleep(CONFIG_BOUND).await;
    for daemon in &deployment.daemons {
        expect_that!(daemon.log(), contains_substring("SettingsInForce: version=00000009"));
    }
    sleep(SECOND * 3).await;
    let responses = load.finish().await;
    check_invariants(&deployment, &responses);
    expect_that!(late_runs(&deployment, &leaving, announced), eq(0));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn changes_hidden_by_revisions_that_were_issued_again_are_known() -> eyre::Result<()> {
    let deployment = deployment(3, 3, 2).await?;
    let load = Load::start(caller_addresses(&deployment), "again")?;
    let snapshot = deployment.store.snapshot();
    deployment.store.put("op/other", b"{}");
    deployment.store.put("op/other", b"{}");
    // Until every watch of the servers counts from a revision that the copy does not have.
    sleep(SECOND * 3).await;
    // Too short for any watch to be cut.
    deployment.store.restore(snapshot, Duration::ZERO, Duration::ZERO).await;
    let leaving = [deployment.servers[0].clone(), deployment.servers[3].clone()];
    deployment.register(&leaving[0], "keyed", "draining");
    deployment.register(&leaving[1], "plain", "draining");
    let announced = Instant::now();
    // The store has the watched revisions again, at later changes.
    for _ in 0..20 {
        deployment.store.put("op/other", b"{}");
    }
    sleep(SECOND * 5).await;
    let responses = load.finish().await;
    check_invariants(&deployment, &responses);
    expect_that!(late_runs(&deployment, &leaving, announced), eq(0));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_announced_its_drain_gets_no_late_requests_although_the_store_lost_that()
-> eyre::Result<()> {
    let deployment = deployment(3, 3, 2).await?;
    let load = Load::start(caller_addresses(&deployment), "lost-drain")?;
    let snapshot = deployment.store.snapshot();
    let leaving = [deployment.servers[0].clone(), deployment.servers[3].clone()];
    deployment.register(&leaving[0], "keyed", "draining");
    deployment.register(&leaving[1], "plain", "draining");
    let announced = Instant::now();
    sleep(SECOND).await;
    deployment.store.restore(snapshot, RESTORE_OUTAGE, SECOND * 2).await;
    sleep(SECOND * 2).await;
    let responses = load.finish().await;
    check_invariants(&deployment, &responses);
    expect_that!(late_runs(&deployment, &leaving, announced), eq(0));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_daemon_returns_to_the_configuration_of_a_restored_store() -> eyre::Result<()> {
    let mut deployment = deployment(3, 2, 1).await?;
    let snapshot = deployment.store.snapshot();
    deployment.publish_configuration();
    sleep(SECOND).await;
    deployment.store.restore(snapshot, RESTORE_OUTAGE, SECOND * 2).await;
    sleep(SECOND).await;
    for daemon in &deployment.daemons {
        let log = daemon.log();
        let versions: Vec<&str> = log
            .lines()
            .filter_map(|line| line.split_once("SettingsInForce: version="))
            .map(|(_, v)| &v[..8])
            .collect();
        expect_that!(versions, elements_are![eq(&"00000003"), eq(&"00000006")]);
    }
    let load = Load::start(caller_addresses(&deployment), "older")?;
    sleep(SECOND).await;
    finish_and_check(&deployment, load, 0.99).await;
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn members_register_again_after_the_store_lost_their_entries() -> eyre::Result<()> {
    let deployment = deployment(3, 2, 1).await?;
    let snapshot = deployment.store.snapshot().without("oriolehoist/members/");
    deployment.store.restore(snapshot, RESTORE_OUTAGE, REWRITE_DELAY).await;
    sleep(SECOND * 5).await;
    for index in 0..3 {
        let entry = deployment.store.get(&format!("oriolehoist/members/edge-{index}"));
        expect_that!(entry, some(anything()), "edge-{index}");
    }
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_go_on_being_served_while_the_store_returns_from_a_copy() -> eyre::Result<()> {
    let deployment = deployment(3, 3, 1).await?;
    let load = Load::start(caller_addresses(&deployment), "restored")?;
    let snapshot = deployment.store.snapshot();
    sleep(SECOND * 3).await;
    deployment.store.restore(snapshot, RESTORE_OUTAGE, REWRITE_DELAY).await;
    sleep(SECOND * 6).await;
    let responses = finish_and_check(&deployment, load, 0.99).await;
    expect_that!(longest_outage(&responses), lt(MAX_OUTAGE));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_go_on_being_served_if_the_lease_ends_before_the_store_returns_from_a_copy()
-> eyre::Result<()> {
    let deployment = deployment(3, 3, 1).await?;
    let load = Load::start(caller_addresses(&deployment), "longer")?;
    let snapshot = deployment.store.snapshot();
    sleep(SECOND * 3).await;
    deployment.store.restore(snapshot, SECOND * 3, REWRITE_DELAY).await;
    sleep(SECOND * 14).await;
    let responses = finish_and_check(&deployment, load, 0.99).await;
    expect_that!(longest_outage(&responses), lt(MAX_OUTAGE));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn no_key_has_two_owners_if_the_lease_ends_before_the_store_returns_without_a_move()
-> eyre::Result<()> {
    let deployment = deployment(3, 4, 1).await?;
    let load = Load::start(caller_addresses(&deployment), "lapsed-moves")?;
    let snapshot = deployment.store.snapshot();
    deployment.register(&deployment.servers[0], "keyed", "draining");
    sleep(SECOND * 2).await;
    deployment.store.restore(snapshot, SECOND * 3, REWRITE_DELAY).await;
    sleep(SECOND * 5).await;
    deployment.register(&deployment.servers[1], "keyed", "draining");
    sleep(SECOND * 4).await;
    finish_and_check(&deployment, load, 0.99).await;
    expect_that!(reissued_fence(&deployment), none());
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_store_returns_from_copies_again_and_again() -> eyre::Result<()> {
    // By hand, `ORIOLEHOIST_SEED` sets another seed.
    let seed = env::var("ORIOLEHOIST_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let mut random = fastrand::Rng::with_seed(seed);
    let mut deployment = deployment(3, 4, 1).await?;
    let load = Load::start(caller_addresses(&deployment), "drills")?;
    for round in 0..6 {
        let snapshot = deployment.store.snapshot();
        let server = &deployment.servers[round % 3];
        match random.u8(..3) {
            0 => deployment.register(server, "keyed", "draining"),
            1 => deployment.register(server, "keyed", "ready"),
            _ => {
                // The copy has the key of a daemon that is the assigner no more.
                let assigner = assigner_index(&deployment);
                deployment.daemons[assigner].kill();
                sleep(SECOND * 3).await;
                deployment.daemons[assigner].start()?;
            }
        }
        sleep(Duration::from_millis(random.u64(500..2500))).await;
        let outage = Duration::from_millis(random.u64(..2000));
        deployment.store.restore(snapshot, outage, REWRITE_DELAY).await;
        sleep(SECOND * 4).await;
    }
    let responses = load.finish().await;
    check_invariants(&deployment, &responses);
    expect_that!(reissued_fence(&deployment), none());
    println!("seed {seed}: {:.3} served", served_share(&responses));
    clean_up(deployment);
    Ok(())
}
