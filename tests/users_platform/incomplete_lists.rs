//! Tests of lists in the store that can't be read to their end, and of those with large values.

use {
    crate::load::*, googletest::prelude::*, oriolehoist_testkit::users_platform::*,
    std::time::Duration, tokio::time::sleep,
};

/// How long daemons that were all killed and started again may take to serve.
const RECOVERY_TIME: Duration = SECOND.saturating_mul(5);

/// How often servers write their registration again.
const HEARTBEAT: Duration = Duration::from_millis(870);

/// The memory of the smallest machines.
const MAX_MEMORY_BYTES: u64 = 120 << 20;

/// Registers all servers again at each heartbeat, as servers do.
async fn beat(deployment: &Deployment, beats: u32) {
    for _ in 0..beats {
        for server in &deployment.servers {
            let service = if server.is_sharded() { "keyed" } else { "plain" };
            deployment.register(server, service, "ready");
        }
        sleep(HEARTBEAT).await;
    }
}

/// Guards against a list that is read without end, and daemons that then serve nothing after a restart,
/// because some page of it can't be read.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn daemons_serve_although_a_page_of_the_servers_cannot_be_read() -> eyre::Result<()> {
    for page_fault in [PageFault::FirstPage, PageFault::Rejection] {
        let mut deployment = deployment(2, 2, 2).await?;
        deployment.store.set_page_size(2);
        let page_after = Some(("servers/i-1".to_owned(), page_fault));
        deployment.store.set_faults(StoreFaults { page_after, ..StoreFaults::default() });
        deployment.daemons.iter_mut().for_each(Daemon::kill);
        deployment.daemons.iter_mut().try_for_each(Daemon::start)?;
        beat(&deployment, 6).await;
        let requests_before = deployment.store.request_count();
        let load = Load::start(caller_addresses(&deployment), "page")?;
        sleep(SECOND * 2).await;
        finish_and_check(&deployment, load, 0.98).await;
        // The limit is 5 requests per second in steady state, for 4 s.
        let requests = deployment.store.request_count() - requests_before;
        expect_that!(requests, le(20), "{page_fault:?}");
        let logs: String = deployment.daemons.iter().map(Daemon::log).collect();
        expect_that!(logs.contains("ListIncomplete: prefix=servers/ pages="), eq(true));
        clean_up(deployment);
    }
    Ok(())
}

/// Guards against a page that is given up although it arrives, so that the list is never read: a link of
/// 10 Mbit/s takes 1.2 s for a value of a megabyte.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn daemons_serve_although_a_page_of_the_servers_takes_long_to_arrive() -> eyre::Result<()> {
    let mut deployment = deployment(2, 2, 2).await?;
    deployment.store.set_page_size(2);
    deployment.store.put("servers/R&D-gateway", &vec![0x5a; 1 << 20]);
    let bytes_per_second = Some(1_250_000);
    deployment.store.set_faults(StoreFaults { bytes_per_second, ..StoreFaults::default() });
    deployment.daemons.iter_mut().for_each(Daemon::kill);
    deployment.store.compact_history();
    deployment.daemons.iter_mut().try_for_each(Daemon::start)?;
    beat(&deployment, 6).await;
    let load = Load::start(caller_addresses(&deployment), "slow")?;
    sleep(SECOND * 2).await;
    finish_and_check(&deployment, load, 0.98).await;
    clean_up(deployment);
    Ok(())
}

/// Guards against daemons that hold the values of a whole list in memory.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_list_with_large_values_does_not_use_up_the_memory() -> eyre::Result<()> {
    let mut deployment = deployment(2, 2, 2).await?;
    deployment.daemons.iter_mut().for_each(Daemon::kill);
    deployment.store.set_page_size(1);
    for index in 0..100 {
        deployment.store.put(&format!("servers/large-{index}"), &vec![0x5a; 1 << 20]);
    }
    deployment.store.compact_history();
    deployment.daemons.iter_mut().try_for_each(Daemon::start)?;
    sleep(RECOVERY_TIME * 2).await;
    let load = Load::start(caller_addresses(&deployment), "large")?;
    sleep(SECOND * 2).await;
    finish_and_check(&deployment, load, 0.98).await;
    for daemon in &deployment.daemons {
        expect_that!(daemon.peak_memory(), some(le(MAX_MEMORY_BYTES)));
    }
    clean_up(deployment);
    Ok(())
}
