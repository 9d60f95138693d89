//! Tests that malformed input from callers, peers and the store is rejected with a clear error, and
//! that the daemon keeps serving.

use {
    googletest::prelude::*,
    oriolehoist_testkit::{
        cluster::{Cluster, ClusterOptions, DaemonMode},
        site,
    },
    serde_json::Value as Json,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

async fn start() -> eyre::Result<Cluster> {
    let mut site = site::villacres();
    site.extra_settings = r#""policy": { "max_body_bytes": 1000, "body_timeout_ms": 300 },"#.into();
    let program = env!("CARGO_BIN_EXE_oriolehoist").into();
    Cluster::start(ClusterOptions::new(site, 2, DaemonMode::Process(program))).await
}

/// Sends raw bytes to a daemon and returns its response.
async fn send(address: std::net::SocketAddr, bytes: &[u8]) -> eyre::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes).await?;
    let mut response = vec![0; 8192];
    let length = timeout(Duration::from_secs(5), stream.read(&mut response)).await??;
    Ok(String::from_utf8_lossy(&response[..length]).into_owned())
}

fn request(head: &str) -> String {
    format!("GET /mareas-live/window HTTP/1.1\r\nhost: x\r\n{head}\r\n")
}

async fn is_serving(cluster: &Cluster) -> eyre::Result<bool> {
    let valid = request("oriolehoist-key: bar\r\noriolehoist-request-id: well\r\n");
    let response = send(cluster.daemons[0].caller_address, valid.as_bytes()).await?;
    Ok(response.starts_with("HTTP/1.1 200"))
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_caller_requests_get_a_clear_refusal() -> eyre::Result<()> {
    let cluster = start().await?;
    let daemon = cluster.daemons[0].caller_address;
    let too_long = "k".repeat(600);
    let cases = [
        (request(""), "400", "missing-key"),
        (request("oriolehoist-key: \r\n"), "400", "missing-key"),
        (request(&format!("oriolehoist-key: {too_long}\r\n")), "413", "too-large"),
        (request("oriolehoist-key: a\r\noriolehoist-key: b\r\n"), "400", "malformed"),
        (request("oriolehoist-key: a\r\noriolehoist-deadline-ms: soon\r\n"), "400", "malformed"),
        (request("oriolehoist-key: a\r\noriolehoist-deadline-ms: 0\r\n"), "400", "malformed"),
        (request("oriolehoist-key: a\r\noriolehoist-class: gold\r\n"), "400", "malformed"),
        (request(&format!("oriolehoist-key: a\r\noriolehoist-tenant: {too_long}\r\n")), "413", "too-large"),
        ("GET /no-such-service/ HTTP/1.1\r\nhost: x\r\n\r\n".into(), "404", "unknown-service"),
        ("GET / HTTP/1.1\r\nhost: x\r\n\r\n".into(), "404", "unknown-service"),
        (
            format!("POST /mareas-live/ HTTP/1.1\r\nhost: x\r\noriolehoist-key: a\r\ncontent-length: 2000\r\n\r\n{}", "b".repeat(2000)),
            "413",
            "too-large",
        ),
        (
            "POST /mareas-live/ HTTP/1.1\r\nhost: x\r\noriolehoist-key: a\r\ncontent-length: 50\r\n\r\nslow".into(),
            "408",
            "slow-sender",
        ),
    ];
    for (bytes, status, kind) in cases {
        let response = send(daemon, bytes.as_bytes()).await?;
        let head: String = bytes.chars().take(120).collect();
        expect_that!(response, starts_with(format!("HTTP/1.1 {status}")), "{head}");
        expect_that!(
            response,
            contains_substring(format!("oriolehoist-refusal: {kind}")),
            "{head}"
        );
        expect_that!(response, contains_substring("oriolehoist-run-state: not-run"), "{head}");
    }
    let mut bytes =
        b"GET /mareas-live/ HTTP/1.1\r\nhost: x\r\noriolehoist-key: \xff\xfe\r\n\r\n".to_vec();
    expect_that!(send(daemon, &bytes).await?, contains_substring("oriolehoist-refusal: malformed"));
    bytes = b"\x00\x01 nonsense\r\n\r\n".to_vec();
    expect_that!(send(daemon, &bytes).await?, starts_with("HTTP/1.1 400"));
    expect_that!(is_serving(&cluster).await?, eq(true));
    expect_that!(cluster.journal.runs().len(), eq(1));
    cluster.clean_up();
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_peer_requests_are_rejected_and_change_nothing() -> eyre::Result<()> {
    let cluster = start().await?;
    let client = reqwest::Client::builder().no_proxy().build()?;
    let before = cluster.status(&cluster.daemons[0]).await?;
    let paths =
        ["hello", "heartbeat", "accept", "resign", "missing", "settings", "assignment", "suspect"];
    for path in paths {
        let url = format!("http://{}/{path}", cluster.daemons[0].advertised_address);
        for body in [vec![0xc1; 40], vec![], vec![0x81, 0xa1], vec![0; 3 << 20]] {
            let response = client.post(&url).body(body).send().await;
            // The connection may be closed while a body over the size limit is still being sent.
            let refused = response.as_ref().map_or(true, |r| r.status().is_client_error());
            let accepted = matches!(path, "hello" | "settings")
                && response.is_ok_and(|r| r.status().is_success());
            expect_that!(refused || accepted, eq(true), "{path}");
        }
    }
    let after = cluster.status(&cluster.daemons[0]).await?;
    expect_that!(after["services"][0]["term"], eq(&before["services"][0]["term"]));
    expect_that!(is_serving(&cluster).await?, eq(true));
    cluster.clean_up();
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unparsable_settings_leave_those_in_force_unchanged() -> eyre::Result<()> {
    let cluster = start().await?;
    let store =
        oriolehoist::platform::Store::new(cluster.operator_endpoints().0, cluster.store.address())?;
    let head = store.get("settings/head").await?.expect("the store has settings");
    let mut broken: Json = serde_json::from_str(&head.value)?;
    broken["version"] = Json::from(2);
    broken["text"] = Json::from("{ \"site\": 7 }");
    for value in [broken.to_string(), "no JSON at all".to_owned()] {
        let revision = store.get("settings/head").await?.expect("the store has settings").revision;
        store.compare_and_swap("settings/head", revision, value).await?;
        sleep(Duration::from_millis(500)).await;
        for daemon in &cluster.daemons {
            expect_that!(cluster.status(daemon).await?["settings"], eq(&Json::from(1)));
        }
    }
    expect_that!(is_serving(&cluster).await?, eq(true));
    cluster.clean_up();
    Ok(())
}

/// Guards against an entry of another writer that is put in force as the settings, because its key begins
/// like that of the settings.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_whose_key_begins_like_that_of_the_settings_is_not_put_in_force()
-> eyre::Result<()> {
    let cluster = start().await?;
    let store =
        oriolehoist::platform::Store::new(cluster.operator_endpoints().0, cluster.store.address())?;
    let head = store.get("settings/head").await?.expect("the store has settings");
    let mut other: Json = serde_json::from_str(&head.value)?;
    other["version"] = Json::from(2);
    store
        .compare_and_swap(
            "settings/head-old",
            oriolehoist::platform::Revision::ABSENT,
            other.to_string(),
        )
        .await?;
    sleep(Duration::from_millis(500)).await;
    for daemon in &cluster.daemons {
        expect_that!(cluster.status(daemon).await?["settings"], eq(&Json::from(1)));
    }
    expect_that!(is_serving(&cluster).await?, eq(true));
    cluster.clean_up();
    Ok(())
}
