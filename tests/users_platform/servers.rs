//! Backend servers that leave, vanish, fall silent or act late.

use {
    crate::load::*,
    googletest::prelude::*,
    oriolehoist_testkit::users_platform::*,
    reqwest::Method,
    std::{
        collections::{BTreeMap, HashSet},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// A sixteenth of the keys is a part, of which one key is asked for each 10 ms.
const PART_BITS: u32 = 12;

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_server_gets_nothing_after_the_bound() -> eyre::Result<()> {
    let deployment = deployment(3, 3, 2).await?;
    let load = Load::start(callers(&deployment), "drain")?;
    sleep(SECOND).await;
    let leaving = [deployment.servers[0].clone(), deployment.servers[3].clone()];
    deployment.register(&leaving[0], "keyed", "draining");
    deployment.register(&leaving[1], "plain", "draining");
    let told = Instant::now();
    sleep(SECOND * 5).await;
    finish(&deployment, load, 0.99).await;
    let late = deployment.executed_requests().into_iter().filter(|ran| {
        leaving.iter().any(|server| server.id == ran.server)
            && ran.started_at > told + Duration::from_millis(2000)
    });
    expect_that!(late.count(), eq(0));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_vanishes_hands_its_keys_over() -> eyre::Result<()> {
    let deployment = deployment(3, 3, 1).await?;
    let load = Load::start(callers(&deployment), "vanish")?;
    sleep(SECOND).await;
    deployment.unregister(&deployment.servers[0]);
    sleep(SECOND * 4).await;
    finish(&deployment, load, 0.99).await;
    expect_that!((0..=u16::MAX).step_by(512).any(|key| deployment.servers[0].owns(key)), eq(false));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn keys_of_a_silent_server_are_served_again_in_time() -> eyre::Result<()> {
    let deployment = deployment(3, 3, 1).await?;
    let load = Load::start(callers(&deployment), "silent-server")?;
    sleep(SECOND).await;
    let lost = deployment.servers[0].clone();
    let keys: HashSet<u16> = (0..=u16::MAX).filter(|key| lost.owns(*key)).collect();
    lost.kill();
    let killed = Instant::now();
    let parts: HashSet<u16> = keys.iter().map(|key| key >> PART_BITS).collect();
    let client = Arc::new(Client::new(HOST, "parts")?);
    let daemons = callers(&deployment);
    for turn in 0..400 {
        // The last key of a part: the first may be the one that is held for longer.
        for part in &parts {
            let key = keys.iter().filter(|key| *key >> PART_BITS == *part).max().copied();
            let (client, daemon) = (Arc::clone(&client), daemons[turn % daemons.len()]);
            tokio::spawn(async move {
                client.send(daemon, Method::GET, "/k/a", key, DEADLINE).await;
            });
        }
        sleep(SECOND / 100).await;
    }
    sleep(SECOND * 2).await;
    let replies = load.finish().await;
    check_promises(&deployment, &replies);
    let mut first: BTreeMap<u16, Duration> = BTreeMap::new();
    for ran in deployment.executed_requests().into_iter().filter(|ran| ran.started_at > killed) {
        if let Some(key) = ran.key.filter(|key| keys.contains(key)) {
            first.entry(key >> PART_BITS).or_insert(ran.started_at - killed);
        }
    }
    expect_that!(first.len(), eq(parts.len()));
    let last = first.values().max().copied();
    println!("all parts are served again after {last:?}");
    expect_that!(last, some(le(SERVED_AGAIN)));
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn grants_that_are_carried_out_late_make_no_second_owner() -> eyre::Result<()> {
    let deployment = deployment(3, 4, 1).await?;
    let work = Duration::from_millis(10);
    for server in &deployment.servers {
        server.set_faults(ServerFaults {
            service_time: work,
            delayed_grant_rate: 0.3,
            ..ServerFaults::default()
        });
    }
    let load = Load::start(callers(&deployment), "late")?;
    sleep(SECOND * 2).await;
    deployment.register(&deployment.servers[0], "keyed", "draining");
    sleep(SECOND * 3).await;
    deployment.register(&deployment.servers[0], "keyed", "ready");
    deployment.register(&deployment.servers[1], "keyed", "draining");
    sleep(SECOND * 6).await;
    let replies = load.finish().await;
    check_promises(&deployment, &replies);
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn entries_by_other_writers_name_no_server() -> eyre::Result<()> {
    let deployment = deployment(2, 2, 1).await?;
    let load = Load::start(callers(&deployment), "entries")?;
    for (key, value) in [
        ("servers/x1", &b"\xff\xfe"[..]),
        ("servers/x2", b"{}"),
        ("servers/x3", br#"{"service":"keyed","address":"nowhere","zone":1}"#),
        (
            "servers/x4",
            br#"{"service":"other","address":"127.0.0.1:1","zone":"north","slots":1,
            "state":"resting"}"#,
        ),
        ("oriolehoist/members/x", b"[]"),
    ] {
        deployment.store.put(key, value);
    }
    sleep(SECOND * 3).await;
    finish(&deployment, load, 0.99).await;
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_join_get_requests_soon() -> eyre::Result<()> {
    let mut deployment = deployment(2, 2, 2).await?;
    let client = Client::new(HOST, "join")?;
    let daemons = callers(&deployment);
    let mut joined = Vec::new();
    for turn in 0..400 {
        if turn == 100 {
            for index in 60..64 {
                deployment.add_server(index, "plain").await?;
                joined.push(format!("i-{index}"));
            }
        }
        client.send(daemons[turn % 2], Method::GET, "/p/a", None, DEADLINE).await;
    }
    let ran: HashSet<String> =
        deployment.executed_requests().into_iter().map(|ran| ran.server).collect();
    let unused = joined.iter().filter(|id| !ran.contains(*id));
    expect_that!(unused.collect::<Vec<_>>(), is_empty());
    clean_up(deployment);
    Ok(())
}
