use {
    derive_more::{Display, Error},
    oriolehoist_protocol::{
        Epoch, HeldGrant, Incarnation, LoadReport, Order, OrderBody, OrderOutcome, OrderResponse,
        ServiceName, ShardGrant, ShardId, Term,
    },
    oriolehoist_time::Millis,
    std::collections::BTreeMap,
};

/// Why a backend server must not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum GrantRefusal {
    /// The server has no grant for the shard.
    #[display("the server has no grant for the shard")]
    NotOwner,
    /// The epoch of the grant differs from the epoch of the request.
    #[display("the grant has a different epoch than the request")]
    WrongEpoch,
    /// The grant has expired.
    #[display("the grant has expired")]
    Expired,
}

/// A revoked grant under which work is still in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EndingGrant {
    epoch: Epoch,
    /// The value of [`GrantTable::expirations`] when the grant was revoked.
    expirations: u64,
}

impl WorkToken {
    /// Returns the shard that the work belongs to.
    pub fn shard(&self) -> ShardId {
        self.shard
    }
}

/// The grants that one backend server holds for one service.
///
/// The highest term and the minimum epochs never decrease, so that a delayed or duplicated order
/// cannot restore a grant that has ended.
#[derive(Clone, Debug)]
pub struct GrantTable {
    service: ServiceName,
    incarnation: Incarnation,
    highest_term: Term,
    /// The number of the current list of grants, or zero if there is none under `highest_term`.
    list: u64,
    /// When all grants expire, on the server's clock.
    not_after: Millis,
    /// The number of times that all grants expired because they were not renewed in time.
    expirations: u64,
    grants: BTreeMap<ShardId, Epoch>,
    /// The lowest epoch that is still accepted for a shard, raised by revocations.
    min_epochs: BTreeMap<ShardId, Epoch>,
    /// The number of units of work in flight for each shard.
    in_flight: BTreeMap<ShardId, u32>,
    /// Revoked grants under which work is still in flight.
    ending: BTreeMap<ShardId, EndingGrant>,
}

/// A token for one unit of work, such as a request, that a server runs under a grant.
///
/// Before the work takes effect, the server must check [`GrantTable::may_commit`]. When the
/// work has ended, successfully or not, it must call [`GrantTable::end_work`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkToken {
    shard: ShardId,
    epoch: Epoch,
    /// The value of [`GrantTable::expirations`] when the work began.
    expirations: u64,
}

impl GrantTable {
    /// Creates the table of a server of `service` that has just started and has no grants.
    pub fn new(service: ServiceName, incarnation: Incarnation) -> GrantTable {
        GrantTable {
            service,
            incarnation,
            highest_term: Term(0),
            list: 0,
            not_after: Millis::ZERO,
            expirations: 0,
            grants: BTreeMap::new(),
            min_epochs: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            ending: BTreeMap::new(),
        }
    }

    /// Applies an order at the server's time `now` and returns the response to it.
    ///
    /// A revocation takes effect immediately, but the caller must delay the response until
    /// [`GrantTable::is_drained`] returns `true` for the revoked grants.
    pub fn handle_order(&mut self, now: Millis, order: &Order, load: LoadReport) -> OrderResponse {
        let outcome = self.apply_order(now, order);
        let held = match order.body {
            OrderBody::Probe if outcome == OrderOutcome::Accepted => self.held_grants(now),
            _ => Vec::new(),
        };
        OrderResponse {
            outcome,
            incarnation: self.incarnation,
            time: now,
            highest_term: self.highest_term,
            list: self.list,
            held,
            load,
        }
    }

    /// Checks that the server may run a request for `shard` under `epoch` at its time `now`.
    ///
    /// # Errors
    ///
    /// Returns why the request must not run.
    pub fn check(&self, now: Millis, shard: ShardId, epoch: Epoch) -> Result<(), GrantRefusal> {
        match self.grants.get(&shard) {
            None => Err(GrantRefusal::NotOwner),
            Some(_) if now >= self.not_after => Err(GrantRefusal::Expired),
            Some(held) if *held != epoch => Err(GrantRefusal::WrongEpoch),
            Some(_) => Ok(()),
        }
    }

    /// Registers work in flight for `shard` under `epoch`.
    ///
    /// # Errors
    ///
    /// Returns why the work must not run.
    pub fn begin_work(
        &mut self,
        now: Millis,
        shard: ShardId,
        epoch: Epoch,
    ) -> Result<WorkToken, GrantRefusal> {
        self.check(now, shard, epoch)?;
        *self.in_flight.entry(shard).or_default() += 1;
        Ok(WorkToken { shard, epoch, expirations: self.expirations })
    }

    /// Returns whether work may take effect. Its grant must have been in force without interruption
    /// since the work began. A revoked grant counts as in force until it expires or the work under
    /// it has ended.
    pub fn may_commit(&self, now: Millis, work: &WorkToken) -> bool {
        let ending = self.ending.get(&work.shard).map(|ending| ending.epoch);
        let held = self.grants.get(&work.shard).copied().or(ending);
        now < self.not_after && self.expirations == work.expirations && held == Some(work.epoch)
    }

    /// Unregisters work that has ended.
    pub fn end_work(&mut self, work: WorkToken) {
        let remaining = self.in_flight.get(&work.shard).map_or(0, |count| count.saturating_sub(1));
        match remaining {
            0 => {
                self.in_flight.remove(&work.shard);
                self.ending.remove(&work.shard);
            }
            remaining => drop(self.in_flight.insert(work.shard, remaining)),
        }
    }

    /// Returns whether no work is in flight under any of these revoked grants.
    pub fn is_drained(&self, grants: &[ShardGrant]) -> bool {
        grants.iter().all(|grant| !self.ending.contains_key(&grant.shard))
    }

    /// Returns the grants that an assigner must know about: those in force, and revoked ones under
    /// which work is still in flight.
    fn held_grants(&self, now: Millis) -> Vec<HeldGrant> {
        let in_force =
            self.active_grants(now).into_iter().map(|grant| HeldGrant { grant, ending: false });
        let ending = self
            .ending
            .iter()
            .filter(|(_, ending)| now < self.not_after && ending.expirations == self.expirations)
            .map(|(&shard, ending)| ShardGrant { shard, epoch: ending.epoch })
            .map(|grant| HeldGrant { grant, ending: true });
        in_force.chain(ending).collect()
    }

    /// Returns the grants in force at `now`.
    pub fn active_grants(&self, now: Millis) -> Vec<ShardGrant> {
        if now >= self.not_after {
            return Vec::new();
        }
        self.grants.iter().map(|(&shard, &epoch)| ShardGrant { shard, epoch }).collect()
    }

    fn apply_order(&mut self, now: Millis, order: &Order) -> OrderOutcome {
        if order.service != self.service {
            return OrderOutcome::WrongService;
        }
        if order.term < self.highest_term {
            return OrderOutcome::StaleTerm;
        }
        if order.term > self.highest_term {
            // A new assigner starts numbering its grant lists from the beginning.
            self.highest_term = order.term;
            self.list = 0;
        }
        match &order.body {
            OrderBody::Probe => OrderOutcome::Accepted,
            OrderBody::Revoke { grants } => self.revoke(grants),
            OrderBody::Renew { incarnation, .. } if *incarnation != self.incarnation => {
                OrderOutcome::WrongIncarnation
            }
            OrderBody::Renew { echo, length, .. } if *echo + *length <= now => {
                OrderOutcome::StaleEcho
            }
            OrderBody::Renew { echo, length, list, grants, .. } => {
                self.renew(now, *echo + *length, *list, grants.as_deref())
            }
        }
    }

    fn renew(
        &mut self,
        now: Millis,
        not_after: Millis,
        list: u64,
        grants: Option<&[ShardGrant]>,
    ) -> OrderOutcome {
        match grants {
            // The list is older than the current one: the order was delayed in the network.
            _ if list < self.list => return OrderOutcome::StaleEcho,
            None if list != self.list => return OrderOutcome::UnknownList,
            Some(grants) if list > self.list => self.replace_grants(list, grants),
            _ => {}
        }
        if now >= self.not_after {
            self.expirations += 1;
        }
        self.not_after = self.not_after.max(not_after);
        OrderOutcome::Accepted
    }

    fn replace_grants(&mut self, list: u64, grants: &[ShardGrant]) {
        self.list = list;
        self.grants = grants
            .iter()
            .filter(|grant| self.min_epochs.get(&grant.shard).is_none_or(|min| grant.epoch >= *min))
            .map(|grant| (grant.shard, grant.epoch))
            .collect();
    }

    fn revoke(&mut self, grants: &[ShardGrant]) -> OrderOutcome {
        for grant in grants {
            let min_epoch = self.min_epochs.entry(grant.shard).or_default();
            *min_epoch = (*min_epoch).max(grant.epoch.next());
            match self.grants.get(&grant.shard) {
                Some(held) if held < min_epoch && self.in_flight.contains_key(&grant.shard) => {
                    let ending = EndingGrant { epoch: *held, expirations: self.expirations };
                    self.ending.insert(grant.shard, ending);
                    self.grants.remove(&grant.shard);
                }
                Some(held) if held < min_epoch => drop(self.grants.remove(&grant.shard)),
                _ => {}
            }
        }
        OrderOutcome::Accepted
    }
}
