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
        control::{
            cold_servers::{receive_cold, send_cold},
            permits::{receive_permit_answer, receive_permit_query},
            relayed_loads::{Received, receive_relayed, send_relayed},
        },
        process::Shared,
        request::observe_report,
        wire::{LoadMessage, encode_compact},
    },
    oriolehoist_admission::{GroupReport, RequestCounts},
    oriolehoist_fleet::MAX_DIRECT,
    oriolehoist_log::{Event, report},
    oriolehoist_time::Millis,
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
/// The maximum number of senders whose malformed messages are logged.
const MAX_REPORTED_SENDERS: usize = 64;
/// How long the counts of a peer are used, so that a few messages may be lost.
const PEER_LOAD_TTL: Millis = Millis(200);
/// The maximum size of a message, in bytes.
const MAX_DATAGRAM_BYTES: usize = 1400;
/// The maximum number of servers in a message. Few servers are busy enough to be included.
const MAX_SERVERS_PER_DATAGRAM: usize = 100;

/// The maximum number of servers with a rate limit in a message.
pub(super) const MAX_LIMITS_PER_DATAGRAM: usize = 20;
/// The time after which a daemon reports what it knows of the limits although it has sent nothing to
/// their servers since. A few such reports may be lost.
const LIMIT_REPORT_INTERVAL: Millis = Millis(200);

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
    tokio::spawn(send_cold(Arc::clone(&cx), Arc::clone(&socket), port));
    cx.permits.set_socket(Arc::clone(&socket), port);
    receive(cx, &socket, &exchange).await;
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
        let Ok(bytes) = encode_compact(&message) else { continue };
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
        if receive_permit_answer(&cx, from, &buf[..length]) {
            continue;
        }
        let Some(view) = cx.view.load() else { continue };
        if !view.peer_ips.contains(&from.ip()) {
            if is_news(&mut reported_strangers, from.ip()) {
                report(Event::PeerMalformed, format_args!("datagrams={from} error=\"no member\""));
            }
            continue;
        }
        let message = &buf[..length];
        if receive_permit_query(&cx, &view, socket, from, message)
            || receive_cold(&cx, &view, message)
            || receive_relayed(&cx, &view, exchange, from, message)
        {
            continue;
        }
        let mut message = match LoadMessage::decode(message) {
            Ok(message) => message,
            Err(error) => {
                if is_news(&mut reported_malformed, from.ip()) {
                    let text = format_args!("datagrams={from} error=\"{error}\"");
                    report(Event::PeerMalformed, text);
                }
                continue;
            }
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
