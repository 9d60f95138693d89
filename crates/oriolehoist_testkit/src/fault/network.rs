use {
    crate::{fault::pump::run_connection, lock::lock},
    oriolehoist_time::{Clock, Millis},
    std::{
        collections::HashMap,
        net::{IpAddr, SocketAddr},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpListener, task::JoinHandle, time::sleep},
};

/// What an edge does to the bytes that pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing passes, in either direction; connections stay open.
    Cut,
    /// Connections that are open now go silent for good; new ones work.
    SilenceOpen,
    /// Requests are swallowed, answers pass.
    SwallowRequests,
    /// Requests pass, answers are swallowed.
    SwallowAnswers,
    /// Requests pass; a connection is closed when its answer comes.
    LoseAnswers,
    /// As before, but only the answers to a compare-and-swap.
    LoseWriteAnswers,
    /// A connection is closed after so many bytes of answers.
    CutAnswersAfter(u64),
    /// Everything comes later by so much.
    Delay(Millis),
}

/// The edges between the processes of a test.
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
    to: String,
    fault: Fault,
    since: Millis,
}

struct Edge {
    listen: SocketAddr,
    target: SocketAddr,
    accepting: Option<JoinHandle<()>>,
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

    /// Adds an edge: connections to `listen` go on to `target`, under the name `to` in faults.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened at.
    pub async fn add_edge(
        &self,
        to: &str,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> eyre::Result<()> {
        let accepting = Some(self.accept(to, listen, target).await?);
        lock(&self.shared.edges).insert(to.into(), Edge { listen, target, accepting });
        Ok(())
    }

    /// Makes an edge refuse new connections, as when nothing listens behind it, or take them again.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened at again.
    pub async fn set_listening(&self, to: &str, listening: bool) -> eyre::Result<()> {
        let (listen, target, accepting) = {
            let mut edges = lock(&self.shared.edges);
            let Some(edge) = edges.get_mut(to) else { return Ok(()) };
            (edge.listen, edge.target, edge.accepting.take())
        };
        let accepting = match (listening, accepting) {
            (true, None) => Some(self.accept(to, listen, target).await?),
            (true, present) => present,
            (false, present) => {
                if let Some(task) = present {
                    task.abort();
                    let _ = task.await;
                }
                None
            }
        };
        if let Some(edge) = lock(&self.shared.edges).get_mut(to) {
            edge.accepting = accepting;
        }
        Ok(())
    }

    /// Sets a fault on what goes from an address, or from everywhere, to an edge.
    pub fn set(&self, from: Option<IpAddr>, to: &str, fault: Fault) {
        let since = self.shared.clock.now();
        let rule = Rule { from, to: to.into(), fault, since };
        lock(&self.shared.rules).push(rule);
    }

    /// Ends the faults on what goes from an address, or from everywhere, to an edge.
    pub fn heal(&self, from: Option<IpAddr>, to: &str) {
        lock(&self.shared.rules).retain(|rule| rule.from != from || rule.to != to);
    }

    /// Returns how many bytes have passed over all edges, both ways.
    pub fn bytes_forwarded(&self) -> u64 {
        self.shared.bytes_forwarded.load(Ordering::Relaxed)
    }

    /// Ends every fault.
    pub fn heal_all(&self) {
        lock(&self.shared.rules).clear();
    }

    async fn accept(
        &self,
        to: &str,
        listen: SocketAddr,
        target: SocketAddr,
    ) -> eyre::Result<JoinHandle<()>> {
        let listener = bind(listen).await?;
        let shared = Arc::clone(&self.shared);
        let to: Arc<str> = to.into();
        Ok(tokio::spawn(async move {
            while let Ok((stream, from)) = listener.accept().await {
                let (shared, to) = (Arc::clone(&shared), Arc::clone(&to));
                tokio::spawn(run_connection(shared, stream, from.ip(), to, target));
            }
        }))
    }
}

impl Shared {
    /// Returns the faults that hold for a connection opened at `opened`.
    pub(super) fn faults(&self, from: IpAddr, to: &str, opened: Millis) -> Vec<Fault> {
        let holds = |rule: &&Rule| {
            let concerns = rule.to == to && rule.from.is_none_or(|ip| ip == from);
            concerns && (rule.fault != Fault::SilenceOpen || opened <= rule.since)
        };
        lock(&self.rules).iter().filter(holds).map(|rule| rule.fault).collect()
    }
}

/// Listens, waiting a little for an earlier listener to close.
async fn bind(listen: SocketAddr) -> eyre::Result<TcpListener> {
    let mut tries = 0;
    loop {
        match TcpListener::bind(listen).await {
            Err(_) if tries < 100 => {
                tries += 1;
                sleep(Duration::from_millis(10)).await;
            }
            result => return Ok(result?),
        }
    }
}
