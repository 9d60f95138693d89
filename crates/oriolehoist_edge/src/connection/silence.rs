use {
    crate::process::lock,
    oriolehoist_time::Millis,
    std::{collections::HashMap, net::SocketAddr, sync::Mutex},
    tokio::sync::watch,
};

/// Since when open connections to an address may be silent: they deliver nothing, but were not reset.
///
/// A call that times out on one connection says nothing about that connection alone. All others that
/// have received nothing since the call was sent may be as dead, also those on which a long poll
/// waits and nothing is expected for seconds.
#[derive(Debug, Default)]
pub(crate) struct SilenceTracker {
    silent_since: Mutex<HashMap<SocketAddr, watch::Sender<Option<Millis>>>>,
}

impl SilenceTracker {
    /// Records that a call to `address` that was sent at `sent_at` has timed out.
    pub(crate) fn on_timeout(&self, address: SocketAddr, sent_at: Millis) {
        self.sender(address).send_if_modified(|since| {
            let is_later = *since < Some(sent_at);
            *since = (*since).max(Some(sent_at));
            is_later
        });
    }

    /// Waits until a call to `address` has timed out that was sent at `received_at` or later. A
    /// connection that has received nothing since then may be silent.
    pub(crate) async fn suspected(&self, address: SocketAddr, received_at: Millis) {
        let mut since = self.sender(address).subscribe();
        // The senders are never dropped.
        let _ = since.wait_for(|since| *since >= Some(received_at)).await;
    }

    fn sender(&self, address: SocketAddr) -> watch::Sender<Option<Millis>> {
        lock(&self.silent_since).entry(address).or_default().clone()
    }
}
