//! The loops that feed the actor: time, the platform and the peers.

use {
    crate::{
        control::{
            actor::Control,
            message::{
                AskPlan, AssignmentArrived, InstancesListed, PeerSeen, Reply, SettingsArrived, Tick,
            },
        },
        process::{Event, Shared, report},
    },
    kameo::actor::ActorRef,
    oriolehoist_platform::Revision,
    oriolehoist_protocol::{Assignment, ServiceName},
    oriolehoist_settings::{HEAD_KEY, SettingsVersion},
    oriolehoist_time::Millis,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{MissedTickBehavior, interval, sleep},
};

/// Time between ticks of the decisions.
const TICK: Duration = Duration::from_millis(20);
/// Time between questions to each peer.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// Time between questions to each peer before there are settings.
const FIRST_HELLO_INTERVAL: Duration = Duration::from_millis(50);
/// Time between readings of the instance list.
const LIST_INTERVAL: Duration = Duration::from_millis(1000);
/// The longest wait of a watch.
const WATCH_WAIT: Millis = Millis::from_secs(20);
/// Time between calls to a store that does not answer.
const STORE_PAUSE: Duration = Duration::from_millis(500);
/// The longest wait for a peer's answer.
const PEER_TIMEOUT: Millis = Millis(250);

/// Starts the loops.
pub(crate) fn spawn_tasks(cx: &Arc<Shared>, control: &ActorRef<Control>) {
    tokio::spawn(tick(control.clone()));
    tokio::spawn(watch_settings(Arc::clone(cx), control.clone()));
    tokio::spawn(read_instances(Arc::clone(cx), control.clone()));
    tokio::spawn(greet_peers(Arc::clone(cx), control.clone()));
}

async fn tick(control: ActorRef<Control>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        ticks.tick().await;
        if control.tell(Tick).await.is_err() {
            return;
        }
    }
}

/// Follows the settings in the store. Peers tell of newer ones while it is away.
async fn watch_settings(cx: Arc<Shared>, control: ActorRef<Control>) {
    let mut after = Revision::ABSENT;
    let mut away = false;
    loop {
        match cx.store.watch(HEAD_KEY, after, WATCH_WAIT).await {
            Ok(entries) => {
                if away {
                    report(Event::StoreBack, format_args!("{} calls", "watch"));
                }
                away = false;
                for entry in entries {
                    after = after.max(entry.revision);
                    match serde_json::from_str::<SettingsVersion>(&entry.value) {
                        Ok(version) => drop(control.tell(SettingsArrived(version)).await),
                        Err(error) => {
                            report(Event::SettingsRejected, format_args!("in the store: {error}"));
                        }
                    }
                }
            }
            Err(error) => {
                if !away {
                    report(Event::StoreAway, format_args!("{error}"));
                }
                away = true;
                sleep(STORE_PAUSE).await;
            }
        }
    }
}

async fn read_instances(cx: Arc<Shared>, control: ActorRef<Control>) {
    loop {
        // While the list can't be read, the last one holds.
        if let Ok(list) = cx.instances.read(cx.store.calls()).await {
            let _ = control.tell(InstancesListed(list)).await;
        }
        sleep(LIST_INTERVAL).await;
    }
}

/// Asks every peer who it is, and fetches what it knows better.
async fn greet_peers(cx: Arc<Shared>, control: ActorRef<Control>) {
    loop {
        let Ok(Reply(plan)) = control.ask(AskPlan).await else { return };
        for address in plan.greet {
            tokio::spawn(greet(Arc::clone(&cx), control.clone(), address));
        }
        if let Some(address) = plan.settings_from {
            tokio::spawn(fetch_settings(Arc::clone(&cx), control.clone(), address));
        }
        for (service, address) in plan.assignments_from {
            tokio::spawn(fetch_assignment(Arc::clone(&cx), control.clone(), service, address));
        }
        let pause = match plan.has_settings {
            true => HELLO_INTERVAL,
            false => FIRST_HELLO_INTERVAL,
        };
        sleep(pause).await;
    }
}

async fn greet(cx: Arc<Shared>, control: ActorRef<Control>, address: SocketAddr) {
    if let Ok(hello) = cx.peers.ask(address, "/hello", &(), PEER_TIMEOUT).await {
        let _ = control.tell(PeerSeen { address, hello }).await;
    }
}

async fn fetch_settings(cx: Arc<Shared>, control: ActorRef<Control>, address: SocketAddr) {
    let answer = cx.peers.ask::<Option<SettingsVersion>>(address, "/settings", &(), PEER_TIMEOUT);
    if let Ok(Some(version)) = answer.await {
        let _ = control.tell(SettingsArrived(version)).await;
    }
}

async fn fetch_assignment(
    cx: Arc<Shared>,
    control: ActorRef<Control>,
    service: ServiceName,
    address: SocketAddr,
) {
    let answer = cx.peers.ask::<Option<Assignment>>(address, "/assignment", &service, PEER_TIMEOUT);
    if let Ok(Some(assignment)) = answer.await {
        let _ = control.tell(AssignmentArrived(assignment)).await;
    }
}
