use {
    crate::{
        connection::{CallerListener, CallerSocket},
        control::{Control, Stop, spawn_tasks},
        listener::{operators_router, peers_router},
        process::{DaemonContext, Event, keys::read_keys, reach::probe_lost_paths, report},
        request::callers_router,
    },
    axum::Router,
    eyre::WrapErr,
    kameo::{Actor, actor::ActorRef},
    oriolehoist_platform::{InstanceList, Store},
    oriolehoist_protocol::{Incarnation, Witness, build_name},
    oriolehoist_settings::InstanceFile,
    oriolehoist_time::Clock,
    std::{
        future::Future,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        thread,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        runtime::{Builder, Handle, Runtime},
        sync::{oneshot, watch},
        time::{sleep, timeout},
    },
};

/// How long a stopping daemon still accepts requests after it has turned unready, so that the load
/// balancer can take it out of rotation.
const UNREADY_GRACE_PERIOD: Duration = Duration::from_millis(2000);
/// How long a stopping daemon waits for the requests in flight.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_secs(120);
/// Number of threads that serve callers.
const TRAFFIC_THREADS: usize = 2;

/// A daemon, with its lifecycle state as a type parameter: [`Configured`] or [`Running`].
pub struct Daemon<S> {
    state: S,
}

/// State of a daemon that has its configuration and has not been started.
pub struct Configured {
    file: InstanceFile,
}

/// State of a daemon that serves requests. Dropping it stops the daemon without waiting for
/// requests in flight.
pub struct Running {
    cx: Arc<DaemonContext>,
    control: ActorRef<Control>,
    /// Set to `true` to make the listeners stop accepting connections.
    close_listeners: watch::Sender<bool>,
    /// Resolve when every request of callers and of other daemons has ended.
    requests_done: Vec<oneshot::Receiver<()>>,
    /// Ends the control thread when dropped.
    end_control: Option<oneshot::Sender<()>>,
    control_thread: Option<thread::JoinHandle<()>>,
    /// The runtime of the traffic threads.
    traffic: Option<Runtime>,
}

impl Daemon<Configured> {
    /// Creates a daemon from an instance file.
    ///
    /// # Errors
    ///
    /// Returns an error if two listeners share an address.
    pub fn configure(file: InstanceFile) -> eyre::Result<Daemon<Configured>> {
        let conflicting = file.callers == file.peers
            || file.callers == file.operators
            || file.peers == file.operators;
        eyre::ensure!(!conflicting, "callers, peers and operators need distinct listen addresses");
        Ok(Daemon { state: Configured { file } })
    }

    /// Opens the listeners and starts the threads.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be opened or a thread can't be started.
    pub async fn start(self) -> eyre::Result<Daemon<Running>> {
        let file = self.state.file;
        let identity = Witness {
            instance: file.instance.clone(),
            incarnation: Incarnation(fastrand::u64(1..)),
            address: file.advertised.unwrap_or(file.peers),
        };
        let source = file.peers.ip();
        let cx = Arc::new(DaemonContext::new(
            Clock::start(),
            source,
            identity,
            file.zone.clone(),
            Store::new(source, file.store)?,
            InstanceList::new(source, file.instances)?,
            read_keys(&file.receipt_keys),
        )?);
        let (close_listeners, closed) = watch::channel(false);
        let (end_control, control_ended) = oneshot::channel();
        let (started_tx, started) = oneshot::channel();
        let (thread_cx, thread_file, thread_closed) =
            (Arc::clone(&cx), file.clone(), closed.clone());
        let traffic = Builder::new_multi_thread()
            .worker_threads(TRAFFIC_THREADS)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let thread_traffic = traffic.handle().clone();
        let (peers_tx, peers_done) = oneshot::channel();
        let control_thread = thread::Builder::new().name("control".into()).spawn(move || {
            let control =
                spawn_control(&thread_cx, &thread_file, thread_traffic, thread_closed, peers_tx);
            run_control(control, started_tx, control_ended);
        })?;
        let started = started.await.wrap_err("the control thread ended during start-up");
        let control = match started.flatten() {
            Ok(control) => control,
            Err(error) => {
                traffic.shutdown_background();
                return Err(error);
            }
        };
        traffic.spawn(probe_lost_paths(Arc::clone(&cx)));
        let callers = bind(file.callers).await?;
        let (done_tx, callers_done) = oneshot::channel();
        let router = callers_router(Arc::clone(&cx));
        let router = router.into_make_service_with_connect_info::<CallerSocket>();
        traffic.spawn(async move {
            // An error ends the listener as the stop does.
            let _ = axum::serve(CallerListener(callers), router)
                .with_graceful_shutdown(until_closed(closed))
                .await;
            let _ = done_tx.send(());
        });
        let text = format_args!(
            "instance {} in zone {}, listening for callers at {}, build {}",
            file.instance,
            file.zone,
            file.callers,
            build_name()
        );
        report(Event::Started, text);
        Ok(Daemon {
            state: Running {
                cx,
                control,
                close_listeners,
                requests_done: vec![callers_done, peers_done],
                end_control: Some(end_control),
                control_thread: Some(control_thread),
                traffic: Some(traffic),
            },
        })
    }
}

impl Daemon<Running> {
    /// Stops gracefully: turns unready, resigns as an assigner, gives the load balancer time to
    /// notice, waits for the requests in flight, and ends.
    pub async fn stop(mut self) {
        report(Event::Stopping, format_args!("instance {}", self.state.cx.identity.instance));
        self.state.cx.stopping.store(true, Ordering::Relaxed);
        let _ = self.state.control.ask(Stop).await;
        sleep(UNREADY_GRACE_PERIOD).await;
        let _ = self.state.close_listeners.send(true);
        let done = futures::future::join_all(self.state.requests_done.drain(..));
        let _ = timeout(IN_FLIGHT_TIMEOUT, done).await;
        report(Event::Stopped, format_args!("instance {}", self.state.cx.identity.instance));
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.close_listeners.send(true);
        drop(self.end_control.take());
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
        if let Some(thread) = self.control_thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs the control thread until the sender of `ended` is dropped.
fn run_control(
    control: impl Future<Output = eyre::Result<ActorRef<Control>>>,
    started: oneshot::Sender<eyre::Result<ActorRef<Control>>>,
    ended: oneshot::Receiver<()>,
) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return drop(started.send(Err(error.into()))),
    };
    runtime.block_on(async move {
        let _ = started.send(control.await);
        let _ = ended.await;
    });
}

/// Binds the control thread's listeners, starts the control actor and serves peers and operators.
async fn spawn_control(
    cx: &Arc<DaemonContext>,
    file: &InstanceFile,
    traffic: Handle,
    closed: watch::Receiver<bool>,
    peers_done: oneshot::Sender<()>,
) -> eyre::Result<ActorRef<Control>> {
    let peers = bind(file.peers).await?;
    let operators = bind(file.operators).await?;
    let control = Control::spawn(Control::new(Arc::clone(cx), &file.seeds));
    spawn_tasks(cx, &control);
    let handle = Handle::current();
    let router = peers_router(Arc::clone(cx), control.clone(), traffic);
    let serving = serve(peers, router, closed.clone());
    handle.spawn(async move {
        serving.await;
        let _ = peers_done.send(());
    });
    let router = operators_router(Arc::clone(cx), control.clone());
    handle.spawn(serve(operators, router, closed));
    Ok(control)
}

async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("can't listen at {address}"))
}

/// Serves until `closed` is set and the requests in flight have ended.
fn serve(
    listener: TcpListener,
    router: Router,
    closed: watch::Receiver<bool>,
) -> impl Future<Output = ()> {
    let serve = axum::serve(listener, router).with_graceful_shutdown(until_closed(closed));
    async move {
        let _ = serve.await;
    }
}

async fn until_closed(mut closed: watch::Receiver<bool>) {
    let _ = closed.wait_for(|closed| *closed).await;
}
