use {
    axum::{Json, Router, extract::State, routing::get},
    oriolehoist_platform::{Instance, InstanceState},
    oriolehoist_protocol::InstanceName,
    oriolehoist_time::{Clock, Millis},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
    },
    tokio::net::TcpListener,
};

/// A stand-in for the platform's list of instances, which lags behind what is set here.
#[derive(Clone)]
pub struct InstanceListServer {
    state: Arc<InstanceListState>,
    address: SocketAddr,
}

struct InstanceListState {
    clock: Clock,
    lag: Millis,
    history: Mutex<Vec<Snapshot>>,
}

#[derive(Clone)]
struct Snapshot {
    at: Millis,
    instances: Vec<Instance>,
}

impl InstanceListServer {
    /// Starts the stand-in at an address. What is set shows after `lag`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be listened at.
    pub async fn start(
        clock: Clock,
        address: SocketAddr,
        lag: Millis,
    ) -> eyre::Result<InstanceListServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(InstanceListState { clock, lag, history: Mutex::default() });
        let router = Router::new().route("/v1/instances", get(list)).with_state(Arc::clone(&state));
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(InstanceListServer { state, address })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the whole list.
    pub fn set(&self, instances: Vec<Instance>) {
        let at = self.state.clock.now();
        self.state.lock().push(Snapshot { at, instances });
    }

    /// Changes one instance's state.
    pub fn set_state(&self, name: &InstanceName, state: InstanceState) {
        let mut instances = self.present();
        for instance in instances.iter_mut().filter(|i| i.name == *name) {
            instance.state = state;
        }
        self.set(instances);
    }

    /// Adds an instance, in place of one of the same name.
    pub fn add(&self, instance: Instance) {
        let mut instances = self.present();
        instances.retain(|i| i.name != instance.name);
        instances.push(instance);
        self.set(instances);
    }

    /// Returns the list without the lag.
    pub fn present(&self) -> Vec<Instance> {
        self.state.lock().last().map(|s| s.instances.clone()).unwrap_or_default()
    }
}

impl InstanceListState {
    fn lock(&self) -> MutexGuard<'_, Vec<Snapshot>> {
        self.history.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

async fn list(State(state): State<Arc<InstanceListState>>) -> Json<Vec<Instance>> {
    let shown = state.clock.now().since(state.lag);
    let history = state.lock();
    // The first list shows at once, so that a site can start.
    let snapshot = history.iter().rev().find(|s| s.at <= shown).or(history.first());
    Json(snapshot.map(|s| s.instances.clone()).unwrap_or_default())
}
