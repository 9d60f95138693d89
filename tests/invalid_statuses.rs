//! Tests of the project's own interface with servers whose responses have a status that HTTP does not have,
//! or announce another protocol.

use {
    googletest::prelude::*,
    oriolehoist_testkit::{
        cluster::{Cluster, ClusterOptions, DaemonMode},
        site,
        users_platform::{ScriptedCall, ScriptedReply, ScriptedServer, raw_response},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

const INVALID: [&str; 5] =
    ["000 None", "001 One", "042 Answer", "099 Last", "101 Switching Protocols"];

/// Responds to a request with an invalid status, followed by a complete response as its body.
fn reply(status: &str, call: &ScriptedCall) -> ScriptedReply {
    let exchange = call.header("oriolehoist-exchange").unwrap_or_default();
    let named = [("oriolehoist-incarnation", "7"), ("oriolehoist-exchange", exchange)];
    let valid = raw_response(200, &named, "smuggled");
    let bytes = match call.path.starts_with("/oriolehoist") {
        true => valid,
        false => {
            let head = format!(
                "HTTP/1.1 {status}\r\noriolehoist-incarnation: 7\r\noriolehoist-exchange: {exchange}\r\n\
                 connection: upgrade\r\nupgrade: other\r\ncontent-length: {}\r\n\r\n",
                valid.len()
            );
            [head.into_bytes(), valid].concat()
        }
    };
    ScriptedReply { bytes, ..ScriptedReply::default() }
}

/// Checks that a response with one of these statuses is no answer.
async fn check(statuses: &[&'static str]) -> eyre::Result<()> {
    for status in statuses.iter().copied() {
        let mut site = site::villacres();
        for service in &mut site.services {
            service.server_count = 1;
        }
        let program = env!("CARGO_BIN_EXE_oriolehoist").into();
        let cluster =
            Cluster::start(ClusterOptions::new(site, 1, DaemonMode::Process(program))).await?;
        let script = move |call: &ScriptedCall| reply(status, call);
        let server = ScriptedServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), script).await?;
        let mut targets = cluster.targets();
        targets[1].address = server.address;
        cluster.apply(&cluster.site.settings(&targets)).await?;
        sleep(Duration::from_secs(2)).await;
        let client = reqwest::Client::builder().no_proxy().build()?;
        let url = format!("http://{}/almanaque/today", cluster.daemons[0].caller_address);
        let request = client.get(url).header("oriolehoist-deadline-ms", "1000");
        let response = request.header("oriolehoist-request-id", "status-1").send().await?;
        let code = response.status().as_u16();
        let body = response.text().await?;
        expect_that!(matches!(code, 502 | 504), eq(true), "{status}: {code} {body}");
        expect_that!(body.contains("smuggled"), eq(false), "{status}: {body}");
        cluster.clean_up();
    }
    Ok(())
}

/// Guards against a body that is taken for the response, and against a status that is passed on although it
/// is no answer.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_with_an_invalid_status_is_no_answer_on_the_own_interface() -> eyre::Result<()> {
    check(&INVALID).await
}

/// Guards against the body of an interim response that is taken for the response.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_interim_response_with_a_body_is_no_answer_on_the_own_interface() -> eyre::Result<()> {
    check(&["103 Early Hints"]).await
}
