//! Tests of entries in the store that another writer left there, and of numbers in the headers of servers.

use {
    crate::load::*, googletest::prelude::*, oriolehoist_testkit::users_platform::*,
    reqwest::Method, std::time::Duration, tokio::time::sleep,
};

/// Returns the entry of a server with these fields in place of the usual ones.
fn entry(replaced: &[(&str, &str)]) -> Vec<u8> {
    let usual = [
        ("service", r#""plain""#),
        ("address", r#""127.0.0.1:1""#),
        ("zone", r#""north""#),
        ("version", r#""v1""#),
        ("slots", "6"),
        ("state", r#""ready""#),
        ("warmup_left_ms", "0"),
        ("seq", "1"),
        ("born", "1700000000000"),
    ];
    let value = |name: &str, usual: &str| {
        let replaced = replaced.iter().find(|(other, _)| *other == name);
        replaced.map_or(usual.to_owned(), |(_, value)| (*value).to_owned())
    };
    let added = replaced.iter().filter(|(name, _)| !usual.iter().any(|(other, _)| other == name));
    let fields = usual.iter().map(|(name, usual)| (*name, value(name, usual)));
    let fields = fields.chain(added.map(|(name, value)| (*name, (*value).to_owned())));
    let fields: Vec<String> = fields.map(|(name, value)| format!("\"{name}\":{value}")).collect();
    format!("{{{}}}", fields.join(",")).into_bytes()
}

fn nested(depth: usize) -> String {
    format!("{}{}", "[".repeat(depth), "]".repeat(depth))
}

/// Returns entries that name no server to use.
fn unusable_entries() -> Vec<Vec<u8>> {
    let objects = format!("{}1{}", "{\"a\":".repeat(20_000), "}".repeat(20_000));
    vec![
        nested(200).into_bytes(),
        nested(200_000).into_bytes(),
        "[".repeat(400_000).into_bytes(),
        objects.clone().into_bytes(),
        entry(&[("warmup_left_ms", &nested(100_000))]),
        entry(&[("service", &nested(100_000))]),
        entry(&[("state", &objects)]),
        entry(&[("slots", "4294967296")]),
        entry(&[("slots", "1e400")]),
        entry(&[("slots", &"9".repeat(100_000))]),
        entry(&[("slots", "-1")]),
        entry(&[("slots", "6.5")]),
        entry(&[("born", "18446744073709551616")]),
        entry(&[("born", "1e300")]),
        entry(&[("born", "-1")]),
        entry(&[("born", "null")]),
        entry(&[("address", r#""127.0.0.1:65536""#)]),
        entry(&[("address", r#""127.0.0.1:99999999999999999999""#)]),
        entry(&[("address", r#""127.0.0.1:-1""#)]),
        entry(&[("address", r#""127.0.0.1""#)]),
        entry(&[("address", r#""server:80""#)]),
        entry(&[("address", "80")]),
        br#"{"service":"plain","service":"plain","address":"127.0.0.1:1","zone":"north","slots":1,
            "state":"ready","born":1}"#
            .to_vec(),
        b"\xff\xfe{}".to_vec(),
        entry(&[("zone", "\"\u{0}\"")]),
        entry(&[("zone", r#""\ud800""#)]),
        Vec::new(),
    ]
}

/// Returns entries of servers that nobody reaches, with values at the ends of their ranges.
fn extreme_entries() -> Vec<Vec<u8>> {
    let deep = nested(100_000);
    vec![
        entry(&[("more", &deep)]),
        entry(&[("slots", "4294967295")]),
        entry(&[("slots", "4294967295"), ("address", r#""127.0.0.1:2""#)]),
        entry(&[("slots", "0")]),
        entry(&[("born", "18446744073709551615")]),
        entry(&[("seq", "1e999")]),
        entry(&[("seq", "18446744073709551616")]),
        entry(&[("warmup_left_ms", "18446744073709551615")]),
        entry(&[("warmup_left_ms", "1e308")]),
        entry(&[("warmup_left_ms", "-1e308")]),
        entry(&[("address", r#""127.0.0.1:0""#)]),
        entry(&[("address", r#""0.0.0.0:0""#)]),
        entry(&[("address", r#""255.255.255.255:65535""#)]),
        entry(&[("address", r#""[::1]:80""#)]),
        entry(&[("zone", r#""""#), ("service", r#""""#)]),
    ]
}

/// Checks that all daemons are the processes that were started, and that they follow the list of servers:
/// one that joins gets requests, and one that drains gets none.
async fn check_list_is_followed(deployment: &mut Deployment, joins: u8) -> eyre::Result<()> {
    for daemon in &deployment.daemons {
        expect_that!(daemon.peak_memory(), some(gt(0)), "the daemon runs");
    }
    deployment.add_server(joins, "plain").await?;
    let leaving = deployment.servers[2].clone();
    deployment.register(&leaving, "plain", "draining");
    sleep(DRAIN_PERIOD + SECOND).await;
    let requests_before = deployment.executed_requests().len();
    let client = Client::new(HOST, &format!("after-{joins}"))?;
    for index in 0..200 {
        let daemon = deployment.daemons[index % 2].caller_address;
        client.send(daemon, Method::GET, "/p/a", None, DEADLINE).await;
    }
    let runs = deployment.executed_requests().split_off(requests_before);
    let count = |id: &str| runs.iter().filter(|run| run.server == id).count();
    expect_that!(count(&format!("i-{joins}")), gt(0));
    expect_that!(count(&leaving.id), eq(0));
    Ok(())
}

/// Guards against a daemon that ends, or stops following the list of servers, because of an entry that
/// can't be read.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_cannot_be_read_stops_no_daemon_and_is_logged() -> eyre::Result<()> {
    let mut deployment = deployment(2, 2, 2).await?;
    let load = Load::start(caller_addresses(&deployment), "unusable")?;
    let entries = unusable_entries();
    for (index, value) in entries.iter().enumerate() {
        deployment.store.put(&format!("servers/odd-{index}"), value);
        sleep(Duration::from_millis(50)).await;
    }
    // A daemon that starts reads them as well.
    deployment.daemons[0].kill();
    deployment.daemons[0].start()?;
    deployment.daemons[0].wait_until_ready(SECOND * 12).await?;
    check_list_is_followed(&mut deployment, 60).await?;
    finish_and_check(&deployment, load, 0.9).await;
    let logs: String = deployment.daemons.iter().map(Daemon::log).collect();
    for (index, value) in entries.iter().enumerate() {
        let line = format!("ServerMalformed: key=servers/odd-{index} ");
        let start = String::from_utf8_lossy(&value[..value.len().min(200)]).into_owned();
        expect_that!(logs.contains(&line), eq(true), "{start}");
    }
    expect_that!(logs.contains("panicked"), eq(false));
    clean_up(deployment);
    Ok(())
}

/// Guards against a daemon that ends, or loses the others, because of an entry in their list or of an
/// evacuated zone that can't be used.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_of_daemons_and_zones_stop_no_daemon() -> eyre::Result<()> {
    let mut deployment = deployment(2, 2, 2).await?;
    let load = Load::start(caller_addresses(&deployment), "members")?;
    let member = |incarnation: &str, address: &str| {
        format!(
            r#"{{"instance":"odd","incarnation":{incarnation},"address":"{address}","more":[]}}"#
        )
    };
    let members = [
        nested(200_000),
        "[".repeat(400_000),
        member("18446744073709551615", "127.0.0.1:1"),
        member("18446744073709551616", "127.0.0.1:1"),
        member("1e999", "127.0.0.1:1"),
        member("1", "127.0.0.1:65536"),
        member("1", "127.0.0.1:0"),
        member(&nested(100_000), "127.0.0.1:1"),
        member("1", "127.0.0.1:1").replace("[]", &nested(100_000)),
        "\u{0}".to_owned(),
    ];
    for (index, value) in members.iter().enumerate() {
        deployment.store.put(&format!("oriolehoist/members/odd-{index}"), value.as_bytes());
        deployment.store.put(&format!("op/evacuate/odd-{index}"), value.as_bytes());
        sleep(Duration::from_millis(100)).await;
    }
    for zone in ["", "a/b", "\u{7f}", &"z".repeat(180)] {
        deployment.store.put(&format!("op/evacuate/{zone}"), b"\xff");
    }
    check_list_is_followed(&mut deployment, 60).await?;
    finish_and_check(&deployment, load, 0.9).await;
    let logs: String = deployment.daemons.iter().map(Daemon::log).collect();
    expect_that!(logs.contains("panicked"), eq(false));
    expect_that!(logs.contains("key=oriolehoist/members/odd-0"), eq(true));
    clean_up(deployment);
    Ok(())
}

/// Guards against arithmetic with the largest numbers that an entry can hold.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_with_extreme_numbers_stops_no_daemon() -> eyre::Result<()> {
    let mut deployment = deployment(2, 2, 2).await?;
    let entries = extreme_entries();
    for service in ["plain", "keyed"] {
        for (index, value) in entries.iter().enumerate() {
            let value =
                String::from_utf8_lossy(value).replace("\"plain\"", &format!("\"{service}\""));
            deployment.store.put(&format!("servers/{service}-{index}"), value.as_bytes());
            sleep(Duration::from_millis(100)).await;
        }
    }
    let client = Client::new(HOST, "extreme")?;
    for key in 0..100 {
        for daemon in &deployment.daemons {
            let address = daemon.caller_address;
            client.send(address, Method::GET, "/p/a", None, DEADLINE / 5).await;
            client.send(address, Method::GET, "/k/a", Some(key * 600), DEADLINE / 5).await;
        }
    }
    for service in ["plain", "keyed"] {
        for index in 0..entries.len() {
            deployment.store.remove(&format!("servers/{service}-{index}"));
        }
    }
    sleep(SECOND * 4).await;
    check_list_is_followed(&mut deployment, 60).await?;
    let load = Load::start(caller_addresses(&deployment), "later")?;
    sleep(SECOND).await;
    finish_and_check(&deployment, load, 0.99).await;
    let logs: String = deployment.daemons.iter().map(Daemon::log).collect();
    expect_that!(logs.contains("panicked"), eq(false));
    clean_up(deployment);
    Ok(())
}

/// Guards against arithmetic with numbers in the headers of servers.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn extreme_numbers_in_headers_keep_no_request_from_being_served() -> eyre::Result<()> {
    const SERVER: u8 = 50;
    let headers: [(&str, &str); 14] = [
        ("x-server-load", "4294967295,4294967295,4294967295"),
        ("x-server-load", "4294967295,1,0,65535"),
        ("x-server-load", "99999999999999999999,0,6"),
        ("keep-alive", "timeout=18446744073709551615"),
        ("keep-alive", "timeout=18446744073709551616"),
        ("keep-alive", "timeout=-1"),
        ("keep-alive", "timeout=0"),
        ("server-limit", "1e308"),
        ("server-limit", "1e999"),
        ("retry-after", "1e308"),
        ("retry-after", "18446744073709551616"),
        ("x-warmup-ms", "1e308"),
        ("x-warmup-ms", "18446744073709551615"),
        ("server-leaving", "18446744073709551616"),
    ];
    let deployment = deployment(1, 1, 0).await?;
    let script = move |call: &ScriptedCall| {
        let id = call.id.clone().unwrap_or_default();
        let index: usize = call.path.rsplit('/').next().and_then(|i| i.parse().ok()).unwrap_or(0);
        let body = format!("raw {id} whole");
        let headers =
            [("x-request-id", id.as_str()), ("x-response-signature", "sig"), headers[index]];
        ScriptedReply { bytes: raw_response(200, &headers, &body), ..ScriptedReply::default() }
    };
    let server = deployment.add_scripted_server(SERVER, "plain", script).await?;
    sleep(SECOND).await;
    let client = Client::new(HOST, "numbers")?;
    let daemon = &deployment.daemons[0];
    for (index, header) in headers.iter().enumerate() {
        for _ in 0..4 {
            let path = format!("/p/{index}");
            let response = send_until_run(&client, daemon.caller_address, &path, SECOND).await;
            expect_that!(response.is_served(), eq(true), "{header:?}: {response:?}");
        }
        // What the server said of its load is replaced by what it says next.
        client.send(daemon.caller_address, Method::GET, "/p/6", None, DEADLINE).await;
        sleep(Duration::from_millis(300)).await;
    }
    expect_that!(daemon.log().contains("panicked"), eq(false));
    drop(server);
    clean_up(deployment);
    Ok(())
}
