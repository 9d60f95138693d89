//! Follows the operators' configuration in the store.

use {
    crate::{
        control::{
            Control, StoreClient,
            handlers::{ActorReply, GetStoreReadPlan},
            message::{ConfigSource, Input},
            store::{ConnectionChoice, StoreError},
            tasks::IDLE_POLL_INTERVAL,
        },
        process::Shared,
    },
    kameo::actor::ActorRef,
    oriolehoist_backoff::CallKind,
    oriolehoist_log::{Event, report},
    oriolehoist_port::{Change, Revision, StoreRequest, StoreResponse},
    oriolehoist_time::Millis,
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// How much shorter a watch that confirms the configuration is than the time after which that is
/// stale. The response of a slow store takes about 300 ms.
const CONFIG_WATCH_MARGIN: Millis = Millis(300);
/// The maximum duration of a configuration watch for daemons that the assigner tells whether their
/// configuration is current.
const LONG_CONFIG_WATCH_TIMEOUT: Millis = Millis(28_000);
/// How often a daemon that gets the configuration by way of relays checks that it still does.
const RELAYED_CONFIG_INTERVAL: Duration = Duration::from_millis(250);
/// The duration of a watch for changes that were already made.
const CATCH_UP_TIMEOUT: Millis = Millis(1);
/// The delay before the configuration is read again after the store has discarded its history.
const HISTORY_LOST_DELAY: Duration = Duration::from_millis(100);

/// Reads the operators' configuration and watches it for changes. A watch that waits on a silent
/// connection reports none, so a stale configuration is checked over a new one, and a daemon that becomes
/// the assigner replaces a long watch by a shorter one over a new connection.
pub(super) async fn follow_config(
    cx: Arc<Shared>,
    store: Arc<StoreClient>,
    control: ActorRef<Control>,
) {
    let key = cx.platform.configuration_key();
    let mut after: Option<Revision> = None;
    let mut is_stale = false;
    let mut choice = ConnectionChoice::Any;
    loop {
        let plan = control.ask(GetStoreReadPlan).await.ok().map(|ActorReply(plan)| plan);
        if !is_stale && plan.is_some_and(|plan| plan.config_is_relayed) {
            is_stale = timeout(RELAYED_CONFIG_INTERVAL, cx.config_stale()).await.is_ok();
            if is_stale {
                report_stale(&cx);
            }
            continue;
        }
        let is_assigner = plan.is_some_and(|plan| plan.is_assigner);
        if !cx.try_call_store(CallKind::Configuration, is_assigner) {
            sleep(IDLE_POLL_INTERVAL).await;
            continue;
        }
        let wait = match plan {
            _ if is_stale => CATCH_UP_TIMEOUT,
            Some(plan) if !plan.confirms_config_itself => LONG_CONFIG_WATCH_TIMEOUT,
            _ => cx.config_stale_after().since(CONFIG_WATCH_MARGIN),
        };
        let request = match after {
            None => StoreRequest::Get(key.into()),
            Some(after) => StoreRequest::Watch { prefix: key.into(), after, wait },
        };
        let waits = after.is_some() && !is_stale;
        let waits_long = waits && wait > cx.config_stale_after();
        // Before the first one there is nothing that can be stale.
        let has_config = plan.is_some_and(|plan| plan.has_config);
        tell(&control, Input::ConfigWatched(waits && !waits_long)).await;
        if is_stale {
            choice = ConnectionChoice::New;
        }
        let ended = tokio::select! {
            result = store.traced_call(request, choice) => Some(result),
            () = cx.config_stale(), if waits && has_config => {
                report_stale(&cx);
                is_stale = true;
                None
            }
            () = cx.assigner_role(), if waits_long => {
                choice = ConnectionChoice::New;
                None
            }
        };
        tell(&control, Input::ConfigWatched(false)).await;
        let Some((response, call)) = ended else { continue };
        is_stale = false;
        choice = ConnectionChoice::Any;
        match response {
            Ok(StoreResponse::Item { item: Some(item), revision }) => {
                after = Some(revision);
                let source = ConfigSource::Store(call);
                tell(&control, Input::Config { bytes: item.value, source }).await;
            }
            // The operators have not written one yet.
            Ok(StoreResponse::Item { item: None, revision }) => after = Some(revision),
            Ok(StoreResponse::Changes { mut changes, revision }) => {
                after = after.max(Some(revision));
                // Keys of other programs may begin with this one.
                changes.retain(|change| change.key() == key);
                // A watch that has waited for its whole duration has read the store after that.
                let waited = call.ended_at.since(call.started_at) >= wait;
                let read_at = if waited { call.started_at + wait } else { call.started_at };
                if changes.is_empty() {
                    tell(&control, Input::ConfigConfirmed(read_at)).await;
                }
                for change in changes {
                    if let Change::Written(item) = change {
                        let source = ConfigSource::Store(call);
                        tell(&control, Input::Config { bytes: item.value, source }).await;
                    }
                }
            }
            Err(StoreError::Interrupted) => {}
            // The store has discarded the history since `after`. The configuration is read
            // again, and the watch continues from there.
            Ok(StoreResponse::HistoryCompacted) => {
                after = None;
                sleep(HISTORY_LOST_DELAY).await;
            }
            // A change may have been missed, so the configuration is read again.
            _ => after = None,
        }
    }
}

async fn tell(control: &ActorRef<Control>, input: Input) {
    // The actor runs until the process exits.
    let _ = control.tell(input).await;
}

fn report_stale(cx: &Shared) {
    report(Event::SettingsStale, format_args!("confirmed_ms={}", cx.config_age().0));
}
