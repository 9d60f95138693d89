use {
    arc_swap::ArcSwap,
    reqwest::Client,
    std::{net::IpAddr, sync::Arc, time::Duration},
};

/// How long a connection may be idle and still be reused. A new connection costs about a
/// millisecond, which is less than the risk that an idle one has silently stopped working.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The connections to one other process, replaced one generation at a time.
///
/// Open connections can stop delivering data without an error while new ones work. A single
/// request without a response therefore discards every open connection and starts a new
/// generation.
#[derive(Debug)]
pub(crate) struct Pool {
    current: ArcSwap<Generation>,
    max_idle: usize,
    source: IpAddr,
}

/// A numbered HTTP client with connections of its own.
#[derive(Debug)]
struct Generation {
    number: u64,
    client: Client,
}

/// A client and the number of its generation, as [`Pool::retire`] takes it.
#[derive(Clone, Debug)]
pub(crate) struct PooledClient {
    pub(crate) client: Client,
    pub(crate) generation: u64,
}

impl Pool {
    /// Creates a pool that connects from `source` and keeps at most `max_idle` idle connections.
    pub(crate) fn new(source: IpAddr, max_idle: usize) -> Pool {
        let first = Generation { number: 1, client: build_client(source, max_idle) };
        Pool { current: ArcSwap::from_pointee(first), max_idle, source }
    }

    /// Returns the client of the current generation.
    pub(crate) fn client(&self) -> PooledClient {
        let current = self.current.load();
        PooledClient { client: current.client.clone(), generation: current.number }
    }

    /// Discards the connections of `generation`. Returns whether this call did so: `false` means
    /// that the generation had already been replaced.
    pub(crate) fn retire(&self, generation: u64) -> bool {
        let current = self.current.load();
        if current.number != generation {
            return false;
        }
        let next =
            Generation { number: generation + 1, client: build_client(self.source, self.max_idle) };
        let previous = self.current.compare_and_swap(&current, Arc::new(next));
        previous.number == generation
    }
}

fn build_client(source: IpAddr, max_idle: usize) -> Client {
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
