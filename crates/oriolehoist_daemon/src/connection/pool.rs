use {
    arc_swap::ArcSwap,
    reqwest::Client,
    std::{net::IpAddr, sync::Arc, time::Duration},
};

/// How long a connection may lie idle and still be used. A new one costs about a millisecond, so
/// an idle one that may have gone silent is not worth the risk.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// The longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The open connections to one other process, as a series of generations.
///
/// Connections can go silent for good while new ones work. One request that got no answer is
/// reason enough to give up every connection that is open, and start a new generation.
#[derive(Debug)]
pub(crate) struct Pool {
    current: ArcSwap<Generation>,
    max_idle: usize,
    source: IpAddr,
}

#[derive(Debug)]
struct Generation {
    number: u64,
    client: Client,
}

/// A client with the generation that it belongs to.
#[derive(Clone, Debug)]
pub(crate) struct PooledClient {
    pub(crate) client: Client,
    pub(crate) generation: u64,
}

impl Pool {
    /// Creates a pool that connects from `source` and keeps at most `max_idle` idle connections.
    pub(crate) fn new(source: IpAddr, max_idle: usize) -> Pool {
        let first = Generation { number: 1, client: build(source, max_idle) };
        Pool { current: ArcSwap::from_pointee(first), max_idle, source }
    }

    /// Returns the client of the present generation.
    pub(crate) fn client(&self) -> PooledClient {
        let current = self.current.load();
        PooledClient { client: current.client.clone(), generation: current.number }
    }

    /// Gives up the connections of `generation`, unless that has been done. Returns whether it
    /// was done now.
    pub(crate) fn retire(&self, generation: u64) -> bool {
        let current = self.current.load();
        if current.number != generation {
            return false;
        }
        let next = Generation { number: generation + 1, client: build(self.source, self.max_idle) };
        let previous = self.current.compare_and_swap(&current, Arc::new(next));
        previous.number == generation
    }
}

fn build(source: IpAddr, max_idle: usize) -> Client {
    Client::builder()
        .local_address(Some(source).filter(|source| !source.is_unspecified()))
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .build()
        .unwrap_or_else(|error| unreachable!("a client without TLS can be built: {error}"))
}
