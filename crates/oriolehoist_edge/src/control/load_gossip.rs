//! Exchange of in-flight request counts between daemons, for busy servers.
//!
//! The same messages carry what the daemons know of servers that limit the rate of their requests,
//! and how many requests they have sent them.
//!
//! Many daemons share servers with few slots. The load that a server reports reaches only the
//! daemon that receives the response, and is outdated by the next request.
//!
//! In a large fleet each daemon has too few requests in flight for their numbers to say much, and
//! messages from all to all would take up its machine. There, the daemons tell each other by way of
//! relays what load the servers have reported.

use {
    crate::{
        process::{LoadPeers, Shared, lock},
        request::observe_report,
        version::View,
    },
    oriolehoist_admission::{GroupReport, GroupReports, RateReport, RequestCounts},
    oriolehoist_fleet::{LoadExchange, LoadNews, MAX_DIRECT, Source},
    oriolehoist_log::{Event, report},
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{net::UdpSocket, time::sleep},
};

/// The time between two messages.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(40);
/// The time between two messages in a large fleet.
const RELAYED_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of loads in a message of a large fleet.
const MAX_NEWS_PER_DATAGRAM: usize = 100;
/// The maximum number of senders whose malformed messages are logged.
const MAX_REPORTED_SENDERS: usize = 64;
/// How long the counts of a peer are used, so that a few messages may be lost.
const PEER_LOAD_TTL: Millis = Millis(200);
/// The maximum size of a message, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1400;
/// The maximum number of servers in a message. Few servers are busy enough to be included.
const MAX_SERVERS_PER_DATAGRAM: usize = 100;

/// The maximum number of servers with a rate limit in a message.
const MAX_LIMITS_PER_DATAGRAM: usize = 20;
/// The time after which a daemon reports what it knows of the limits although it has sent nothing to
/// their servers since. A few such reports may be lost.
const LIMIT_REPORT_INTERVAL: Millis = Millis(200);

/// What a daemon tells the others, by the short ids of the servers.
#[derive(Debug, Default, Serialize, Deserialize)]
struct LoadMessage {
    /// The sender's in-flight requests at each server where requests may have to queue.
    in_flight: BTreeMap<u32, u32>,
    /// The servers that limit the rate of their requests.
    limits: BTreeMap<u32, RateReport>,
}

/// What a daemon of a large fleet tells others. It has another form than [`LoadMessage`], so that each
/// is malformed to who expects the other one.
#[derive(Debug, Default, Serialize, Deserialize)]
struct RelayedLoads {
    /// Tells the message from others.
    format: SmolStr,
    news: Vec<LoadNews>,
    reserved: u8,
}

/// The format of [`RelayedLoads`].
const RELAYED_FORMAT: &str = "loads-1";

/// What a daemon of a large fleet tells others of servers that limit the rate of their requests.
#[derive(Debug, Serialize, Deserialize)]
struct RelayedLimits {
    /// Tells the message from others.
    format: SmolStr,
    limits: Vec<(u32, GroupReport)>,
}

/// The format of [`RelayedLimits`].
const RELAYED_LIMITS_FORMAT: &str = "limits-1";

/// What a relay has received, or any daemon of a large fleet.
#[derive(Default)]
struct Received {
    loads: LoadExchange,
    /// The reports on limits, by server.
    limits: HashMap<u32, GroupReports<IpAddr>>,
}

impl LoadMessage {
    fn is_empty(&self) -> bool {
        self.in_flight.is_empty() && self.limits.is_empty()
    }
}

/// Sends and receives messages until the process exits.
pub(super) async fn run_load_gossip(cx: Arc<Shared>) {
    let Some(address) = cx.bootstrap.datagram_address else { return };
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            // Without the socket, only the load reported by the servers is used.
            report(Event::ListenerLost, format_args!("datagrams={address} error=\"{error}\""));
            return;
        }
    };
    let exchange: Arc<Mutex<Received>> = Arc::default();
    tokio::spawn(send(Arc::clone(&cx), Arc::clone(&socket), address.port()));
    let port = address.port();
    tokio::spawn(send_relayed(Arc::clone(&cx), Arc::clone(&socket), port, Arc::clone(&exchange)));
    receive(cx, &socket, &exchange).await;
}

/// Sends the loads that servers have reported to the relay or, as a relay, to the other relays and
/// to the children.
async fn send_relayed(
    cx: Arc<Shared>,
    socket: Arc<UdpSocket>,
    port: u16,
    exchange: Arc<Mutex<Received>>,
) {
    let mut sent_at = cx.clock.now();
    // The servers whose last load was notable, so that the end of that is told as well.
    let mut notable: HashSet<u32> = HashSet::new();
    loop {
        sleep(RELAYED_INTERVAL).await;
        let peers = cx.load_peers();
        let LoadPeers::Relayed { up, down } = &*peers else { continue };
        let Some(view) = cx.view.load() else { continue };
        let now = cx.clock.now();
        let (upwards, downwards) = {
            let mut received = lock(&exchange);
            let exchange = &mut received.loads;
            exchange.expire(now);
            for (server, backend) in &view.backends_by_short_id {
                let (report, is_notable) = {
                    let estimator = backend.load_estimator();
                    let Some(report) = estimator.own_report() else { continue };
                    (report, estimator.is_notable(report.1))
                };
                let was_notable = match is_notable {
                    true => !notable.insert(*server),
                    false => notable.remove(server),
                };
                if report.0 > sent_at && (is_notable || was_notable) {
                    let age = now.since(report.0).0 as u16;
                    let load = u16::try_from(report.1).unwrap_or(u16::MAX);
                    let news = LoadNews { server: *server, load, age };
                    exchange.learn(now, Source::Below, news);
                }
            }
            let downwards = match down.is_empty() {
                true => Vec::new(),
                false => exchange.news(now, sent_at, false),
            };
            (exchange.news(now, sent_at, true), downwards)
        };
        sent_at = now;
        for (news, receivers) in [(upwards, up), (downwards, down)] {
            for part in news.chunks(MAX_NEWS_PER_DATAGRAM) {
                let format = RELAYED_FORMAT.into();
                let message = RelayedLoads { format, news: part.to_vec(), reserved: 0 };
                let Ok(bytes) = rmp_serde::to_vec(&message) else { continue };
                for peer in receivers {
                    // A lost message is made up for by the next report.
                    let _ = socket.send_to(&bytes, SocketAddr::new(peer.ip(), port)).await;
                }
            }
        }
        let in_group = |from: &IpAddr| down.iter().any(|child| child.ip() == *from);
        for peer in up {
            send_limits(&socket, *peer, port, total_limits(now, &view, &exchange, in_group)).await;
        }
        for child in down {
            let others = |from: &IpAddr| *from != child.ip();
            send_limits(&socket, *child, port, total_limits(now, &view, &exchange, others)).await;
        }
    }
}

/// Returns what to tell a daemon of servers with a limit: the total of this daemon's reports and of those
/// of the senders that `includes` accepts.
fn total_limits(
    now: Millis,
    view: &View,
    exchange: &Mutex<Received>,
    includes: impl Fn(&IpAddr) -> bool,
) -> Vec<(u32, GroupReport)> {
    let received = lock(exchange);
    let own = view.backends_by_short_id.iter().filter_map(|(server, backend)| {
        Some((*server, backend.availability().rate_limit.report(now)?))
    });
    let none = GroupReports::default();
    let totals = own.filter_map(|(server, report)| {
        let reports = received.limits.get(&server).unwrap_or(&none);
        Some((server, reports.total(now, Some(report), &includes)?))
    });
    totals.take(MAX_LIMITS_PER_DATAGRAM).collect()
}

async fn send_limits(
    socket: &UdpSocket,
    to: SocketAddr,
    port: u16,
    limits: Vec<(u32, GroupReport)>,
) {
    if limits.is_empty() {
        return;
    }
    let message = RelayedLimits { format: RELAYED_LIMITS_FORMAT.into(), limits };
    if let Ok(bytes) = rmp_serde::to_vec(&message) {
        // A lost message is made up for by the next one.
        let _ = socket.send_to(&bytes, SocketAddr::new(to.ip(), port)).await;
    }
}

fn receive_limits(
    cx: &Shared,
    view: &View,
    exchange: &Mutex<Received>,
    from: SocketAddr,
    message: RelayedLimits,
) {
    let now = cx.clock.now();
    for (server, group) in message.limits {
        let Some(backend) = view.backends_by_short_id.get(&server) else { continue };
        lock(exchange).limits.entry(server).or_default().record(now, from.ip(), group);
        observe_report(cx, backend, from, group);
    }
    lock(exchange).limits.retain(|server, _| view.backends_by_short_id.contains_key(server));
}

fn receive_relayed(
    cx: &Shared,
    view: &View,
    exchange: &Mutex<Received>,
    from: SocketAddr,
    message: RelayedLoads,
) {
    let now = cx.clock.now();
    let source = match &*cx.load_peers() {
        LoadPeers::Relayed { down, .. } if down.iter().any(|peer| peer.ip() == from.ip()) => {
            Source::Below
        }
        _ => Source::Above,
    };
    let mut received = lock(exchange);
    for news in message.news {
        if received.loads.learn(now, source, news)
            && let Some(backend) = view.backends_by_short_id.get(&news.server)
        {
            let reported_at = now.since(Millis(u64::from(news.age)));
            backend.load_estimator().on_shared_report(reported_at, u32::from(news.load));
        }
    }
}

async fn send(cx: Arc<Shared>, socket: Arc<UdpSocket>, port: u16) {
    let mut sent_last_time = false;
    let mut reported: BTreeMap<u32, (Millis, RequestCounts)> = BTreeMap::new();
    loop {
        sleep(GOSSIP_INTERVAL).await;
        let Some(view) = cx.view.load() else { continue };
        let now = cx.clock.now();
        if view.peer_addresses.len() > MAX_DIRECT {
            continue;
        }
        let counts = view.backends.values().filter_map(|backend| {
            Some((backend.short_id, backend.load_estimator().in_flight_if_busy(now)?))
        });
        let limits = view.backends.values().filter_map(|backend| {
            let report = backend.availability().rate_limit.report(now)?;
            let is_due = reported.get(&backend.short_id).is_none_or(|(at, counts)| {
                now.since(*at) >= LIMIT_REPORT_INTERVAL || *counts != report.counts
            });
            is_due.then_some((backend.short_id, report))
        });
        let message = LoadMessage {
            in_flight: counts.take(MAX_SERVERS_PER_DATAGRAM).collect(),
            limits: limits.take(MAX_LIMITS_PER_DATAGRAM).collect(),
        };
        reported.retain(|server, _| view.backends_by_short_id.contains_key(server));
        let sent = message.limits.iter().map(|(server, report)| (*server, (now, report.counts)));
        reported.extend(sent);
        let empty = message.is_empty();
        if empty && !sent_last_time {
            continue;
        }
        sent_last_time = !empty;
        let Ok(bytes) = rmp_serde::to_vec(&message) else { continue };
        for peer in &view.peer_addresses {
            // A lost message is made up for by the next one.
            let _ = socket.send_to(&bytes, SocketAddr::new(peer.ip(), port)).await;
        }
    }
}

/// Returns whether nothing has been reported of this sender yet.
fn is_news(reported: &mut HashSet<IpAddr>, sender: IpAddr) -> bool {
    reported.len() < MAX_REPORTED_SENDERS && reported.insert(sender)
}

async fn receive(cx: Arc<Shared>, socket: &UdpSocket, exchange: &Mutex<Received>) {
    let mut peers: HashMap<SocketAddr, (Millis, LoadMessage)> = HashMap::new();
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    let mut reported_strangers: HashSet<IpAddr> = HashSet::new();
    let mut reported_malformed: HashSet<IpAddr> = HashSet::new();
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buf).await else {
            sleep(GOSSIP_INTERVAL).await;
            continue;
        };
        let Some(view) = cx.view.load() else { continue };
        if !view.peer_ips.contains(&from.ip()) {
            if is_news(&mut reported_strangers, from.ip()) {
                report(Event::PeerMalformed, format_args!("datagrams={from} error=\"no member\""));
            }
            continue;
        }
        let message = &buf[..length];
        if let Ok(limits) = rmp_serde::from_slice::<RelayedLimits>(message)
            && limits.format == RELAYED_LIMITS_FORMAT
        {
            receive_limits(&cx, &view, exchange, from, limits);
            continue;
        }
        let mut message = match rmp_serde::from_slice::<RelayedLoads>(message) {
            Ok(message) if message.format == RELAYED_FORMAT => {
                receive_relayed(&cx, &view, exchange, from, message);
                continue;
            }
            _ => match rmp_serde::from_slice::<LoadMessage>(message) {
                Ok(message) => message,
                Err(error) => {
                    if is_news(&mut reported_malformed, from.ip()) {
                        let text = format_args!("datagrams={from} error=\"{error}\"");
                        report(Event::PeerMalformed, text);
                    }
                    continue;
                }
            },
        };
        let now = cx.clock.now();
        let limits = std::mem::take(&mut message.limits);
        let previous = peers.insert(from, (now, message));
        peers.retain(|_, (received_at, _)| now.since(*received_at) < PEER_LOAD_TTL);
        for (short_id, rate) in limits {
            if let Some(backend) = view.backends_by_short_id.get(&short_id) {
                observe_report(&cx, backend, from, GroupReport { report: rate, daemons: 1 });
            }
        }
        let mentioned = previous
            .iter()
            .chain(peers.get(&from))
            .flat_map(|(_, message)| message.in_flight.keys());
        for short_id in mentioned {
            let total =
                peers.values().filter_map(|(_, message)| message.in_flight.get(short_id)).sum();
            if let Some(backend) = view.backends_by_short_id.get(short_id) {
                backend.load_estimator().on_peer_load(now, total);
            }
        }
    }
}
