//! Exchange of what the daemons know of cold servers.
//!
//! Small fleets send to all daemons, large ones by way of relays. Releases up to 36b0849 drop these
//! messages with one log line for each sender.

use {
    crate::{
        process::{LoadPeers, Shared},
        version::View,
        wire::{ColdServer, ColdServers, encode_compact},
    },
    oriolehoist_admission::WarmUpReport,
    oriolehoist_fleet::MAX_DIRECT,
    oriolehoist_time::Millis,
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
    tokio::{net::UdpSocket, time::sleep},
};

/// The time between two messages in a small fleet.
const INTERVAL: Duration = Duration::from_millis(40);
/// The same in a large fleet, in which messages pass up to three hops.
const RELAYED_INTERVAL: Duration = Duration::from_millis(100);
/// The time after which a daemon repeats what it has reported. A few reports may be lost.
const REPEAT_INTERVAL: Millis = Millis(200);
/// The maximum number of servers in a message, which then has about 1,100 bytes.
const MAX_SERVERS_PER_DATAGRAM: usize = 25;
/// About the maximum number of messages that a daemon sends at a time, so that a relay of many daemons
/// uses at most a third of a link of 10 Mbit/s. The receivers take turns.
const MAX_DATAGRAMS: usize = 40;

/// What was last sent to a daemon about a server, and when.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Sent {
    at: Millis,
    event: u32,
}

/// Sends what this daemon knows of cold servers, until the process exits.
pub(super) async fn send_cold(cx: Arc<Shared>, socket: Arc<UdpSocket>, port: u16) {
    let mut sent: HashMap<(IpAddr, u32), Sent> = HashMap::new();
    let mut turn = 0;
    loop {
        let is_relayed = matches!(&*cx.load_peers(), LoadPeers::Relayed { .. });
        sleep(if is_relayed { RELAYED_INTERVAL } else { INTERVAL }).await;
        let Some(view) = cx.view.load() else { continue };
        let now = cx.clock.now();
        sent.retain(|_, sent| now.since(sent.at) < REPEAT_INTERVAL);
        let own = own_reports(&view, now);
        if own.is_empty() {
            continue;
        }
        let peers = cx.load_peers();
        let mut receivers: Vec<IpAddr> = match &*peers {
            LoadPeers::Relayed { up, down } => up.iter().chain(down).map(SocketAddr::ip).collect(),
            LoadPeers::All if view.peer_addresses.len() <= MAX_DIRECT => {
                view.peer_addresses.iter().map(SocketAddr::ip).collect()
            }
            LoadPeers::All => continue,
        };
        // Who gets nothing this time, since there is too much to send, is the first next time.
        let count = receivers.len().max(1);
        receivers.rotate_left(turn % count);
        let mut datagrams = 0;
        for to in receivers {
            if datagrams >= MAX_DATAGRAMS {
                break;
            }
            turn = (turn + 1) % count;
            let is_due = |(server, report): &&(u32, WarmUpReport)| {
                sent.get(&(to, *server)).is_none_or(|last| last.event != content(*report))
            };
            let due: Vec<(u32, WarmUpReport)> = own.iter().filter(is_due).copied().collect();
            for part in due.chunks(MAX_SERVERS_PER_DATAGRAM) {
                sent.extend(part.iter().map(|(server, report)| {
                    ((to, *server), Sent { at: now, event: content(*report) })
                }));
                send(&cx, &socket, now, SocketAddr::new(to, port), part).await;
                datagrams += 1;
            }
        }
    }
}

/// Returns what tells a report from one that is only later.
fn content(report: WarmUpReport) -> u32 {
    report.event ^ u32::from(report.remaining == Millis::ZERO)
}

fn own_reports(view: &View, now: Millis) -> Vec<(u32, WarmUpReport)> {
    let servers = view.backends_by_short_id.iter();
    let reports = servers.filter_map(|(server, backend)| {
        Some((*server, backend.availability().warm_up.report(now)?))
    });
    reports.collect()
}

async fn send(
    cx: &Shared,
    socket: &UdpSocket,
    now: Millis,
    to: SocketAddr,
    reports: &[(u32, WarmUpReport)],
) {
    let (run, sequence) = (cx.incarnation.0 as u32, now.0);
    let format = ColdServers::FORMAT.into();
    let servers = reports.iter().map(|(server, report)| ColdServer {
        server: *server,
        counts: None,
        daemons: 1,
        warm_up: Some(*report),
    });
    let message = ColdServers { format, run, sequence, servers: servers.collect() };
    if let Ok(bytes) = encode_compact(&message) {
        // A lost message is made up for by the next one.
        let _ = socket.send_to(&bytes, to).await;
    }
}

/// Handles a message about cold servers. Returns false, and does nothing, if it is none.
pub(super) fn receive_cold(cx: &Shared, view: &View, message: &[u8]) -> bool {
    let Some(message) = ColdServers::decode(message) else { return false };
    let now = cx.clock.now();
    for ColdServer { server, warm_up, .. } in message.servers {
        let backend = view.backends_by_short_id.get(&server);
        if let (Some(backend), Some(warm_up)) = (backend, warm_up) {
            backend.availability().warm_up.on_report(now, warm_up);
        }
    }
    true
}
