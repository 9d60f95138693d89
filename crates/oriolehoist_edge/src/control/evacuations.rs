//! The evacuated zones as part of the cluster state.

use {
    crate::control::{
        actor::{Control, Role},
        cluster_state::ClusterState,
    },
    kameo::actor::ActorRef,
    oriolehoist_evacuation::{EvacuationNews, FIRST_READ_TIMEOUT, ZoneChanges, ZoneSet},
    oriolehoist_log::{Event, report},
    oriolehoist_port::RegisteredServer,
    oriolehoist_time::Millis,
    smol_str::SmolStr,
};

impl ClusterState {
    /// Returns from when on a server gets no requests because its zone is evacuated, if it is: at once if
    /// another server can take them, and shortly before the end of the bound if it may hold their keys.
    pub(super) fn evacuated_from(
        &self,
        cx: &crate::process::Shared,
        server: &RegisteredServer,
        sharded: bool,
    ) -> Option<Millis> {
        let accepted_after = self.evacuations.accepted_after(&server.zone)?;
        match cx.evacuation_timing() {
            Some(timing) if sharded => Some(timing.keys_refused_from(accepted_after)),
            _ => Some(Millis::ZERO),
        }
    }
}

impl Control {
    /// Applies the evacuated zones that this daemon has read from the store.
    pub(super) fn on_evacuations_read(
        &mut self,
        control: &ActorRef<Control>,
        read_at: Millis,
        zones: ZoneSet,
    ) {
        let confirmed_at = self.state.evacuations.confirmed_at();
        let changes = self.state.evacuations.on_read(self.now(), read_at, zones);
        if self.on_evacuation_changes(&changes, "store", confirmed_at) {
            self.state.publish(&self.cx);
            self.tick(control);
        }
        self.update_readiness();
    }

    /// Applies what another daemon has told about evacuated zones. Returns whether they changed.
    pub(super) fn on_evacuation_news(&mut self, news: EvacuationNews, from: &SmolStr) -> bool {
        if self.cx.evacuation_timing().is_none() {
            return false;
        }
        let confirmed_at = self.state.evacuations.confirmed_at();
        let changes = self.state.evacuations.on_news(self.now(), news);
        self.on_evacuation_changes(&changes, from, confirmed_at)
    }

    /// Records that the store had no other evacuated zones at `at`.
    pub(super) fn confirm_evacuations(&mut self, at: Millis) {
        self.state.evacuations.confirm(at);
        self.on_evacuation_changes(&ZoneChanges::default(), "store", None);
    }

    /// Ends evacuations that end by the passing of time. Returns whether there are any.
    pub(super) fn expire_evacuations(&mut self) -> bool {
        let confirmed_at = self.state.evacuations.confirmed_at();
        let changes = self.state.evacuations.expire(self.now());
        self.on_evacuation_changes(&changes, "time", confirmed_at)
    }

    /// Returns whether the evacuated zones are known, or this daemon has waited for them for long enough.
    pub(super) fn knows_evacuations(&self) -> bool {
        self.cx.evacuation_timing().is_none()
            || self.state.evacuations.is_known()
            || self.now().since(self.started_at) >= FIRST_READ_TIMEOUT
    }

    /// Logs changes of the evacuated zones, and tells the assigner. `confirmed_at` is when the set before
    /// was last confirmed. Returns whether there are any changes.
    fn on_evacuation_changes(
        &mut self,
        changes: &ZoneChanges,
        source: &str,
        confirmed_at: Option<Millis>,
    ) -> bool {
        let now = self.now();
        let evacuations = &self.state.evacuations;
        self.cx.set_evacuations_confirmed_at(evacuations.confirmed_at().unwrap_or_default());
        if changes.is_empty() {
            return false;
        }
        self.cx.metrics.set_evacuated_zones(evacuations.names().len());
        let began = changes.began.iter().map(|zone| (zone, true));
        for (zone, evacuated) in began.chain(changes.ended.iter().map(|zone| (zone, false))) {
            let servers = self.state.servers.iter().filter(|server| server.zone == *zone).count();
            let confirmed_ms = confirmed_at.map_or(-1, |at| now.since(at).0 as i64);
            let revision = evacuations.revision();
            let text = format_args!(
                "zone={zone} evacuated={evacuated} servers={servers} revision={revision} \
                 from={source} confirmed_ms={confirmed_ms}"
            );
            report(Event::ZoneEvacuated, text);
        }
        if let Role::Assigner(assigner) = &mut self.role {
            assigner.on_servers(now, &self.state, false);
        }
        true
    }
}
