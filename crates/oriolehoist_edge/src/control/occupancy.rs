//! Daemons tell each other how many requests they have at busy servers.
//!
//! Answers servers with few slots that many daemons share: what a server says of its queue reaches
//! one daemon with one answer, and is old when the next request comes.

use {
    crate::process::Shared,
    oriolehoist_log::{Event, report},
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tokio::{net::UdpSocket, time::sleep},
};

/// Time between two messages.
const INTERVAL: Duration = Duration::from_millis(40);
/// What a peer said is forgotten after this time, in which some messages may be lost.
const FORGET_AFTER: Millis = Millis(200);
/// The largest message, in bytes.
const MAX_BYTES: usize = 1400;
/// The greatest number of servers in a message; those that matter are few.
const MAX_SERVERS: usize = 100;

/// How many requests the sender has at each server where requests may have to wait.
#[derive(Debug, Serialize, Deserialize)]
struct Message(BTreeMap<u32, u32>);

/// Sends and receives until the process ends.
pub(super) async fn exchange(cx: Arc<Shared>) {
    let Some(address) = cx.boot.datagram_address else { return };
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            // Without it the servers' own figures are what remains.
            report(Event::ListenerLost, format_args!("datagrams={address} error=\"{error}\""));
            return;
        }
    };
    tokio::spawn(send(Arc::clone(&cx), Arc::clone(&socket), address.port()));
    receive(cx, &socket).await;
}

async fn send(cx: Arc<Shared>, socket: Arc<UdpSocket>, port: u16) {
    let mut told = false;
    loop {
        sleep(INTERVAL).await;
        let Some(view) = cx.view.load() else { continue };
        let now = cx.clock.now();
        let requests = view
            .backends
            .values()
            .filter_map(|backend| Some((backend.number, backend.gauge().in_flight_if_busy(now)?)));
        let message = Message(requests.take(MAX_SERVERS).collect());
        let empty = message.0.is_empty();
        if empty && !told {
            continue;
        }
        told = !empty;
        let Ok(bytes) = rmp_serde::to_vec(&message) else { continue };
        for peer in &view.peers {
            // A message that is lost is followed by the next.
            let _ = socket.send_to(&bytes, SocketAddr::new(peer.ip(), port)).await;
        }
    }
}

async fn receive(cx: Arc<Shared>, socket: &UdpSocket) {
    let mut peers: HashMap<SocketAddr, (Millis, Message)> = HashMap::new();
    let mut buf = [0; MAX_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buf).await else {
            sleep(INTERVAL).await;
            continue;
        };
        let Ok(message) = rmp_serde::from_slice::<Message>(&buf[..length]) else { continue };
        let now = cx.clock.now();
        let before = peers.insert(from, (now, message));
        peers.retain(|_, (at, _)| now.since(*at) < FORGET_AFTER);
        let Some(view) = cx.view.load() else { continue };
        let mentioned = before.iter().chain(peers.get(&from)).flat_map(|(_, said)| said.0.keys());
        for number in mentioned {
            let total = peers.values().filter_map(|(_, said)| said.0.get(number)).sum();
            if let Some(backend) = view.numbers.get(number) {
                backend.gauge().on_peer_load(now, total);
            }
        }
    }
}
