//! Background tasks that feed the control actor: ticks, platform data and peer data.

use {
    crate::{
        control::{
            actor::Control,
            message::{
                AssignmentReceived, GetSyncPlan, HelloReceived, InstancesListed, Reply,
                SettingsReceived, Tick,
            },
        },
        process::{DaemonContext, Event, report},
    },
    kameo::actor::ActorRef,
    oriolehoist_platform::Revision,
    oriolehoist_protocol::{Assignment, ServiceName},
    oriolehoist_settings::{HEAD_KEY, SettingsVersion},
    oriolehoist_time::Millis,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{MissedTickBehavior, interval, sleep},
};

/// Time between two ticks of the control actor.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two polls of the peers.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two polls of the peers while no settings are in force.
const INITIAL_HELLO_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two reads of the platform's list of instances.
const INSTANCE_LIST_INTERVAL: Duration = Duration::from_millis(1000);
/// How long a watch on the store waits for a change. Its connection may go silent without a reset,
/// and a version has to be in force within 5 s nevertheless.
const WATCH_TIMEOUT: Millis = Millis::from_secs(3);
/// Delay before the next call to an unavailable store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Timeout for a peer's response.
const PEER_TIMEOUT: Millis = Millis(250);

/// Spawns the background tasks on the current runtime.
pub(crate) fn spawn_tasks(cx: &Arc<DaemonContext>, control: &ActorRef<Control>) {
    tokio::spawn(tick(control.clone()));
    tokio::spawn(watch_settings(Arc::clone(cx), control.clone()));
    tokio::spawn(read_instances(Arc::clone(cx), control.clone()));
    tokio::spawn(sync_with_peers(Arc::clone(cx), control.clone()));
}

async fn tick(control: ActorRef<Control>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        if control.tell(Tick).await.is_err() {
            return;
        }
    }
}

/// Watches the settings in the store. While it is unavailable, newer settings come from the peers.
async fn watch_settings(cx: Arc<DaemonContext>, control: ActorRef<Control>) {
    let mut after = Revision::ABSENT;
    let mut unavailable = false;
    loop {
        match cx.store.watch(HEAD_KEY, after, WATCH_TIMEOUT).await {
            Ok(entries) => {
                if unavailable {
                    report(
                        Event::StoreBack,
                        format_args!("{} can be watched again", "the settings"),
                    );
                }
                unavailable = false;
                for entry in entries {
                    after = after.max(entry.revision);
                    // Keys of other programs may begin with this one.
                    if entry.key != HEAD_KEY {
                        continue;
                    }
                    match serde_json::from_str::<SettingsVersion>(&entry.value) {
                        Ok(version) => drop(control.tell(SettingsReceived(version)).await),
                        Err(error) => {
                            report(
                                Event::SettingsRejected,
                                format_args!(
                                    "the settings version in the store is malformed: {error}"
                                ),
                            );
                        }
                    }
                }
            }
            Err(error) => {
                if !unavailable {
                    report(Event::StoreAway, format_args!("can't watch the settings: {error}"));
                }
                unavailable = true;
                sleep(STORE_RETRY_DELAY).await;
            }
        }
    }
}

/// Reads the platform's list of instances at regular intervals.
async fn read_instances(cx: Arc<DaemonContext>, control: ActorRef<Control>) {
    loop {
        // If the list can't be read, the last one stays in use.
        if let Ok(list) = cx.instances.read(cx.store.calls()).await {
            let _ = control.tell(InstancesListed(list)).await;
        }
        sleep(INSTANCE_LIST_INTERVAL).await;
    }
}

/// Polls every peer, and fetches newer settings and assignments.
async fn sync_with_peers(cx: Arc<DaemonContext>, control: ActorRef<Control>) {
    loop {
        let Ok(Reply(plan)) = control.ask(GetSyncPlan).await else { return };
        for address in plan.poll {
            tokio::spawn(poll_peer(Arc::clone(&cx), control.clone(), address));
        }
        if let Some(address) = plan.settings_from {
            tokio::spawn(fetch_settings(Arc::clone(&cx), control.clone(), address));
        }
        for (service, address) in plan.assignments_from {
            tokio::spawn(fetch_assignment(Arc::clone(&cx), control.clone(), service, address));
        }
        let delay = match plan.has_settings {
            true => HELLO_INTERVAL,
            false => INITIAL_HELLO_INTERVAL,
        };
        sleep(delay).await;
    }
}

async fn poll_peer(cx: Arc<DaemonContext>, control: ActorRef<Control>, address: SocketAddr) {
    if let Ok(hello) = cx.peers.call(address, "/hello", &(), PEER_TIMEOUT).await {
        let _ = control.tell(HelloReceived { address, hello }).await;
    }
}

async fn fetch_settings(cx: Arc<DaemonContext>, control: ActorRef<Control>, address: SocketAddr) {
    let response =
        cx.peers.call::<Option<SettingsVersion>>(address, "/settings", &(), PEER_TIMEOUT);
    if let Ok(Some(version)) = response.await {
        let _ = control.tell(SettingsReceived(version)).await;
    }
}

async fn fetch_assignment(
    cx: Arc<DaemonContext>,
    control: ActorRef<Control>,
    service: ServiceName,
    address: SocketAddr,
) {
    let response =
        cx.peers.call::<Option<Assignment>>(address, "/assignment", &service, PEER_TIMEOUT);
    if let Ok(Some(assignment)) = response.await {
        let _ = control.tell(AssignmentReceived(assignment)).await;
    }
}
