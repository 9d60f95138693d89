//! Checks whether a store that only one other daemon says fails answers this daemon.

use {
    crate::{
        control::{
            Control, StoreClient,
            message::{ConfigSource, Input},
            store::ConnectionChoice,
        },
        process::Shared,
    },
    kameo::actor::ActorRef,
    oriolehoist_log::{Event, report},
    oriolehoist_port::{StoreRequest, StoreResponse},
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// How often a daemon looks whether a check is due.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reads the configuration while the store is suspected, if this daemon is one of those that check. The
/// others learn the result from what this daemon tells of its calls.
pub(super) async fn check_store(
    cx: Arc<Shared>,
    store: Arc<StoreClient>,
    control: ActorRef<Control>,
) {
    loop {
        sleep(POLL_INTERVAL).await;
        if !cx.try_check_store() {
            continue;
        }
        let request = StoreRequest::Get(cx.platform.configuration_key().into());
        // A call over an idle connection that has gone silent would show less.
        let (response, call) = store.traced_call(request, ConnectionChoice::New).await;
        let (answered, took) = (response.is_ok(), call.ended_at.since(call.started_at).0);
        cx.metrics.on_store_check(answered);
        report(Event::StoreChecked, format_args!("answered={answered} took_ms={took}"));
        if let Ok(StoreResponse::Item { item: Some(item), .. }) = response {
            let source = ConfigSource::Store(call);
            // The actor runs until the process exits.
            let _ = control.tell(Input::Config { bytes: item.value, source }).await;
        }
    }
}
