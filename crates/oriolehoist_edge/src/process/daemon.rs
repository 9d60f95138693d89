use {
    crate::{
        connection::serve_callers,
        control::{
            Control, Member, Stop, StoreClient, control_router, metrics_router, readiness_router,
            spawn_tasks,
        },
        process::{Shared, reach::probe_lost_paths, warm_up::watch_warm_ups},
        request::handover_router,
    },
    axum::Router,
    eyre::WrapErr,
    kameo::{Actor, actor::ActorRef},
    oriolehoist_log::{Event, report},
    oriolehoist_port::{BootstrapConfig, Platform},
    oriolehoist_protocol::build_name,
    oriolehoist_time::Millis,
    std::{fs, net::SocketAddr, path::Path, sync::Arc, thread, time::Duration},
    tokio::{
        net::{TcpListener, TcpSocket},
        runtime::Builder,
        signal::unix::{SignalKind, signal},
        sync::{oneshot, watch},
        time::sleep,
    },
};

/// The maximum number of connections waiting to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// How long before the end of the agreed shutdown period the process exits by itself. On a machine
/// with a tenth of a core the signal may be noticed late, and the exit itself takes time: with 700 ms,
/// 550 ms were left of 6 s in a test at a twelfth of a core, and processes were killed on busy days.
/// Requests that a server answers before the last sixth of the period have to reach their callers: with
/// 1,300 ms one was cut off after 4.72 s.
const SHUTDOWN_MARGIN: Millis = Millis(850);
/// The part of the agreed shutdown period, in percent, that the margin may take.
const MAX_SHUTDOWN_MARGIN_PERCENT: u64 = 15;
/// How long a daemon keeps accepting connections during shutdown, so that the load balancer can
/// notice that it is no longer ready.
const LOAD_BALANCER_NOTICE_TIME: Millis = Millis(3000);
/// How often the daemon checks during shutdown whether all connections have been closed.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the daemon until it receives SIGTERM or SIGINT, then shuts it down gracefully. SIGHUP
/// validates a changed settings file.
///
/// # Errors
///
/// Returns an error if the settings can't be read, or a listener or a thread can't be started.
pub fn run(platform: Arc<dyn Platform>, settings: &Path) -> eyre::Result<()> {
    let bootstrap = read_bootstrap_config(platform.as_ref(), settings)?;
    let cx = Arc::new(Shared::new(bootstrap, platform)?);
    report(
        Event::Started,
        format_args!(
            "instance={} zone={} callers={} incarnation={} build={}",
            cx.bootstrap.instance,
            cx.bootstrap.zone,
            cx.bootstrap.caller_address,
            cx.incarnation.0,
            build_name(),
        ),
    );
    let (shutdown_tx, shutdown_rx) = watch::channel(false);
    let (started_tx, started_rx) = oneshot::channel();
    let control_cx = Arc::clone(&cx);
    thread::Builder::new().name("control".into()).spawn(move || {
        let runtime = match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => return drop(started_tx.send(Err(error.into()))),
        };
        runtime.block_on(async move {
            let control = start_control(&control_cx).await;
            // Sending fails only if the receiver was dropped, which means that the process is
            // exiting.
            let _ = started_tx.send(control);
            std::future::pending::<()>().await;
        });
    })?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let result = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut reload = signal(SignalKind::hangup())?;
        let control = started_rx.await.wrap_err("the control thread exited during startup")??;
        if let Some(address) = cx.bootstrap.handover_address {
            let router = handover_router(Arc::clone(&cx));
            serve("handover", listen(address)?, router);
        }
        tokio::spawn(probe_lost_paths(Arc::clone(&cx)));
        tokio::spawn(watch_warm_ups(Arc::clone(&cx)));
        let callers = tokio::spawn(serve_callers(
            Arc::clone(&cx),
            listen(cx.bootstrap.caller_address)?,
            shutdown_rx,
        ));
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => check_changed_settings(&cx, settings),
            }
        }
        shut_down(&cx, &control, &shutdown_tx).await;
        callers.abort();
        Ok(())
    });
    // Nothing that still runs may delay the exit.
    runtime.shutdown_background();
    result
}

fn read_bootstrap_config(
    platform: &dyn Platform,
    settings: &Path,
) -> eyre::Result<BootstrapConfig> {
    let path = settings.display();
    let text = fs::read_to_string(settings)
        .wrap_err_with(|| format!("failed to read settings file {path}"))?;
    platform.decode_bootstrap(&text).wrap_err_with(|| format!("invalid settings in {path}"))
}

/// Validates a changed settings file and logs the result. The changes take effect at the next
/// start, because addresses are fixed while a process runs and seeds are only used at startup.
fn check_changed_settings(cx: &Shared, settings: &Path) {
    match read_bootstrap_config(cx.platform.as_ref(), settings) {
        Ok(_) => report(Event::SettingsFileChanged, format_args!("valid=true")),
        Err(error) => {
            report(Event::SettingsFileChanged, format_args!("valid=false error=\"{error:#}\""));
        }
    }
}

/// Starts the control actor with its tasks, and the listeners for peers, readiness and metrics.
async fn start_control(cx: &Arc<Shared>) -> eyre::Result<ActorRef<Control>> {
    let local = Member {
        instance: cx.bootstrap.instance.clone(),
        incarnation: cx.incarnation,
        address: cx.bootstrap.peer_address,
        zone: cx.bootstrap.zone.clone(),
        size: cx.bootstrap.size,
        relays: true,
        build: Some(build_name()),
        asks_for_permits: true,
    };
    let peers = listen(cx.bootstrap.peer_address)?;
    let readiness = listen(cx.bootstrap.readiness_address)?;
    let store = Arc::new(StoreClient::new(Arc::clone(cx)));
    let control = Control::spawn(Control::new(Arc::clone(cx), Arc::clone(&store), local.clone()));
    spawn_tasks(cx, &store, &control, &local);
    serve("peers", peers, control_router(Arc::clone(cx), control.clone()));
    serve("readiness", readiness, readiness_router(Arc::clone(cx)));
    if let Some(address) = cx.bootstrap.metrics_address {
        serve("metrics", listen(address)?, metrics_router(Arc::clone(cx)));
    }
    Ok(control)
}

fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open().wrap_err_with(|| format!("failed to listen on {address}"))
}

fn serve(name: &'static str, listener: TcpListener, router: Router) {
    let service = router.into_make_service_with_connect_info::<SocketAddr>();
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, service).await {
            report(Event::ListenerLost, format_args!("listener={name} error=\"{error}\""));
        }
    });
}

/// Returns how long after the request to stop the process exits at the latest.
pub(super) fn shutdown_time_limit(grace: Millis) -> Millis {
    let max_margin = Millis(grace.0 * MAX_SHUTDOWN_MARGIN_PERCENT / 100);
    grace.since(SHUTDOWN_MARGIN.min(max_margin))
}

/// Shuts down gracefully: reports the daemon as not ready, hands over the assigner's role, and
/// continues to serve until the load balancer has had time to notice and all connections are
/// closed, or until the shutdown period is almost over.
async fn shut_down(
    cx: &Arc<Shared>,
    control: &ActorRef<Control>,
    shutdown_tx: &watch::Sender<bool>,
) {
    let stop_requested_at = cx.clock.now();
    cx.mark_stopping();
    report(Event::Stopping, format_args!("instance={}", cx.bootstrap.instance));
    // The reply arrives after the handover, which the shutdown does not wait for.
    let control_handle = control.clone();
    tokio::spawn(async move {
        let _ = control_handle.ask(Stop).await;
    });
    let time_limit = shutdown_time_limit(cx.bootstrap.bounds.shutdown_grace);
    loop {
        let elapsed = cx.clock.now().since(stop_requested_at);
        if elapsed >= LOAD_BALANCER_NOTICE_TIME {
            // Sending fails only if the listener task has ended, and then new connections are
            // already refused.
            let _ = shutdown_tx.send(true);
        }
        let done = elapsed >= LOAD_BALANCER_NOTICE_TIME && cx.open_connections() == 0;
        if done || elapsed >= time_limit {
            break;
        }
        sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
    report(
        Event::Stopped,
        format_args!("instance={} open={}", cx.bootstrap.instance, cx.open_connections()),
    );
}
