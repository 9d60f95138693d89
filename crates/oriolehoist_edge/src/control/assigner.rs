//! The assigner's role: plans the ownership of keys, stores it in the table, and sends orders to
//! servers.

use {
    crate::{
        control::{
            actor::Control,
            claim::{lease_ttl, takeover},
            cluster_state::ClusterState,
            field::OrDash,
            message::{Input, TableWrite, TermLease},
            orders::OrderSender,
            reclaim::Suspension,
            role_reach::RoleReach,
            store::{StoreClient, StoreError},
            table::write_table,
        },
        process::Shared,
    },
    kameo::actor::ActorRef,
    oriolehoist_keyspace::{
        AssignmentTable, FenceCounter, KeyRoutes, LoadReport, OrderId, OrderOutcome, RangeAssigner,
        StatedNeeds,
    },
    oriolehoist_log::{Event, report},
    oriolehoist_port::{LeaseId, Revision, StoreRequest, StoreResponse},
    oriolehoist_time::Millis,
    smol_str::SmolStr,
    std::{collections::BTreeMap, sync::Arc},
};

/// The time between renewals of the assigner's lease.
const LEASE_RENEWAL_INTERVAL: Millis = Millis(400);
/// The delay before a failed renewal is retried.
const LEASE_RENEWAL_RETRY_DELAY: Millis = Millis(100);
/// If the lease has not been renewed for this long, grants are extended to the maximum duration.
const LEASE_AT_RISK_AFTER: Millis = Millis(700);
/// How long before the lease expires the assigner stops acting.
const LEASE_EXPIRY_MARGIN: Millis = Millis(30);
/// The first assignment is planned once the list of servers has not changed for this long.
const SERVERS_SETTLE_TIME: Millis = Millis(1500);
/// How long after its start a daemon that takes over waits for servers to register again.
pub(super) const STARTUP_GRACE: Millis = Millis(2500);
/// The time between two looks at what servers have said.
const STATEMENTS_INTERVAL: Millis = Millis(200);
/// How long after a completed move the table is stored again, so that several moves share a write.
const TABLE_CLEANUP_DELAY: Millis = Millis(500);
/// The delay before a failed write of the table is retried.
const TABLE_WRITE_RETRY_DELAY: Millis = Millis(150);

/// The state of the assigner.
pub(crate) struct Assigner {
    pub(crate) term_lease: TermLease,
    /// The term in which this daemon became the assigner. It identifies the state that the outcomes
    /// of orders belong to.
    pub(crate) first_term: Revision,
    /// Set if the store is in a later era than the term.
    pub(crate) suspension: Option<Suspension>,
    pub(crate) order_sender: Arc<OrderSender>,
    pub(super) range_assigners: BTreeMap<SmolStr, RangeAssigner>,
    fences: FenceCounter,
    /// The latest planned version of the table, and the latest version that is stored.
    planned_version: u64,
    stored_version: u64,
    write_in_flight: bool,
    next_write_at: Millis,
    table_revision: Revision,
    lease_renewed_at: Millis,
    renewal_in_flight: bool,
    next_renewal_at: Millis,
    lease_at_risk: bool,
    servers_changed_at: Millis,
    /// When to store the table again because moves have completed.
    table_cleanup_at: Option<Millis>,
    next_statements_at: Millis,
    pub(super) reach: RoleReach,
    /// Nothing is planned before this time.
    plan_after: Millis,
    /// Until this time servers may have grants that this daemon does not know. Keys are neither
    /// assigned nor granted before.
    act_after: Millis,
}

impl Assigner {
    /// Takes over the role, continuing from the stored table.
    pub(crate) fn new(
        cx: &Arc<Shared>,
        started: Millis,
        term_lease: TermLease,
        table: Option<AssignmentTable>,
        fences: FenceCounter,
        state: &ClusterState,
    ) -> Assigner {
        let now = cx.clock.now();
        let valid_until = term_lease.expiry.since(LEASE_EXPIRY_MARGIN);
        let known_takeover = takeover(cx, table.as_ref(), !state.key_routes().is_empty());
        let act_after = known_takeover.map_or(Millis::ZERO, |takeover| {
            let max_grant_duration = cx.bootstrap.bounds.max_grant_duration;
            takeover.unknown_grants_end_at(lease_ttl(cx), max_grant_duration)
        });
        let mut assigner = Assigner {
            term_lease,
            first_term: term_lease.term,
            suspension: None,
            order_sender: Arc::new(OrderSender::new(Arc::clone(cx), term_lease.term, valid_until)),
            range_assigners: BTreeMap::new(),
            fences,
            planned_version: 0,
            stored_version: 0,
            write_in_flight: false,
            next_write_at: now,
            // The claim of the role has written the table.
            table_revision: term_lease.term,
            lease_renewed_at: now,
            renewal_in_flight: false,
            next_renewal_at: now + LEASE_RENEWAL_INTERVAL,
            lease_at_risk: false,
            servers_changed_at: now,
            table_cleanup_at: None,
            next_statements_at: now,
            reach: RoleReach::default(),
            plan_after: if now.since(started) < STARTUP_GRACE { now + STARTUP_GRACE } else { now },
            act_after,
        };
        if let Some(table) = table {
            // Of an outdated table nothing holds any more when this assigner starts to act.
            let is_outdated = known_takeover.is_some_and(|takeover| takeover.table_is_outdated());
            for (service, assigned) in table.services.iter().filter(|_| !is_outdated) {
                let mut range_assigner = RangeAssigner::new();
                let max_duration = cx.bootstrap.bounds.max_grant_duration;
                range_assigner.adopt(now, assigned, table.fence_limit, max_duration);
                assigner.range_assigners.insert(service.clone(), range_assigner);
            }
        }
        assigner.on_servers(now, state, true);
        assigner
    }

    /// Delays planning until the given time, because live servers may not have registered again
    /// yet.
    pub(crate) fn wait_for_servers(&mut self, until: Millis) {
        self.plan_after = self.plan_after.max(until);
    }

    /// Continues in a new term, in an era in which the store has returned to an older copy. No other
    /// daemon has been the assigner since this one was suspended.
    pub(crate) fn resume(&mut self, now: Millis, term_lease: TermLease, fences: FenceCounter) {
        self.suspension = None;
        self.term_lease = term_lease;
        self.order_sender.extend_lease(term_lease.expiry.since(LEASE_EXPIRY_MARGIN));
        self.lease_renewed_at = now;
        self.renewal_in_flight = false;
        self.next_renewal_at = now + LEASE_RENEWAL_INTERVAL;
        // The store may have an older table. What is known here is written again.
        self.table_revision = term_lease.term;
        self.fences = fences;
        self.planned_version += 1;
        self.write_in_flight = false;
        self.next_write_at = now;
    }

    /// Returns whether keys can't be assigned or granted yet, because servers may have grants that
    /// this daemon does not know.
    pub(crate) fn awaits_unknown_grants(&self, now: Millis) -> bool {
        now < self.act_after
    }

    /// Returns whether this daemon may act as the assigner.
    pub(crate) fn holds_lease(&self, now: Millis) -> bool {
        now < self.order_sender.lease_valid_until()
    }

    /// Updates the registered servers of the sharded services.
    pub(crate) fn on_servers(&mut self, now: Millis, state: &ClusterState, changed: bool) {
        if changed {
            self.servers_changed_at = now;
            // A server that has just started may take fewer requests than others.
            self.next_statements_at = now;
        }
        let Some(config) = &state.config else { return };
        for (service, spec) in config.services.iter().filter(|(_, spec)| spec.sharded) {
            let range_assigner = self.range_assigners.entry(service.clone()).or_default();
            let servers = state.servers.iter().filter(|entry| entry.service == *service);
            range_assigner.on_servers(now, servers);
            // Servers that are cold lose keys, and have to get them back.
            range_assigner.set_relief(spec.server_warm_up.is_some());
            range_assigner.set_evacuated(now, state.evacuations.names());
        }
    }

    /// Performs all actions that are due. Returns the routes of all services.
    pub(crate) fn tick(
        &mut self,
        cx: &Arc<Shared>,
        store: &Arc<StoreClient>,
        control: &ActorRef<Control>,
    ) -> BTreeMap<SmolStr, KeyRoutes> {
        let now = cx.clock.now();
        self.renew_lease_if_due(now, cx, store, control);
        if self.holds_lease(now) && !self.awaits_unknown_grants(now) {
            self.update_statements(now, cx);
            self.plan(now, cx);
            self.write_table(now, cx, store, control);
            self.send_orders(now, cx, control);
        }
        let routes = self
            .range_assigners
            .iter()
            .map(|(name, range_assigner)| (name.clone(), range_assigner.routes(now)));
        routes.filter(|(_, routes)| !routes.is_empty()).collect()
    }

    fn renew_lease_if_due(
        &mut self,
        now: Millis,
        cx: &Arc<Shared>,
        store: &Arc<StoreClient>,
        control: &ActorRef<Control>,
    ) {
        let lease_at_risk = now.since(self.lease_renewed_at) > LEASE_AT_RISK_AFTER;
        if lease_at_risk && !self.lease_at_risk {
            for range_assigner in self.range_assigners.values_mut() {
                range_assigner.renew_now(now);
            }
        }
        self.lease_at_risk = lease_at_risk;
        if self.renewal_in_flight || now < self.next_renewal_at {
            return;
        }
        self.renewal_in_flight = true;
        let (store, control, clock) = (Arc::clone(store), control.clone(), cx.clock);
        let TermLease { term, lease, .. } = self.term_lease;
        tokio::spawn(async move {
            let sent_at = clock.now();
            let response = store.call(StoreRequest::RenewLease(lease)).await;
            // The actor runs until the process exits.
            let _ = control.tell(Input::LeaseRenewed { term, sent_at, response }).await;
        });
    }

    /// Handles the result of a lease renewal. Returns whether this daemon is still the assigner.
    pub(crate) fn on_lease_renewed(
        &mut self,
        now: Millis,
        sent_at: Millis,
        response: &Result<StoreResponse, StoreError>,
    ) -> bool {
        self.renewal_in_flight = false;
        self.next_renewal_at = now.max(sent_at + LEASE_RENEWAL_INTERVAL);
        match response {
            Ok(StoreResponse::Lease { ttl: length, .. }) => {
                self.lease_renewed_at = sent_at;
                let until = sent_at + *length;
                self.order_sender.extend_lease(until.since(LEASE_EXPIRY_MARGIN));
                true
            }
            Ok(_) => false,
            Err(_) => {
                self.next_renewal_at = now + LEASE_RENEWAL_RETRY_DELAY;
                true
            }
        }
    }

    /// Passes what servers have said on to the placement of their keys.
    fn update_statements(&mut self, now: Millis, cx: &Shared) {
        if now < self.next_statements_at {
            return;
        }
        self.next_statements_at = now + STATEMENTS_INTERVAL;
        let Some(view) = cx.view.load() else { return };
        for range_assigner in self.range_assigners.values_mut() {
            range_assigner.on_statements(|incarnation| {
                let backend = view.backends.get(&incarnation.id)?;
                let availability = backend.availability();
                let stated = StatedNeeds {
                    rate_limit: availability.placement_limit(now),
                    leaving: availability.leaving_for(now).is_some(),
                };
                (backend.incarnation == *incarnation).then_some(stated)
            });
        }
    }

    fn plan(&mut self, now: Millis, cx: &Shared) {
        // Renewals need tokens also while nothing is planned yet. A plan uses only a few of them, so a
        // block that runs low is noticed before it is used up.
        let reserve = self.fences.is_running_low() && self.stored_version >= self.planned_version;
        if now < self.plan_after {
            self.planned_version += u64::from(reserve);
            return;
        }
        let settled = now.since(self.servers_changed_at) >= SERVERS_SETTLE_TIME;
        let version = self.planned_version + 1;
        let mut changed = false;
        for (service, range_assigner) in &mut self.range_assigners {
            let is_initial = range_assigner.is_unassigned();
            if (settled || !is_initial) && range_assigner.plan(now, version, &mut self.fences) {
                changed = true;
                let (term, revision) = (self.term_lease.term, self.table_revision);
                let era = OrDash(cx.store_era());
                let unresponsive = range_assigner.unresponsive_servers(now).count();
                report(
                    Event::OwnershipPlanned,
                    format_args!(
                        "service={service} version={version} first={is_initial} term={term} \
                         table_revision={revision} era={era} unresponsive={unresponsive}"
                    ),
                );
            }
        }
        for range_assigner in self.range_assigners.values_mut() {
            if range_assigner.take_stored_table_stale() {
                self.table_cleanup_at.get_or_insert(now + TABLE_CLEANUP_DELAY);
            }
        }
        if changed || reserve || self.table_cleanup_at.is_some_and(|at| now >= at) {
            self.planned_version = version;
            self.table_cleanup_at = None;
        }
    }

    fn write_table(
        &mut self,
        now: Millis,
        cx: &Arc<Shared>,
        store: &Arc<StoreClient>,
        control: &ActorRef<Control>,
    ) {
        if self.write_in_flight
            || self.stored_version >= self.planned_version
            || now < self.next_write_at
        {
            return;
        }
        let services = self
            .range_assigners
            .iter()
            .map(|(name, range_assigner)| (name.clone(), range_assigner.assigned_ranges()));
        let table = AssignmentTable {
            writer: cx.incarnation.0,
            version: self.planned_version,
            era: self.term_lease.term.era(),
            fence_limit: self.fences.next_limit(),
            services: services.collect(),
        };
        self.write_in_flight = true;
        let (store, control) = (Arc::clone(store), control.clone());
        let (term, previous_revision) = (self.term_lease.term, self.table_revision);
        tokio::spawn(async move {
            let outcome = write_table(&store, term, previous_revision, &table).await;
            let version = table.version;
            // The actor runs until the process exits.
            let _ = control.tell(Input::TableWritten { term, version, outcome }).await;
        });
    }

    /// Handles the result of a table write. Returns whether this daemon is still the assigner.
    pub(crate) fn on_table_written(
        &mut self,
        now: Millis,
        version: u64,
        outcome: &TableWrite,
    ) -> bool {
        self.write_in_flight = false;
        match outcome {
            TableWrite::Stored { revision, fence_limit } => {
                self.table_revision = *revision;
                self.stored_version = version;
                self.fences.on_stored(*fence_limit);
                for range_assigner in self.range_assigners.values_mut() {
                    range_assigner.on_stored(version);
                }
                true
            }
            TableWrite::Earlier(revision) => {
                self.table_revision = *revision;
                true
            }
            TableWrite::Superseded => false,
            TableWrite::Failed => {
                self.next_write_at = now + TABLE_WRITE_RETRY_DELAY;
                true
            }
        }
    }

    fn send_orders(&mut self, now: Millis, cx: &Arc<Shared>, control: &ActorRef<Control>) {
        let max_grant_duration = cx.bootstrap.bounds.max_grant_duration;
        let table_version = self.stored_version;
        for (service, range_assigner) in &mut self.range_assigners {
            let grant_duration = match self.lease_at_risk {
                true => max_grant_duration,
                false => range_assigner.grant_duration().min(max_grant_duration),
            };
            for order in range_assigner.due_orders(now, grant_duration, &mut self.fences) {
                let (order_sender, control) = (Arc::clone(&self.order_sender), control.clone());
                let (term, service) = (self.first_term, service.clone());
                tokio::spawn(async move {
                    let outcome = order_sender.send(&order, table_version).await;
                    let order_id = order.id;
                    // The actor runs until the process exits.
                    let _ =
                        control.tell(Input::OrderEnded { term, service, order_id, outcome }).await;
                });
            }
        }
    }

    pub(crate) fn on_order_ended(
        &mut self,
        now: Millis,
        service: &SmolStr,
        order_id: OrderId,
        outcome: &OrderOutcome,
    ) {
        if let Some(range_assigner) = self.range_assigners.get_mut(service) {
            range_assigner.on_order_ended(now, order_id, outcome);
        }
    }

    /// Adds the request counts and service times measured by a daemon.
    pub(crate) fn on_load(&mut self, reports: &[(SmolStr, LoadReport)]) {
        for (service, report) in reports {
            if let Some(range_assigner) = self.range_assigners.get_mut(service) {
                range_assigner.on_load(report);
            }
        }
    }

    /// Returns the number of keys of all services that have not left evacuated zones.
    pub(crate) fn keys_in_evacuated_zones(&self) -> u32 {
        self.range_assigners.values().map(RangeAssigner::keys_in_evacuated_zones).sum()
    }

    /// Returns the lease, for revoking it.
    pub(crate) fn lease(&self) -> LeaseId {
        self.term_lease.lease
    }
}
