//! Exchange of what servers say between the daemons of a large fleet, by way of relays: their load,
//! and the requests to those that limit the rate of their requests.

use {
    crate::{
        control::load_gossip::MAX_LIMITS_PER_DATAGRAM,
        process::{LoadPeers, Shared, lock},
        request::observe_report,
        version::View,
        wire::{RelayedLimits, RelayedLoads, encode_compact},
    },
    oriolehoist_admission::{GroupReport, GroupReports},
    oriolehoist_fleet::{LoadExchange, LoadNews, Source},
    oriolehoist_time::Millis,
    std::{
        collections::{HashMap, HashSet},
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{net::UdpSocket, time::sleep},
};

/// The time between two messages in a large fleet.
const RELAYED_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of loads in a message of a large fleet.
const MAX_NEWS_PER_DATAGRAM: usize = 100;

/// What a relay has received, or any daemon of a large fleet.
#[derive(Default)]
pub(super) struct Received {
    loads: LoadExchange,
    /// The reports on limits, by server.
    limits: HashMap<u32, GroupReports<IpAddr>>,
}

/// Sends the loads that servers have reported to the relay or, as a relay, to the other relays and
/// to the children.
pub(super) async fn send_relayed(
    cx: Arc<Shared>,
    socket: Arc<UdpSocket>,
    port: u16,
    received: Arc<Mutex<Received>>,
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
            let mut received = lock(&received);
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
                let format = RelayedLoads::FORMAT.into();
                let message = RelayedLoads { format, news: part.to_vec(), reserved: 0 };
                let Ok(bytes) = encode_compact(&message) else { continue };
                for peer in receivers {
                    // A lost message is made up for by the next report.
                    let _ = socket.send_to(&bytes, SocketAddr::new(peer.ip(), port)).await;
                }
            }
        }
        let in_group = |from: &IpAddr| down.iter().any(|child| child.ip() == *from);
        for peer in up {
            send_limits(&socket, *peer, port, total_limits(now, &view, &received, in_group)).await;
        }
        for child in down {
            let others = |from: &IpAddr| *from != child.ip();
            send_limits(&socket, *child, port, total_limits(now, &view, &received, others)).await;
        }
    }
}

/// Returns what to tell a daemon of servers with a limit: the total of this daemon's reports and of those
/// of the senders that `includes` accepts.
fn total_limits(
    now: Millis,
    view: &View,
    received: &Mutex<Received>,
    includes: impl Fn(&IpAddr) -> bool,
) -> Vec<(u32, GroupReport)> {
    let received = lock(received);
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
    let message = RelayedLimits { format: RelayedLimits::FORMAT.into(), limits };
    if let Ok(bytes) = encode_compact(&message) {
        // A lost message is made up for by the next one.
        let _ = socket.send_to(&bytes, SocketAddr::new(to.ip(), port)).await;
    }
}

fn receive_limits(
    cx: &Shared,
    view: &View,
    received: &Mutex<Received>,
    from: SocketAddr,
    message: RelayedLimits,
) {
    let now = cx.clock.now();
    for (server, group) in message.limits {
        let Some(backend) = view.backends_by_short_id.get(&server) else { continue };
        lock(received).limits.entry(server).or_default().record(now, from.ip(), group);
        observe_report(cx, backend, from, group);
    }
    lock(received).limits.retain(|server, _| view.backends_by_short_id.contains_key(server));
}

/// Handles a message of a large fleet. Returns false, and does nothing, if it is none.
pub(super) fn receive_relayed(
    cx: &Shared,
    view: &View,
    received: &Mutex<Received>,
    from: SocketAddr,
    message: &[u8],
) -> bool {
    if let Some(limits) = RelayedLimits::decode(message) {
        receive_limits(cx, view, received, from, limits);
        return true;
    }
    if let Some(loads) = RelayedLoads::decode(message) {
        receive_loads(cx, view, received, from, loads);
        return true;
    }
    false
}

fn receive_loads(
    cx: &Shared,
    view: &View,
    received: &Mutex<Received>,
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
    let mut received = lock(received);
    for news in message.news {
        if received.loads.learn(now, source, news)
            && let Some(backend) = view.backends_by_short_id.get(&news.server)
        {
            let reported_at = now.since(Millis(u64::from(news.age)));
            backend.load_estimator().on_shared_report(reported_at, u32::from(news.load));
        }
    }
}
