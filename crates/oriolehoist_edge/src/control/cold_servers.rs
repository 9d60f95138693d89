//! Exchange of what the daemons know of cold servers, and of the requests to them.
//!
//! Small fleets send to all daemons, large ones by way of relays. Releases up to 36b0849 drop these
//! messages with one log line for each sender.

use {
    crate::{
        process::{LoadPeers, Shared, lock},
        version::View,
        wire::{ColdServer, ColdServers, encode_compact},
    },
    oriolehoist_admission::{
        GroupReport, GroupReports, RateReport, ReportLateness, ReportOrder, RequestCounts,
        WarmUpReport,
    },
    oriolehoist_fleet::MAX_DIRECT,
    oriolehoist_time::Millis,
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
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
/// The time after which a daemon sends an empty message, so that the receivers know how long messages
/// usually take before a server is cold.
const IDLE_INTERVAL: Millis = Millis(1000);
/// The maximum number of servers in a message, which then has about 1,100 bytes.
const MAX_SERVERS_PER_DATAGRAM: usize = 25;
/// About the maximum number of messages that a daemon sends at a time, so that a relay of many daemons
/// uses at most a third of a link of 10 Mbit/s. The receivers take turns.
const MAX_DATAGRAMS: usize = 40;

/// What a daemon has received about cold servers.
#[derive(Default)]
pub(super) struct ReceivedCold {
    order: ReportOrder<IpAddr>,
    lateness: ReportLateness<IpAddr>,
    counts: HashMap<u32, GroupReports<IpAddr>>,
}

/// What was last sent to a daemon about a server, and when.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Sent {
    at: Millis,
    counts: Option<RequestCounts>,
    event: Option<u32>,
}

/// Sends what this daemon knows of cold servers, until the process exits.
pub(super) async fn send_cold(
    cx: Arc<Shared>,
    socket: Arc<UdpSocket>,
    port: u16,
    received: Arc<Mutex<ReceivedCold>>,
) {
    let mut sent: HashMap<(IpAddr, u32), Sent> = HashMap::new();
    let mut last_message: HashMap<IpAddr, Millis> = HashMap::new();
    let mut turn = 0;
    loop {
        let is_relayed = matches!(&*cx.load_peers(), LoadPeers::Relayed { .. });
        sleep(if is_relayed { RELAYED_INTERVAL } else { INTERVAL }).await;
        let Some(view) = cx.view.load() else { continue };
        let now = cx.clock.now();
        sent.retain(|_, sent| now.since(sent.at) < REPEAT_INTERVAL);
        let own = own_reports(&view, now);
        let peers = cx.load_peers();
        let (up, down) = match &*peers {
            LoadPeers::Relayed { up, down } => (up.as_slice(), down.as_slice()),
            LoadPeers::All if view.peer_addresses.len() <= MAX_DIRECT => {
                (view.peer_addresses.as_slice(), [].as_slice())
            }
            LoadPeers::All => continue,
        };
        let is_child = |from: &IpAddr| down.iter().any(|child| child.ip() == *from);
        let mut receivers: Vec<(IpAddr, bool)> = up.iter().map(|peer| (peer.ip(), true)).collect();
        receivers.extend(down.iter().map(|child| (child.ip(), false)));
        last_message.retain(|to, _| view.peer_ips.contains(to));
        // Who gets nothing this time, since there is too much to send, is the first next time.
        let count = receivers.len().max(1);
        receivers.rotate_left(turn % count);
        let mut datagrams = 0;
        for (to, is_up) in receivers {
            if datagrams >= MAX_DATAGRAMS {
                break;
            }
            turn = (turn + 1) % count;
            let includes = |from: &IpAddr| if is_up { is_child(from) } else { *from != to };
            let mut due = totals(&received, now, &own, includes);
            due.retain(|report| {
                let last = sent.get(&(to, report.server));
                last.is_none_or(|last| Sent::of(report, last.at) != *last)
            });
            let last = last_message.get(&to).copied().unwrap_or_default();
            if due.is_empty() && now.since(last) >= IDLE_INTERVAL {
                last_message.insert(to, now);
                send(&cx, &socket, now, SocketAddr::new(to, port), &[]).await;
                datagrams += 1;
            }
            for part in due.chunks(MAX_SERVERS_PER_DATAGRAM) {
                last_message.insert(to, now);
                sent.extend(part.iter().map(|report| ((to, report.server), Sent::of(report, now))));
                send(&cx, &socket, now, SocketAddr::new(to, port), part).await;
                datagrams += 1;
            }
        }
    }
}

impl Sent {
    fn of(report: &ColdServer, at: Millis) -> Sent {
        Sent { at, counts: report.counts, event: report.warm_up.map(content) }
    }
}

/// Returns what tells a report from one that is only later.
fn content(report: WarmUpReport) -> u32 {
    report.event ^ u32::from(report.remaining == Millis::ZERO)
}

fn own_reports(view: &View, now: Millis) -> Vec<ColdServer> {
    let reports = view.backends_by_short_id.iter().filter_map(|(server, backend)| {
        let availability = backend.availability();
        let counts = availability.rate_limit.cold_counts();
        let warm_up = availability.warm_up.report(now);
        (counts.is_some() || warm_up.is_some()).then_some(ColdServer {
            server: *server,
            counts,
            daemons: 1,
            warm_up,
        })
    });
    reports.collect()
}

/// Returns this daemon's reports, with the requests of the senders that `includes` accepts.
fn totals(
    received: &Mutex<ReceivedCold>,
    now: Millis,
    own: &[ColdServer],
    includes: impl Fn(&IpAddr) -> bool,
) -> Vec<ColdServer> {
    let received = lock(received);
    let with_others = |report: &ColdServer| {
        let own = report.counts.map(|counts| RateReport { limit: None, age: Millis::ZERO, counts });
        let others = received.counts.get(&report.server);
        let total =
            others.filter(|_| own.is_some()).and_then(|others| others.total(now, own, &includes));
        match total {
            Some(total) => ColdServer {
                counts: Some(total.report.counts),
                daemons: total.daemons,
                ..report.clone()
            },
            None => report.clone(),
        }
    };
    own.iter().map(with_others).collect()
}

async fn send(
    cx: &Shared,
    socket: &UdpSocket,
    now: Millis,
    to: SocketAddr,
    servers: &[ColdServer],
) {
    let (run, sequence) = (cx.incarnation.0 as u32, now.0);
    let format = ColdServers::FORMAT.into();
    let message = ColdServers { format, run, sequence, servers: servers.to_vec() };
    if let Ok(bytes) = encode_compact(&message) {
        // A lost message is made up for by the next one.
        let _ = socket.send_to(&bytes, to).await;
    }
}

/// Handles a message about cold servers. Returns false, and does nothing, if it is none.
pub(super) fn receive_cold(
    cx: &Shared,
    view: &View,
    received: &Mutex<ReceivedCold>,
    from: SocketAddr,
    message: &[u8],
) -> bool {
    let Some(message) = ColdServers::decode(message) else { return false };
    let now = cx.clock.now();
    let mut received = lock(received);
    let is_in_order = received.order.accept(from.ip(), message.run, message.sequence);
    let sent_at = Millis(message.sequence);
    let late = received.lateness.measure(now, from.ip(), message.run, sent_at);
    for ColdServer { server, counts, daemons, warm_up } in message.servers {
        let Some(backend) = view.backends_by_short_id.get(&server) else { continue };
        if let Some(warm_up) = warm_up {
            backend.availability().warm_up.on_report(now, warm_up);
        }
        if let Some(counts) = counts.filter(|_| is_in_order) {
            let report = RateReport { limit: None, age: Millis::ZERO, counts };
            let group = GroupReport { report, daemons };
            received.counts.entry(server).or_default().record(now, from.ip(), group);
            let rate_limit = &mut backend.availability().rate_limit;
            rate_limit.on_late_counts(now, from, counts, daemons, late);
        }
    }
    received.counts.retain(|server, _| view.backends_by_short_id.contains_key(server));
    received.order.retain(|from| view.peer_ips.contains(from));
    received.lateness.retain(|from| view.peer_ips.contains(from));
    true
}
