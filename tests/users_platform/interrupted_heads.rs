//! Tests of servers that stop within the head of a response, and close or reset the connection.

use {
    crate::load::*,
    googletest::prelude::*,
    oriolehoist_testkit::{fault::Fault, users_platform::*},
    reqwest::Method,
    std::{path::Path, time::Duration},
    tokio::time::sleep,
};

/// The index of the scripted server, which is the only one that the routes of `plain` lead to.
const SERVER: u8 = 50;

/// A kind of response whose head is cut.
#[derive(Clone, Copy, Debug)]
struct Framing {
    status: u16,
    header: &'static str,
    body: &'static str,
    line_end: &'static str,
    /// Whether an interim response precedes it.
    has_interim: bool,
}

const FRAMINGS: [Framing; 6] = [
    Framing::new(200, "content-length: 1234", "never sent"),
    Framing::new(200, "transfer-encoding: chunked", "5\r\nwhole\r\n0\r\n\r\n"),
    Framing::new(200, "connection: close", "ends with the connection"),
    Framing::new(204, "x-more: 1", ""),
    Framing { line_end: "\n", ..Framing::new(200, "content-length: 5", "whole") },
    Framing { has_interim: true, ..Framing::new(200, "content-length: 5", "whole") },
];

impl Framing {
    const fn new(status: u16, header: &'static str, body: &'static str) -> Framing {
        Framing { status, header, body, line_end: "\r\n", has_interim: false }
    }

    /// Returns the head of the response, and what precedes it.
    fn head(&self, id: &str) -> String {
        let Framing { status, header, line_end, has_interim, .. } = self;
        let interim = if *has_interim { "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n" } else { "" };
        let lines = [
            &format!("HTTP/1.1 {status} Status"),
            &format!("x-request-id: {id}"),
            "x-response-signature: sig",
            "server-limit: 1000",
            header,
            "",
        ];
        let text: String = lines.iter().map(|line| format!("{line}{line_end}")).collect();
        format!("{interim}{text}")
    }
}

/// Returns the reply to a request for `/p/FRAMING/OFFSET/END`: the first bytes of the head.
fn reply(call: &ScriptedCall) -> ScriptedReply {
    let mut parts = call.path.split('/').skip(2).map(|part| part.parse::<usize>().unwrap_or(0));
    let mut next = || parts.next().unwrap_or(0);
    let (framing, offset) = (FRAMINGS[next() % FRAMINGS.len()], next());
    let end = if next() == 0 { ScriptedEnd::Close } else { ScriptedEnd::Reset };
    let head = framing.head(call.id.as_deref().unwrap_or_default());
    let bytes = head.as_bytes()[..offset.min(head.len() - 1)].to_vec();
    ScriptedReply { bytes, end, ..ScriptedReply::default() }
}

/// Sends requests whose responses stop at each byte of the head.
async fn check_heads(daemon: &Daemon, methods: &[Method], every: usize) -> eyre::Result<()> {
    let client = Client::new(HOST, "head")?;
    let mut count = 0;
    for (index, framing) in FRAMINGS.iter().enumerate() {
        for offset in (0..framing.head("head-1000").len()).step_by(every) {
            for (end, method) in [0, 1].into_iter().zip(methods.iter().cycle()) {
                let path = format!("/p/{index}/{offset}/{end}");
                let method = method.clone();
                let response =
                    client.send(daemon.caller_address, method, &path, None, DEADLINE).await;
                // The server may have run the request, unless it was not sent there.
                expect_that!(
                    response.status,
                    some(any![eq(502), eq(503), eq(504)]),
                    "{framing:?} stops at {offset}, end {end}: {response:?}"
                );
                count += 1;
            }
        }
    }
    println!("{count} interrupted heads");
    Ok(())
}

/// Guards against a response that stops within its head and reaches the caller as a complete one.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_stops_within_its_head_does_not_look_complete() -> eyre::Result<()> {
    let deployment = deployment(1, 1, 0).await?;
    let server = deployment.add_scripted_server(SERVER, "plain", reply).await?;
    sleep(SECOND).await;
    check_heads(&deployment.daemons[0], &[Method::GET, Method::HEAD], 3).await?;
    drop(server);
    clean_up(deployment);
    Ok(())
}

/// Guards against the same by way of another daemon.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_stops_within_its_head_does_not_look_complete_after_a_hand_over()
-> eyre::Result<()> {
    let program = Path::new(env!("CARGO_BIN_EXE_oriolehoist"));
    let deployment = Deployment::start_behind_proxies(program, 2, 2, 0, DRAIN_PERIOD).await?;
    let (server, edge) =
        deployment.add_scripted_server_behind_proxy(SERVER, "plain", reply).await?;
    let cut = (assigner_index(&deployment) + 1) % 2;
    let ip = deployment.daemons[cut].peer_address.ip();
    for edge in [server_edge(0), server_edge(1), edge] {
        deployment.network.add_fault(Some(ip), &edge, Fault::Reset);
    }
    // Requests through the daemon let it know that it is cut off.
    let load = Load::start(vec![deployment.daemons[cut].caller_address], "learn")?;
    sleep(SECOND).await;
    load.finish().await;
    check_heads(&deployment.daemons[cut], &[Method::GET, Method::HEAD], 9).await?;
    let metrics = deployment.daemons[cut].metrics().await?;
    let handled = metrics.lines().find(|line| line.contains("handovers_total{end=\"handled\"}"));
    expect_that!(handled, some(anything()), "{metrics}");
    drop(server);
    clean_up(deployment);
    Ok(())
}

/// How long a daemon may refuse requests because a server was slow.
const PATIENCE: Duration = Duration::from_secs(1);
/// The time until the end of a body that ends with the connection.
const BODY_DELAY: Duration = Duration::from_millis(20);

/// Guards against responses that end with the connection and are refused although they are complete.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_complete_response_of_each_framing_reaches_the_caller() -> eyre::Result<()> {
    let deployment = deployment(1, 1, 0).await?;
    let script = |call: &ScriptedCall| {
        let framing =
            FRAMINGS[call.path.rsplit('/').next().and_then(|i| i.parse().ok()).unwrap_or(0)];
        let framing = match framing.header {
            "content-length: 1234" => Framing::new(200, "content-length: 5", "whole"),
            _ => framing,
        };
        let before = framing.head(call.id.as_deref().unwrap_or_default()).into_bytes();
        let bytes = framing.body.as_bytes().to_vec();
        ScriptedReply {
            before,
            delay: BODY_DELAY,
            bytes,
            end: ScriptedEnd::Close,
            ..ScriptedReply::default()
        }
    };
    let server = deployment.add_scripted_server(SERVER, "plain", script).await?;
    sleep(SECOND).await;
    let client = Client::new(HOST, "whole")?;
    for (index, framing) in FRAMINGS.iter().enumerate() {
        let path = format!("/p/{index}");
        let daemon = deployment.daemons[0].caller_address;
        let response = send_until_run(&client, daemon, &path, PATIENCE).await;
        expect_that!(response.status, some(eq(framing.status)), "{framing:?}: {response:?}");
    }
    drop(server);
    clean_up(deployment);
    Ok(())
}
