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

/// Time between two readiness checks of a daemon.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of one readiness check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// A fake of the platform's load balancer, which sends callers to the daemons that report ready.
pub struct Balancer {
    ready: Arc<Mutex<Vec<SocketAddr>>>,
    next_index: AtomicUsize,
    checker: JoinHandle<()>,
}

impl Balancer {
    /// Starts checking the daemons. All count as ready until the first check has ended.
    pub fn start(daemons: Vec<SocketAddr>) -> Balancer {
        let ready = Arc::new(Mutex::new(daemons.clone()));
        let checker = tokio::spawn(poll_readiness(daemons, Arc::clone(&ready)));
        Balancer { ready, next_index: AtomicUsize::new(0), checker }
    }

    /// Returns the next ready daemon in round-robin order, or `None` if no daemon is ready.
    pub fn next_daemon(&self) -> Option<SocketAddr> {
        let ready = self.ready.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let index = self.next_index.fetch_add(1, Ordering::Relaxed);
        ready.get(index % ready.len().max(1)).copied()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.checker.abort();
    }
}

async fn poll_readiness(daemons: Vec<SocketAddr>, ready: Arc<Mutex<Vec<SocketAddr>>>) {
    let Ok(client) = Client::builder().no_proxy().timeout(CHECK_TIMEOUT).build() else { return };
    loop {
        let checks = daemons.iter().map(|daemon| {
            let check_request = client.get(format!("http://{daemon}/ready")).send();
            async move { check_request.await.is_ok_and(|response| response.status().is_success()) }
        });
        let checks = futures::future::join_all(checks).await;
        let ready_daemons = daemons.iter().zip(checks).filter(|(_, ready)| *ready).map(|(d, _)| *d);
        *ready.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = ready_daemons.collect();
        sleep(CHECK_INTERVAL).await;
    }
}
