use {
    crate::{
        connection::serve_callers,
        control::{
            Control, Member, Stop, StoreClient, control_router, metrics_router, readiness_router,
            spawn_tasks,
        },
        process::Shared,
    },
    axum::Router,
    eyre::WrapErr,
    kameo::{Actor, actor::ActorRef},
    oriolehoist_log::{Event, report},
    oriolehoist_port::{BootstrapConfig, Platform},
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

/// How many connections may wait to be accepted.
const BACKLOG: u32 = 1024;
/// How much earlier than the agreed end a stopping process ends by itself.
const STOP_MARGIN: Millis = Millis(700);
/// How long a stopping daemon goes on taking connections, so that the balancer notices.
const BALANCER_NOTICE: Millis = Millis(3000);
/// How often a stopping daemon looks whether everything has been answered.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// Runs the daemon until it is asked to stop, and then until everything is answered.
///
/// # Errors
///
/// Returns an error if the settings can't be read, or a listener or a thread can't be started.
pub fn run(platform: Arc<dyn Platform>, settings: &Path) -> eyre::Result<()> {
    let boot = read_boot(platform.as_ref(), settings)?;
    let cx = Arc::new(Shared::new(boot, platform)?);
    report(
        Event::Started,
        format_args!(
            "instance={} zone={} callers={} incarnation={}",
            cx.boot.instance, cx.boot.zone, cx.boot.caller_address, cx.incarnation.0,
        ),
    );
    let (close, closed) = watch::channel(false);
    let (started_tx, started) = oneshot::channel();
    let control_cx = Arc::clone(&cx);
    thread::Builder::new().name("control".into()).spawn(move || {
        let runtime = match Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => return drop(started_tx.send(Err(error.into()))),
        };
        runtime.block_on(async move {
            let control = open_control(&control_cx).await;
            // Without a receiver the process is already ending.
            let _ = started_tx.send(control);
            std::future::pending::<()>().await;
        });
    })?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut reload = signal(SignalKind::hangup())?;
        let control = started.await.wrap_err("the control thread ended")??;
        let callers =
            tokio::spawn(serve_callers(Arc::clone(&cx), listen(cx.boot.caller_address)?, closed));
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => note_reload(&cx, settings),
            }
        }
        stop(&cx, &control, &close).await;
        callers.abort();
        Ok(())
    })
}

fn read_boot(platform: &dyn Platform, settings: &Path) -> eyre::Result<BootstrapConfig> {
    let path = settings.display();
    let text = fs::read_to_string(settings).wrap_err_with(|| format!("can't read {path}"))?;
    platform.decode_bootstrap(&text).wrap_err_with(|| format!("{path} can't be used"))
}

/// Addresses are fixed for the life of a process, and seeds only matter at its start: a changed
/// file is checked and told, and takes effect at the next start.
fn note_reload(cx: &Shared, settings: &Path) {
    match read_boot(cx.platform.as_ref(), settings) {
        Ok(_) => report(Event::SettingsFileChanged, format_args!("valid=true")),
        Err(error) => {
            report(Event::SettingsFileChanged, format_args!("valid=false error=\"{error:#}\""));
        }
    }
}

async fn open_control(cx: &Arc<Shared>) -> eyre::Result<ActorRef<Control>> {
    let me = Member {
        instance: cx.boot.instance.clone(),
        incarnation: cx.incarnation,
        address: cx.boot.peer_address,
    };
    let peers = listen(cx.boot.peer_address)?;
    let readiness = listen(cx.boot.readiness_address)?;
    let store = Arc::new(StoreClient::new(Arc::clone(cx)));
    let control = Control::spawn(Control::new(Arc::clone(cx), Arc::clone(&store), me.clone()));
    spawn_tasks(cx, &store, &control, &me);
    serve("peers", peers, control_router(Arc::clone(cx), control.clone()));
    serve("readiness", readiness, readiness_router(Arc::clone(cx)));
    if let Some(address) = cx.boot.metrics_address {
        serve("metrics", listen(address)?, metrics_router(Arc::clone(cx)));
    }
    Ok(control)
}

fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().wrap_err_with(|| format!("can't listen at {address}"))
}

fn serve(name: &'static str, listener: TcpListener, router: Router) {
    tokio::spawn(async move {
        if let Err(error) = axum::serve(listener, router).await {
            report(Event::ListenerLost, format_args!("listener={name} error=\"{error}\""));
        }
    });
}

/// Stops gracefully: turns unready, hands the role over, goes on until the balancer has noticed
/// and everything is answered.
async fn stop(cx: &Arc<Shared>, control: &ActorRef<Control>, close: &watch::Sender<bool>) {
    let since = cx.clock.now();
    cx.stop();
    report(Event::Stopping, format_args!("instance={}", cx.boot.instance));
    // It answers once the role is handed over, which nothing here waits for.
    let handed_over = control.clone();
    tokio::spawn(async move {
        let _ = handed_over.ask(Stop).await;
    });
    let end = cx.boot.bounds.shutdown_grace.since(STOP_MARGIN);
    loop {
        let elapsed = cx.clock.now().since(since);
        if elapsed >= BALANCER_NOTICE {
            // Without a listener task the connections are already closed to new callers.
            let _ = close.send(true);
        }
        let done = elapsed >= BALANCER_NOTICE && cx.open_connections() == 0;
        if done || elapsed >= end {
            break;
        }
        sleep(STOP_CHECK).await;
    }
    report(
        Event::Stopped,
        format_args!("instance={} open={}", cx.boot.instance, cx.open_connections()),
    );
}
