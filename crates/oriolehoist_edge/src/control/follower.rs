//! Handling of the assigner's sync messages, and snapshots of the state for other daemons.

use {
    crate::control::{
        actor::Control,
        message::{SyncMessage, SyncResponse},
    },
    oriolehoist_log::{Event, report},
    oriolehoist_time::Millis,
};

impl Control {
    pub(super) fn on_sync(&mut self, sync: SyncMessage) -> SyncResponse {
        let now = self.now();
        if sync.term >= self.term && sync.from != self.local {
            if sync.term > self.term {
                self.step_down("another daemon is the assigner");
            }
            self.term = sync.term;
            if !self.assigner_reachable {
                self.assigner_reachable = true;
                let (term, from) = (sync.term, &sync.from.instance);
                report(Event::AssignerHeard, format_args!("heard=true term={term} from={from}"));
            }
            // A resigning assigner counts as lost at once, so that an election does not wait for
            // the timeout.
            self.assigner_seen_at = if sync.resigning { Millis::ZERO } else { now };
            self.apply_sync(now, sync);
        }
        SyncResponse {
            term: self.term,
            versions: self.state.versions,
            config: None,
            load: self.cx.take_load_reports(),
        }
    }

    fn apply_sync(&mut self, now: Millis, sync: SyncMessage) {
        let mut changed = false;
        if let Some(bytes) = &sync.config {
            changed |= self.state.merge_config(&self.cx, bytes);
        }
        let read_at = now.since(sync.servers_age);
        if let Some(list) = sync.servers {
            changed |= self.state.merge_servers(&self.cx, read_at, &sync.from.instance, list);
            self.state.versions.servers = sync.versions.servers;
        } else if self.state.versions.servers == sync.versions.servers {
            self.state.confirm_servers(&self.cx, read_at);
        }
        if let Some(routes) = sync.routes {
            changed |= self.state.merge_routes(sync.versions.routes, routes);
        }
        if let Some(members) = sync.members {
            changed |= self.state.members != members;
            self.state.members = members;
            self.state.versions.members = sync.versions.members;
        }
        if changed {
            self.state.publish(&self.cx);
        }
        self.update_readiness();
    }

    /// Returns a snapshot of the complete state, as a message for a daemon that is starting.
    pub(super) fn state_snapshot(&self) -> SyncMessage {
        let state = &self.state;
        SyncMessage {
            from: self.local.clone(),
            term: self.term,
            versions: state.versions,
            servers_age: self.now().since(state.servers_fresh_at),
            resigning: false,
            config: state.config.as_ref().map(|_| state.config_bytes.clone()),
            servers: Some(state.servers.clone()),
            routes: Some(state.routes.clone()),
            members: Some(state.members.clone()),
        }
    }
}
