use {
    reqwest::Client,
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{task::JoinHandle, time::sleep},
};

/// Time between looks at whether a daemon is ready.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The longest wait for a daemon's word.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// A stand-in for the platform's balancer: it sends callers to daemons that say they are ready.
pub struct Balancer {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    turn: AtomicUsize,
    checking: JoinHandle<()>,
}

impl Balancer {
    /// Starts to watch daemons. All count as ready until the first look.
    pub fn start(daemons: Vec<SocketAddr>) -> Balancer {
        let ready = Arc::new(Mutex::new(daemons.clone()));
        let checking = tokio::spawn(check(daemons, Arc::clone(&ready)));
        Balancer { ready, turn: AtomicUsize::new(0), checking }
    }

    /// Returns the daemon whose turn it is, if any is ready.
    pub fn next(&self) -> Option<SocketAddr> {
        let ready = self.ready.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        ready.get(turn % ready.len().max(1)).copied()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.checking.abort();
    }
}

async fn check(daemons: Vec<SocketAddr>, ready: Arc<Mutex<Vec<SocketAddr>>>) {
    let Ok(client) = Client::builder().no_proxy().timeout(CHECK_TIMEOUT).build() else { return };
    loop {
        let looks = daemons.iter().map(|daemon| {
            let look = client.get(format!("http://{daemon}/ready")).send();
            async move { look.await.is_ok_and(|answer| answer.status().is_success()) }
        });
        let looks = futures::future::join_all(looks).await;
        let found = daemons.iter().zip(looks).filter(|(_, ready)| *ready).map(|(d, _)| *d);
        *ready.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = found.collect();
        sleep(CHECK_INTERVAL).await;
    }
}
