use {
    crate::{
        control::{
            StoreClient,
            assigner::Assigner,
            election::stand,
            knowledge::Knowledge,
            message::{Candidacy, Input, Member, Stamp, Sync},
            peers::send_sync,
        },
        process::Shared,
    },
    kameo::{Actor, actor::ActorRef},
    oriolehoist_keyspace::AssignmentTable,
    oriolehoist_log::{Event, report},
    oriolehoist_port::StoreRequest,
    oriolehoist_time::Millis,
    std::sync::{Arc, atomic::Ordering},
};

/// Without a word of the assigner for this long, a daemon tries to become it.
const SILENCE: Millis = Millis(700);
/// What the assigner said of the servers is not relied on after this time. It is renewed with the
/// lease, and told with the next message, some 600 ms at the most while all is well.
const SERVERS_OLD: Millis = Millis(900);
/// How much longer each further daemon waits, so that they don't all try at once.
const RANK_DELAY: Millis = Millis(60);
/// Into how many ranks daemons fall by their names.
const RANKS: u32 = 8;
/// The pause between two attempts to become the assigner.
const CANDIDACY_PAUSE: Millis = Millis(250);
/// Time between two messages to a peer.
const SYNC_INTERVAL: Millis = Millis(200);
/// How many daemons besides the assigner trust a waiting watch of the configuration for a short
/// time only. The others hear of changes from the assigner if their own watch has gone silent.
const CLOSE_CONFIG_WATCHERS: usize = 2;
/// A daemon that has not answered the assigner for this long is no longer among the members, until
/// it answers again.
const UNREACHABLE_AFTER: Millis = Millis::from_secs(20);
/// How many messages a second the assigner sends to all peers together.
const SYNCS_PER_SECOND: u64 = 100;

/// The actor that holds all control state of a daemon.
#[derive(Actor)]
pub(crate) struct Control {
    pub(super) cx: Arc<Shared>,
    pub(super) store: Arc<StoreClient>,
    pub(super) me: Member,
    pub(super) known: Knowledge,
    /// The daemons that are registered; some may not answer.
    registered: Vec<Member>,
    pub(super) role: Role,
    started: Millis,
    /// When the assigner was last heard.
    pub(super) heard_at: Millis,
    pub(super) heard: bool,
    pub(super) term: u64,
    /// The last reading of the servers succeeded, and the next one waits for changes.
    watching_servers: bool,
    /// Until when servers may be missing that live.
    servers_settle_at: Millis,
}

/// What the daemon is to the others.
pub(super) enum Role {
    Follower {
        next_try: Millis,
    },
    /// An attempt to become the assigner is under way.
    Candidate,
    Assigner(Box<Assigner>),
}

impl Control {
    pub(crate) fn new(cx: Arc<Shared>, store: Arc<StoreClient>, me: Member) -> Control {
        let now = cx.clock.now();
        Control {
            cx,
            store,
            me,
            known: Knowledge::default(),
            registered: Vec::new(),
            role: Role::Follower { next_try: now },
            started: now,
            heard_at: Millis::ZERO,
            heard: false,
            term: 0,
            watching_servers: false,
            servers_settle_at: Millis::ZERO,
        }
    }

    pub(super) fn now(&self) -> Millis {
        self.cx.clock.now()
    }

    fn tick(&mut self, me: &ActorRef<Control>) {
        let now = self.now();
        match &mut self.role {
            Role::Follower { next_try } => {
                let rank = u64::from(self.me.instance.bytes().map(u32::from).sum::<u32>() % RANKS);
                let silent = now.since(self.heard_at) > SILENCE + RANK_DELAY * rank;
                if silent && self.heard {
                    self.heard = false;
                    report(Event::AssignerHeard, format_args!("heard=false term={}", self.term));
                    self.cx.assigner_silent.notify_one();
                }
                if silent && now >= *next_try && !self.cx.is_stopping() {
                    self.role = Role::Candidate;
                    let (cx, store) = (Arc::clone(&self.cx), Arc::clone(&self.store));
                    let (member, me) = (self.me.clone(), me.clone());
                    tokio::spawn(async move {
                        let candidacy = stand(&cx, &store, &member).await;
                        // The actor only ends with the process.
                        let _ = me.tell(Input::Candidacy(candidacy)).await;
                    });
                }
            }
            Role::Candidate => {}
            Role::Assigner(assigner) if !assigner.is_permitted(now) => {
                self.step_down("the lease could not be renewed");
            }
            Role::Assigner(assigner) => {
                let own = self.cx.take_load();
                assigner.on_load(&own);
                let routes = assigner.tick(&self.cx, &self.store, me);
                if routes != self.known.routes {
                    let stamp = self.next_stamp(self.known.versions.routes);
                    self.known.offer_routes(stamp, routes);
                    self.known.publish(&self.cx);
                }
                self.update_members();
                self.sync_peers(me, false);
            }
        }
        self.update_readiness();
    }

    pub(super) fn update_readiness(&self) {
        let ready = self.known.can_serve() && !self.cx.is_stopping();
        if self.cx.ready.swap(ready, Ordering::Relaxed) != ready {
            report(Event::Readiness, format_args!("ready={ready}"));
        }
    }

    /// Returns the stamp of the next change of a matter under this daemon's term.
    fn next_stamp(&self, stamp: Stamp) -> Stamp {
        let count = if stamp.term == self.term { stamp.count + 1 } else { 1 };
        Stamp { term: self.term, count }
    }

    /// Tells the peers what they lack, and that the assigner lives.
    pub(super) fn sync_peers(&mut self, me: &ActorRef<Control>, resigning: bool) {
        let now = self.now();
        let Role::Assigner(assigner) = &mut self.role else { return };
        let peers = self.registered.len() as u64;
        let interval = SYNC_INTERVAL.max(Millis(peers * 1000 / SYNCS_PER_SECOND));
        let versions = self.known.versions;
        for member in self.registered.iter().filter(|member| **member != self.me) {
            let peer = assigner.peer(now, member);
            let lacks = peer.versions != versions;
            if peer.in_flight || (now < peer.next && !lacks && !resigning) {
                continue;
            }
            let sync = Sync {
                from: self.me.clone(),
                term: self.term,
                versions,
                servers_age: now.since(self.known.servers_fresh_at),
                resigning,
                config: (peer.versions.config < versions.config)
                    .then(|| self.known.config_bytes.clone()),
                servers: (peer.versions.servers != versions.servers)
                    .then(|| self.known.servers.clone()),
                routes: (peer.versions.routes != versions.routes)
                    .then(|| self.known.routes.clone()),
                members: (peer.versions.members != versions.members)
                    .then(|| self.known.members.clone()),
            };
            peer.in_flight = true;
            peer.next = now + interval;
            tokio::spawn(send_sync(Arc::clone(&self.cx), me.clone(), member.clone(), sync));
        }
    }

    /// Takes those registered daemons as members that answer.
    fn update_members(&mut self) {
        let now = self.now();
        let Role::Assigner(assigner) = &mut self.role else { return };
        let mut members = self.registered.clone();
        members.retain(|member| {
            *member == self.me
                || now.since(assigner.peer(now, member).answered_at) < UNREACHABLE_AFTER
        });
        if members != self.known.members {
            report(
                Event::MembersChanged,
                format_args!("members={} registered={}", members.len(), self.registered.len()),
            );
            self.known.members = members;
            self.known.versions.members = self.next_stamp(self.known.versions.members);
            self.known.publish(&self.cx);
        }
    }

    /// Returns whether this daemon is to notice a watch of the configuration that has gone silent
    /// sooner than most: as the assigner, as one of a few others, or because no assigner is heard.
    pub(super) fn watches_config_closely(&self) -> bool {
        let position = self.known.members.iter().position(|member| *member == self.me);
        matches!(self.role, Role::Assigner(_))
            || !self.heard
            || position.is_none_or(|position| position < CLOSE_CONFIG_WATCHERS)
    }

    fn on_candidacy(&mut self, me: &ActorRef<Control>, candidacy: Candidacy) {
        let now = self.now();
        self.role = Role::Follower { next_try: now + CANDIDACY_PAUSE };
        let Candidacy::Won { won, table } = candidacy else { return };
        match Assigner::new(&self.cx, self.started, won, table, &self.known) {
            Ok(mut assigner) if !self.cx.is_stopping() => {
                assigner.wait_for_servers(self.servers_settle_at);
                self.term = won.term.0;
                report(Event::TermWon, format_args!("term={}", self.term));
                self.known.versions.servers = self.next_stamp(Stamp::default());
                self.known.versions.members = self.next_stamp(Stamp::default());
                self.role = Role::Assigner(Box::new(assigner));
                // Until they have been read, those that the earlier assigner told.
                self.registered = self.known.members.clone();
                self.tick(me);
            }
            Ok(_) => self.end_lease(won.lease),
            Err(error) => {
                report(Event::TermAttemptFailed, format_args!("table=\"{error}\""));
                self.end_lease(won.lease);
            }
        }
    }

    fn end_lease(&self, lease: oriolehoist_port::LeaseId) {
        let store = Arc::clone(&self.store);
        tokio::spawn(async move {
            // If it fails, the lease ends by itself.
            let _ = store.call(StoreRequest::RevokeLease(lease)).await;
        });
    }

    pub(super) fn step_down(&mut self, why: &str) {
        if let Role::Assigner(assigner) = &self.role {
            assigner.sender.revoke();
            report(Event::TermLost, format_args!("term={} why=\"{why}\"", self.term));
            self.role = Role::Follower { next_try: self.now() + CANDIDACY_PAUSE };
            self.heard_at = self.now();
        }
    }

    pub(super) fn on_input(&mut self, me: &ActorRef<Control>, input: Input) {
        let now = self.now();
        match input {
            Input::Tick => self.tick(me),
            Input::Config(bytes) => {
                if self.known.offer_config(&self.cx, &bytes) {
                    if let Role::Assigner(assigner) = &mut self.role {
                        assigner.on_servers(now, &self.known, false);
                    }
                    self.known.publish(&self.cx);
                    self.sync_peers(me, false);
                }
            }
            Input::StoredTable(bytes) => {
                let first = self.known.versions.routes == Stamp::default();
                match serde_json::from_slice::<AssignmentTable>(&bytes) {
                    Ok(table) if first => {
                        self.known.routes = table.routes();
                        self.known.publish(&self.cx);
                        self.update_readiness();
                    }
                    Ok(_) => {}
                    Err(error) => {
                        let text = format_args!("table=\"{error}\"");
                        report(Event::TermAttemptFailed, text);
                    }
                }
            }
            Input::ServersUnread => self.watching_servers = false,
            Input::Servers { began, list, settles_at } => {
                self.watching_servers = true;
                self.servers_settle_at = settles_at;
                let changed = self.known.offer_servers(began, list);
                match &mut self.role {
                    Role::Assigner(assigner) => {
                        assigner.wait_for_servers(settles_at);
                        assigner.on_servers(now, &self.known, changed);
                        if changed {
                            let stamp = self.known.versions.servers;
                            self.known.versions.servers = self.next_stamp(stamp);
                        }
                    }
                    // The assigner's list is asked for again once it is heard.
                    _ => self.known.versions.servers = Stamp::default(),
                }
                if changed {
                    self.known.publish(&self.cx);
                    self.tick(me);
                }
            }
            Input::Members(members) => {
                self.registered = members;
                self.update_members();
            }
            Input::Candidacy(candidacy) => self.on_candidacy(me, candidacy),
            Input::Synced { to, answer } => {
                let newer = answer.as_ref().and_then(|answer| answer.config.clone());
                let higher = answer.as_ref().is_some_and(|answer| answer.term > self.term);
                if let Role::Assigner(assigner) = &mut self.role {
                    assigner.on_synced(now, &to, answer.as_ref());
                }
                if let Some(bytes) = newer {
                    self.on_input(me, Input::Config(bytes));
                }
                if higher {
                    self.step_down("a peer knows a higher term");
                }
            }
            Input::LeaseKept { term, sent, answer } => {
                // The store answers this daemon, and a watch of the servers is waiting there.
                if answer.is_ok() && self.watching_servers {
                    self.known.servers_fresh_at = self.known.servers_fresh_at.max(sent);
                }
                self.with_term(term, "the lease has ended", |assigner| {
                    assigner.on_lease_kept(now, sent, &answer)
                });
            }
            Input::TableWritten { term, version, end } => {
                self.with_term(term, "another daemon is the assigner", |assigner| {
                    assigner.on_table_written(now, version, &end)
                });
                self.tick(me);
            }
            Input::OrderEnded { term, service, flight, end } => {
                self.with_term(term, "", |assigner| {
                    assigner.on_order_ended(now, &service, flight, &end);
                    true
                });
                self.tick(me);
            }
        }
    }

    /// Lets the assigner of `term` act, and steps down if it says that it no longer is.
    fn with_term(
        &mut self,
        term: oriolehoist_port::Revision,
        why: &str,
        act: impl FnOnce(&mut Assigner) -> bool,
    ) {
        let goes_on = match &mut self.role {
            Role::Assigner(assigner) if assigner.won.term == term => act(assigner),
            _ => true,
        };
        if !goes_on {
            self.step_down(why);
        }
    }

    /// Returns whether this daemon reads the servers in the store itself: as the assigner, or
    /// because what the assigner said has grown old.
    pub(super) fn reads_servers(&self) -> bool {
        let old = self.now().since(self.known.servers_fresh_at) > SERVERS_OLD;
        matches!(self.role, Role::Assigner(_)) || old
    }
}
