//! Handling of the assigner's sync messages, and snapshots of the state for other daemons.

use {
    crate::control::{
        actor::{Control, Role},
        message::{ConfigSource, SyncMessage, SyncResponse, Versions},
    },
    oriolehoist_capacity::Cursor,
    oriolehoist_log::{Event, report},
    oriolehoist_port::{Revision, StoreEra},
    oriolehoist_replica::TermVersion,
};

impl Control {
    pub(super) fn on_sync(&mut self, sync: SyncMessage) -> SyncResponse {
        let now = self.now();
        self.observe_era_of(&sync.versions);
        if let Some(news) = &sync.store {
            self.cx.on_store_news(news);
        }
        let their_suspects = self.merge_suspects_of(&sync);
        if sync.term >= self.term && !sync.from.is_same_run(&self.local) {
            if sync.term > self.term {
                self.step_down("another daemon is the assigner");
                self.retired = None;
            }
            self.term = sync.term;
            self.cx.permits.set_issuer(sync.permit_issuer.filter(|_| !sync.resigning));
            if !self.assigner_reachable {
                self.assigner_reachable = true;
                let (term, from) = (sync.term, &sync.from.instance);
                report(Event::AssignerHeard, format_args!("heard=true term={term} from={from}"));
            }
            self.sync_interval = sync.interval;
            let seen_at = now.since(sync.relayed_after.unwrap_or_default());
            if sync.resigning {
                // A resigning assigner counts as lost at once, so that an election does not wait for
                // the timeout.
                self.assigner_seen_at = now.since(self.assigner_timeout());
                self.resigned_term = sync.term;
            } else if sync.term != self.resigned_term {
                self.assigner_seen_at = self.assigner_seen_at.max(seen_at);
            }
            self.asked.clone_from(&sync.asked);
            self.cx.paths().ask(now, sync.asked.iter().copied());
            self.speeds.receive(&self.cx, &sync.from.instance, &sync.server_speeds);
            self.update_relay_duty(&sync);
            self.apply_sync(sync);
        }
        let mut load = self.cx.take_load_reports();
        load.extend(self.take_relayed_load());
        SyncResponse {
            from: Some(self.local.clone()),
            term: self.highest_known_term(),
            versions: self.state.versions(),
            config: None,
            load,
            unresponsive: self
                .relay
                .as_ref()
                .map(|_| self.fanout.unresponsive())
                .unwrap_or_default(),
            reach: (!self.asked.is_empty())
                .then(|| self.cx.paths().report(now, self.asked.iter().copied())),
            suspects: self.cx.suspect_news(Some(their_suspects)),
        }
    }

    /// Takes what a message has of requests that may have crashed servers. Returns the sender's digest.
    fn merge_suspects_of(&self, sync: &SyncMessage) -> u64 {
        let Some(news) = &sync.suspects else { return 0 };
        self.cx.merge_suspects(&news.records, &sync.from.instance);
        news.digest
    }

    /// Learns of a later era of the store from what another daemon has read.
    pub(super) fn observe_era_of(&self, versions: &Versions) {
        let era = versions.servers.revision.era();
        if era > StoreEra::default() {
            self.cx.observe_store_era(era, "sync");
        }
    }

    /// Takes the servers and the configuration from a daemon that need not have heard from the
    /// assigner.
    pub(super) fn on_peer_state(&mut self, sync: SyncMessage) {
        self.observe_era_of(&sync.versions);
        if let Some(news) = &sync.store {
            self.cx.on_store_news(news);
        }
        self.merge_suspects_of(&sync);
        let changed = self.apply_sync(SyncMessage { routes: None, members: None, ..sync });
        if let Role::Assigner(assigner) = &mut self.role {
            let now = self.cx.clock.now();
            assigner.wait_for_servers(self.state.registry.settles_at());
            assigner.on_servers(now, &self.state, changed);
        }
    }

    /// Takes what the message has. Returns whether anything changed.
    fn apply_sync(&mut self, mut sync: SyncMessage) -> bool {
        let mut changed = self.state.merge_registry_changes(&self.cx, &mut sync);
        if let Some(bytes) = &sync.config {
            let source = ConfigSource::Daemon(sync.from.instance.clone());
            changed |= self.state.merge_config(&self.cx, bytes, &source);
        }
        if let Some(age) = sync.config_age
            && sync.versions.config == self.state.config_version
        {
            self.state.confirm_config(&self.cx, self.now().since(age));
        }
        if let Some(news) = sync.evacuations {
            changed |= self.on_evacuation_news(news, &sync.from.instance);
        }
        if let Some(update) = sync.routes {
            changed |= self.state.merge_routes(update);
        }
        if let Some(update) = sync.members {
            changed |= self.state.members.apply(update);
        }
        match sync.fleet_size {
            Some(news) => self.state.fleet.on_news(self.now(), news),
            // Older versions name only the daemons that respond.
            None => self.state.fleet.observe(self.now(), self.state.members.get().len()),
        }
        changed |= self.state.is_fleet_size_outdated(self.now());
        if changed {
            self.state.publish(&self.cx);
        }
        self.update_readiness();
        changed
    }

    /// Returns a snapshot of the complete state, as a message for a daemon that is starting.
    pub(super) fn state_snapshot(&self) -> SyncMessage {
        let state = &self.state;
        SyncMessage {
            from: self.local.clone(),
            term: self.term,
            versions: state.versions(),
            interval: self.sync_interval,
            servers_age: self.now().since(state.servers_fresh_at),
            config_age: Some(self.cx.config_age()),
            resigning: false,
            relayed_after: None,
            children: Vec::new(),
            relays: Vec::new(),
            asked: Vec::new(),
            evacuations: state.evacuations.news(self.now(), None),
            store: Some(self.cx.store_news(true)),
            server_speeds: self.speeds.due(self.now(), &mut Cursor::default()),
            fleet_size: state.fleet.news(self.now()),
            suspects: self.cx.suspect_snapshot(),
            permit_issuer: self.cx.permits.issuer(),
            config: state.config.as_ref().map(|_| state.config_bytes.clone()),
            servers: Some(state.registry.changes_since(self.now(), Revision::default())),
            routes: Some(state.routes.update_since(TermVersion::default())),
            members: Some(state.members.update_since(TermVersion::default())),
        }
    }
}
