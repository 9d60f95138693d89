//! Asks another daemon for its list of servers, before this daemon reads a stale one from the store.

use {
    crate::{
        control::{message::SyncMessage, peers::fetch_cluster_state},
        process::{LoadPeers, Shared},
    },
    oriolehoist_time::Millis,
    std::{net::SocketAddr, time::Duration},
    tokio::time::timeout,
};

/// The time between two queries.
const QUERY_INTERVAL: Millis = Millis(2000);
/// The same while this daemon's calls to the store fail or those of one other daemon, until it has
/// learned whether the store is away for all.
const FAILING_QUERY_INTERVAL: Millis = Millis(300);
/// The maximum wait for the response to a query. The store is read after that, and the list has to be
/// known before a server's drain period ends.
const QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// Returns the daemon to ask now, if any: a relay, or another daemon or a seed if none is known. None
/// is asked while the store is away for all, because their lists are as old.
/// `reads_fail` is whether this daemon's reads of the servers have failed.
pub(super) fn peer_to_ask(
    cx: &Shared,
    reads_fail: bool,
    asked_at: &mut Option<Millis>,
) -> Option<SocketAddr> {
    let now = cx.clock.now();
    let interval = match reads_fail || cx.is_store_failing() || cx.is_store_suspected() {
        true => FAILING_QUERY_INTERVAL,
        false => QUERY_INTERVAL,
    };
    if asked_at.is_some_and(|at| now.since(at) < interval) || cx.is_store_away() {
        return None;
    }
    let relays = match &*cx.load_peers() {
        LoadPeers::Relayed { up, .. } => up.clone(),
        LoadPeers::All => Vec::new(),
    };
    let others = cx.view.load().map(|view| view.peer_addresses.clone()).unwrap_or_default();
    let seeds = cx.bootstrap.seed_addresses.clone();
    let is_other = |peer: &SocketAddr| *peer != cx.bootstrap.peer_address;
    let sources = [relays, others, seeds];
    let known = sources.iter().map(|peers| peers.iter().copied().filter(is_other));
    let peers = known.map(Iterator::collect::<Vec<_>>).find(|peers| !peers.is_empty())?;
    *asked_at = Some(now);
    fastrand::choice(peers)
}

/// Returns what a daemon knows, if it responds soon.
pub(super) async fn query_peer(cx: &Shared, peer: SocketAddr) -> Option<SyncMessage> {
    timeout(QUERY_TIMEOUT, fetch_cluster_state(cx, peer)).await.ok()?
}
