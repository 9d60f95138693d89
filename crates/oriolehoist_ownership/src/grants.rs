use {
    derive_more::{Display, Error},
    oriolehoist_protocol::{
        Epoch, HeldGrant, Incarnation, LoadReport, Order, OrderBody, OrderOutcome, ServerAnswer,
        ShardGrant, ShardId, Term,
    },
    oriolehoist_time::Millis,
    std::collections::BTreeMap,
};

/// Why a backend server may not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum GrantRefusal {
    /// The server holds no grant for the shard.
    #[display("no grant for the shard")]
    NotOwner,
    /// The grant has a different epoch from the request's.
    #[display("the grant has another epoch")]
    WrongEpoch,
    /// The grant has lapsed.
    #[display("the grant has lapsed")]
    Lapsed,
}

impl Work {
    /// Returns the shard that the work is for.
    pub fn shard(&self) -> ShardId {
        self.shard
    }
}

/// The grants of one service at one backend server.
///
/// Neither the highest term nor the least acceptable epoch of a shard ever falls, so that a
/// delayed or repeated order cannot bring an ended grant back.
#[derive(Clone, Debug)]
pub struct GrantTable {
    incarnation: Incarnation,
    highest_term: Term,
    list: u64,
    not_after: Millis,
    /// Counts the times at which renewals stopped for so long that everything lapsed.
    lapses: u64,
    grants: BTreeMap<ShardId, Epoch>,
    least: BTreeMap<ShardId, Epoch>,
    working: BTreeMap<ShardId, u32>,
    /// Revoked grants under which work is still in flight.
    ending: BTreeMap<ShardId, Epoch>,
}

/// Work that a server has begun under a grant.
///
/// Before the work takes effect the server asks [`GrantTable::may_take_effect`], and afterwards
/// it must call [`GrantTable::end`], whatever came of the work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    shard: ShardId,
    epoch: Epoch,
    lapses: u64,
}

impl GrantTable {
    /// Creates the table of a server that has just started and holds nothing.
    pub fn new(incarnation: Incarnation) -> GrantTable {
        GrantTable {
            incarnation,
            highest_term: Term(0),
            list: 0,
            not_after: Millis::ZERO,
            lapses: 0,
            grants: BTreeMap::new(),
            least: BTreeMap::new(),
            working: BTreeMap::new(),
            ending: BTreeMap::new(),
        }
    }

    /// Takes an order at the server's time `now`.
    ///
    /// A revocation takes effect at once; the caller must hold the answer back until
    /// [`GrantTable::is_idle`] for the revoked grants.
    pub fn take(&mut self, now: Millis, order: &Order, load: LoadReport) -> ServerAnswer {
        let outcome = self.outcome(now, order);
        let held = match order.body {
            OrderBody::Probe if outcome == OrderOutcome::Accepted => self.held(now),
            _ => Vec::new(),
        };
        ServerAnswer {
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
            Some(_) if now >= self.not_after => Err(GrantRefusal::Lapsed),
            Some(held) if *held != epoch => Err(GrantRefusal::WrongEpoch),
            Some(_) => Ok(()),
        }
    }

    /// Begins work for `shard` under `epoch`.
    ///
    /// # Errors
    ///
    /// Returns why the request must not run.
    pub fn begin(
        &mut self,
        now: Millis,
        shard: ShardId,
        epoch: Epoch,
    ) -> Result<Work, GrantRefusal> {
        self.check(now, shard, epoch)?;
        *self.working.entry(shard).or_default() += 1;
        Ok(Work { shard, epoch, lapses: self.lapses })
    }

    /// Returns whether work may take effect: its grant has been in force without a gap, or was
    /// revoked and the revocation still waits for it.
    pub fn may_take_effect(&self, now: Millis, work: &Work) -> bool {
        let held = self.grants.get(&work.shard).or(self.ending.get(&work.shard));
        now < self.not_after && self.lapses == work.lapses && held == Some(&work.epoch)
    }

    /// Ends work.
    pub fn end(&mut self, work: Work) {
        let left = self.working.get(&work.shard).map_or(0, |count| count.saturating_sub(1));
        match left {
            0 => {
                self.working.remove(&work.shard);
                self.ending.remove(&work.shard);
            }
            left => drop(self.working.insert(work.shard, left)),
        }
    }

    /// Returns whether no work is in flight under these grants once they are revoked.
    pub fn is_idle(&self, grants: &[ShardGrant]) -> bool {
        grants.iter().all(|grant| !self.ending.contains_key(&grant.shard))
    }

    /// Returns what an assigner must know of: the grants in force, and the revoked ones under
    /// which work is still in flight.
    fn held(&self, now: Millis) -> Vec<HeldGrant> {
        let in_force = self.live(now).into_iter().map(|grant| HeldGrant { grant, ending: false });
        let ending = self
            .ending
            .iter()
            .filter(|_| now < self.not_after)
            .map(|(&shard, &epoch)| ShardGrant { shard, epoch })
            .map(|grant| HeldGrant { grant, ending: true });
        in_force.chain(ending).collect()
    }

    /// Returns the grants in force at `now`.
    pub fn live(&self, now: Millis) -> Vec<ShardGrant> {
        if now >= self.not_after {
            return Vec::new();
        }
        self.grants.iter().map(|(&shard, &epoch)| ShardGrant { shard, epoch }).collect()
    }

    fn outcome(&mut self, now: Millis, order: &Order) -> OrderOutcome {
        if order.term < self.highest_term {
            return OrderOutcome::StaleTerm;
        }
        if order.term > self.highest_term {
            // A new assigner numbers its lists from the start.
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
            // A list that is older than the one in force was delayed on the way.
            _ if list < self.list => return OrderOutcome::StaleEcho,
            None if list != self.list => return OrderOutcome::UnknownList,
            Some(grants) if list > self.list => self.replace(list, grants),
            _ => {}
        }
        if now >= self.not_after {
            self.lapses += 1;
        }
        self.not_after = self.not_after.max(not_after);
        OrderOutcome::Accepted
    }

    fn replace(&mut self, list: u64, grants: &[ShardGrant]) {
        self.list = list;
        self.grants = grants
            .iter()
            .filter(|grant| self.least.get(&grant.shard).is_none_or(|l| grant.epoch >= *l))
            .map(|grant| (grant.shard, grant.epoch))
            .collect();
    }

    fn revoke(&mut self, grants: &[ShardGrant]) -> OrderOutcome {
        for grant in grants {
            let least = self.least.entry(grant.shard).or_default();
            *least = (*least).max(grant.epoch.next());
            match self.grants.get(&grant.shard) {
                Some(held) if held < least && self.working.contains_key(&grant.shard) => {
                    self.ending.insert(grant.shard, *held);
                    self.grants.remove(&grant.shard);
                }
                Some(held) if held < least => drop(self.grants.remove(&grant.shard)),
                _ => {}
            }
        }
        OrderOutcome::Accepted
    }
}
