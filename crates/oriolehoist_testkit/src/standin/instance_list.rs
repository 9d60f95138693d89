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

/// A fake of the platform's instance list. Changes become visible to its clients after a delay.
#[derive(Clone)]
pub struct InstanceListServer {
    state: Arc<InstanceListState>,
    address: SocketAddr,
}

struct InstanceListState {
    clock: Clock,
    delay: Millis,
    history: Mutex<Vec<Snapshot>>,
}

#[derive(Clone)]
struct Snapshot {
    set_at: Millis,
    instances: Vec<Instance>,
}

impl InstanceListServer {
    /// Starts a server at an address. Changes become visible after `delay`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(
        clock: Clock,
        address: SocketAddr,
        delay: Millis,
    ) -> eyre::Result<InstanceListServer> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(InstanceListState { clock, delay, history: Mutex::default() });
        let router =
            Router::new().route("/v1/instances", get(get_instances)).with_state(Arc::clone(&state));
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(InstanceListServer { state, address })
    }

    /// Returns the address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the list.
    pub fn set(&self, instances: Vec<Instance>) {
        let set_at = self.state.clock.now();
        self.state.lock().push(Snapshot { set_at, instances });
    }

    /// Changes one instance's state.
    pub fn set_state(&self, name: &InstanceName, state: InstanceState) {
        let mut instances = self.current();
        for instance in instances.iter_mut().filter(|i| i.name == *name) {
            instance.state = state;
        }
        self.set(instances);
    }

    /// Adds an instance, and replaces one with the same name.
    pub fn add(&self, instance: Instance) {
        let mut instances = self.current();
        instances.retain(|i| i.name != instance.name);
        instances.push(instance);
        self.set(instances);
    }

    /// Removes an instance.
    pub fn remove(&self, name: &InstanceName) {
        let mut instances = self.current();
        instances.retain(|i| i.name != *name);
        self.set(instances);
    }

    /// Returns the current list, without the delay.
    pub fn current(&self) -> Vec<Instance> {
        self.state.lock().last().map(|s| s.instances.clone()).unwrap_or_default()
    }
}

impl InstanceListState {
    fn lock(&self) -> MutexGuard<'_, Vec<Snapshot>> {
        self.history.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

async fn get_instances(State(state): State<Arc<InstanceListState>>) -> Json<Vec<Instance>> {
    let visible_at = state.clock.now().since(state.delay);
    let history = state.lock();
    // The first list is visible immediately, so that a site can start.
    let snapshot = history.iter().rev().find(|s| s.set_at <= visible_at).or(history.first());
    Json(snapshot.map(|s| s.instances.clone()).unwrap_or_default())
}
