use {
    crate::{fault::pump::run_connection, lock::lock},
    oriolehoist_time::{Clock, Millis},
    rustix::net::sockopt::set_socket_linger,
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinHandle,
        time::sleep,
    },
};

/// A fault that an edge applies to the bytes that it forwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Drops all bytes in both directions. Connections stay open.
    DropAll,
    /// Drops all bytes of the connections that are open when the fault is added. Later connections
    /// work.
    StallOpenConnections,
    /// Drops requests and forwards responses.
    DropRequests,
    /// Forwards requests and drops responses.
    DropResponses,
    /// Forwards requests, and closes a connection as soon as a response arrives.
    CloseOnResponse,
    /// Like [`Fault::CloseOnResponse`], but only for responses to a compare-and-swap.
    CloseOnCasResponse,
    /// Closes a connection after this many bytes of responses.
    TruncateResponses(u64),
    /// Delays all bytes by this time.
    Delay(Millis),
    /// Resets open connections, and new ones right after they have been accepted.
    Reset,
    /// Resets new connections right after they have been accepted. Open ones work.
    ResetNewConnections,
}

/// The network edges between the processes of a test. An edge is a proxy in front of one process.
#[derive(Clone)]
pub struct Network {
    shared: Arc<Shared>,
}

pub(super) struct Shared {
    pub(super) clock: Clock,
    pub(super) bytes_forwarded: AtomicU64,
    rules: Mutex<Vec<Rule>>,
    edges: Mutex<HashMap<String, Edge>>,
}

#[derive(Clone, Debug)]
struct Rule {
    from: Option<IpAddr>,
    edge_name: String,
    fault: Fault,
    set_at: Millis,
}

struct Edge {
    listen: SocketAddr,
    target: SocketAddr,
    acceptor: Option<JoinHandle<()>>,
}

impl Network {
    /// Creates a network without edges.
    pub fn new(clock: Clock) -> Network {
        let shared = Shared {
            clock,
            bytes_forwarded: AtomicU64::new(0),
            rules: Mutex::default(),
            edges: Mutex::default(),
        };
        Network { shared: Arc::new(shared) }
    }

    /// Adds an edge that forwards connections from `listen` to `target`. Faults refer to it by its
    /// name.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn add_edge(
        &self,
        edge_name: &str,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> eyre::Result<()> {
        let acceptor = Some(self.spawn_acceptor(edge_name, listen, target).await?);
        lock(&self.shared.edges).insert(edge_name.into(), Edge { listen, target, acceptor });
        Ok(())
    }

    /// Makes an edge refuse new connections, as if nothing listened at its target, or accept them
    /// again.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound again.
    pub async fn set_listening(&self, edge_name: &str, listening: bool) -> eyre::Result<()> {
        let (listen, target, acceptor) = {
            let mut edges = lock(&self.shared.edges);
            let Some(edge) = edges.get_mut(edge_name) else { return Ok(()) };
            (edge.listen, edge.target, edge.acceptor.take())
        };
        let acceptor = match (listening, acceptor) {
            (true, None) => Some(self.spawn_acceptor(edge_name, listen, target).await?),
            (true, running) => running,
            (false, running) => {
                if let Some(task) = running {
                    task.abort();
                    let _ = task.await;
                }
                None
            }
        };
        if let Some(edge) = lock(&self.shared.edges).get_mut(edge_name) {
            edge.acceptor = acceptor;
        }
        Ok(())
    }

    /// Adds a fault for connections to an edge from one address, or from all addresses.
    pub fn add_fault(&self, from: Option<IpAddr>, edge_name: &str, fault: Fault) {
        let set_at = self.shared.clock.now();
        let rule = Rule { from, edge_name: edge_name.into(), fault, set_at };
        lock(&self.shared.rules).push(rule);
    }

    /// Removes the faults for connections to an edge that were added with the same `from`.
    pub fn clear_faults(&self, from: Option<IpAddr>, edge_name: &str) {
        lock(&self.shared.rules).retain(|rule| rule.from != from || rule.edge_name != edge_name);
    }

    /// Returns the number of bytes forwarded over all edges, in both directions.
    pub fn bytes_forwarded(&self) -> u64 {
        self.shared.bytes_forwarded.load(Ordering::Relaxed)
    }

    /// Removes all faults from all edges.
    pub fn clear_all_faults(&self) {
        lock(&self.shared.rules).clear();
    }

    async fn spawn_acceptor(
        &self,
        edge_name: &str,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> eyre::Result<JoinHandle<()>> {
        let listener = bind(listen).await?;
        let shared = Arc::clone(&self.shared);
        let edge_name: Arc<str> = edge_name.into();
        Ok(tokio::spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                let (shared, edge_name) = (Arc::clone(&shared), Arc::clone(&edge_name));
                match shared.has_fault(
                    from.ip(),
                    &edge_name,
                    &[Fault::Reset, Fault::ResetNewConnections],
                ) {
                    true => reset(&stream),
                    false => {
                        tokio::spawn(run_connection(shared, stream, from.ip(), edge_name, target));
                    }
                }
            }
        }))
    }
}

impl Shared {
    /// Returns whether one of these faults applies to the connections from an address.
    pub(super) fn has_fault(&self, from: IpAddr, edge_name: &str, faults: &[Fault]) -> bool {
        let applies =
            |rule: &Rule| rule.edge_name == edge_name && rule.from.is_none_or(|ip| ip == from);
        lock(&self.rules).iter().any(|rule| applies(rule) && faults.contains(&rule.fault))
    }

    /// Returns the faults that apply to a connection that was opened at `opened_at`.
    pub(super) fn faults(&self, from: IpAddr, edge_name: &str, opened_at: Millis) -> Vec<Fault> {
        let applies = |rule: &&Rule| {
            let matches = rule.edge_name == edge_name && rule.from.is_none_or(|ip| ip == from);
            matches && (rule.fault != Fault::StallOpenConnections || opened_at <= rule.set_at)
        };
        lock(&self.rules).iter().filter(applies).map(|rule| rule.fault).collect()
    }
}

/// Lets a connection be reset when it is dropped.
pub(super) fn reset(stream: &TcpStream) {
    // If this fails, the connection is closed normally instead.
    let _ = set_socket_linger(stream, Some(Duration::ZERO));
}

/// Binds a listener, with retries for up to 1 s because an earlier listener may not be closed yet.
async fn bind(listen: SocketAddr) -> eyre::Result<TcpListener> {
    let mut attempts = 0;
    loop {
        match TcpListener::bind(listen).await {
            Err(_) if attempts < 100 => {
                attempts += 1;
                sleep(Duration::from_millis(10)).await;
            }
            result => return Ok(result?),
        }
    }
}
