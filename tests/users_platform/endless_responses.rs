//! Tests of servers that send bytes without end until their connection is closed.

use {
    crate::load::*, futures::future::join_all, googletest::prelude::*,
    oriolehoist_testkit::users_platform::*, reqwest::Method, std::time::Duration,
};

/// The memory that a process may use on the platform.
const MEMORY_LIMIT: u64 = 260 << 20;
/// How many endless responses are received at the same time.
const CONCURRENT_REQUESTS: usize = 8;
/// How much sooner than at its deadline a request is answered whose response has no end.
const TIME_SAVED: Duration = Duration::from_millis(300);

async fn check_endless_response(fault: ResponseFault) -> eyre::Result<()> {
    let deployment = deployment(1, 1, 0).await?;
    let server = deployment.add_raw_server(5, fault).await?;
    tokio::time::sleep(SECOND).await;
    let daemon = &deployment.daemons[0];
    let client = Client::new(HOST, "endless")?;
    for _ in 0..3 {
        let request = || client.send(daemon.caller_address, Method::GET, "/p/a", None, DEADLINE);
        let responses = join_all((0..CONCURRENT_REQUESTS).map(|_| request())).await;
        for response in responses {
            // The server may have run the request, unless it was not sent to it.
            expect_that!(response.status, some(any![eq(502), eq(503), eq(504)]), "{fault:?}");
            expect_that!(response.latency, lt(DEADLINE - TIME_SAVED), "{fault:?}");
        }
    }
    println!("{fault:?}: peak {:?}", daemon.peak_memory());
    expect_that!(daemon.peak_memory(), some(lt(MEMORY_LIMIT)), "{fault:?}");
    // The other requests are served meanwhile and afterwards.
    let keyed = client.send(daemon.caller_address, Method::GET, "/k/a", Some(7), DEADLINE).await;
    expect_that!(keyed.is_served(), eq(true), "{fault:?}");
    drop(server);
    clean_up(deployment);
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_does_not_use_up_the_memory() -> eyre::Result<()> {
    for fault in [ResponseFault::EndlessChunks, ResponseFault::EndlessBody] {
        check_endless_response(fault).await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_that_are_no_body_do_not_hold_a_request_up() -> eyre::Result<()> {
    let faults = [
        ResponseFault::EndlessHead,
        ResponseFault::EndlessInterim,
        ResponseFault::EndlessExtensions,
        ResponseFault::EndlessTrailers,
        ResponseFault::EndlessExtraResponses,
    ];
    for fault in faults {
        check_endless_response(fault).await?;
    }
    Ok(())
}
