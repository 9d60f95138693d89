//! What a daemon learns from the assigner, and tells to others.

use {
    crate::control::{
        actor::Control,
        message::{Sync, SyncAnswer},
    },
    oriolehoist_log::{Event, report},
    oriolehoist_time::Millis,
};

impl Control {
    pub(super) fn on_sync(&mut self, sync: Sync) -> SyncAnswer {
        let now = self.now();
        if sync.term >= self.term && sync.from != self.me {
            if sync.term > self.term {
                self.step_down("another daemon is the assigner");
            }
            self.term = sync.term;
            if !self.heard {
                self.heard = true;
                let (term, from) = (sync.term, &sync.from.instance);
                report(Event::AssignerHeard, format_args!("heard=true term={term} from={from}"));
            }
            self.heard_at = if sync.resigning { Millis::ZERO } else { now };
            self.learn(now, sync);
        }
        SyncAnswer {
            term: self.term,
            versions: self.known.versions,
            config: None,
            load: self.cx.take_load(),
        }
    }

    fn learn(&mut self, now: Millis, sync: Sync) {
        let mut changed = false;
        if let Some(bytes) = &sync.config {
            changed |= self.known.offer_config(&self.cx, bytes);
        }
        let fresh_at = now.since(sync.servers_age);
        if let Some(list) = sync.servers {
            changed |= self.known.offer_servers(fresh_at, list);
            self.known.versions.servers = sync.versions.servers;
        } else if self.known.versions.servers == sync.versions.servers {
            self.known.servers_fresh_at = self.known.servers_fresh_at.max(fresh_at);
        }
        if let Some(routes) = sync.routes {
            changed |= self.known.offer_routes(sync.versions.routes, routes);
        }
        if let Some(members) = sync.members {
            changed |= self.known.members != members;
            self.known.members = members;
            self.known.versions.members = sync.versions.members;
        }
        if changed {
            self.known.publish(&self.cx);
        }
        self.update_readiness();
    }

    /// Returns everything that this daemon knows, as a message to a peer that starts.
    pub(super) fn knowledge(&self) -> Sync {
        let known = &self.known;
        Sync {
            from: self.me.clone(),
            term: self.term,
            versions: known.versions,
            servers_age: self.now().since(known.servers_fresh_at),
            resigning: false,
            config: known.config.as_ref().map(|_| known.config_bytes.clone()),
            servers: Some(known.servers.clone()),
            routes: Some(known.routes.clone()),
            members: Some(known.members.clone()),
        }
    }
}
