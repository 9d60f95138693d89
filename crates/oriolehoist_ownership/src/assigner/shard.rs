use {
    crate::assigner::{ServerIndex, server::ServerEntry},
    oriolehoist_protocol::{Epoch, RouteState, ShardRoute, Version},
    oriolehoist_time::Millis,
};

/// How long after a loss a caller may still repeat a request that it had sent before.
const LOSS_REMEMBERED: Millis = Millis::from_secs(60);

/// Where a shard stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// An earlier assigner may have granted it to a server that has not answered yet.
    Unclaimed,
    /// No server holds it.
    Free,
    /// Granted; confirmed once the server has answered the list that contains it.
    Granted { server: ServerIndex, epoch: Epoch, list: u64, confirmed: bool },
    /// A planned move: the owner has been asked to end its work and hand the shard back.
    Revoking { from: ServerIndex, epoch: Epoch, to: ServerIndex },
}

/// What an assigner keeps for one shard.
#[derive(Clone, Debug)]
pub(super) struct ShardEntry {
    phase: Phase,
    last_owner: Option<ServerIndex>,
    next_owner: Option<ServerIndex>,
    last_epoch: Epoch,
    lost: bool,
    after_loss: bool,
    changed_at: Version,
    weight: u64,
    known: ShardRoute,
    granted: Millis,
}

impl ShardEntry {
    /// Creates a shard of which `known` is the last route that could be found.
    ///
    /// Requests go on using that route meanwhile: the server's own check decides.
    pub(super) fn unclaimed(
        last_owner: Option<ServerIndex>,
        known: &ShardRoute,
        first_term: bool,
    ) -> ShardEntry {
        ShardEntry {
            known: known.clone(),
            phase: Phase::Unclaimed,
            last_owner,
            next_owner: None,
            last_epoch: known.epoch,
            lost: false,
            after_loss: !first_term,
            granted: Millis::ZERO,
            changed_at: Version(1),
            weight: 1,
        }
    }

    pub(super) fn phase(&self) -> &Phase {
        &self.phase
    }

    pub(super) fn is_free(&self) -> bool {
        self.phase == Phase::Free
    }

    pub(super) fn is_confirmed(&self) -> bool {
        matches!(self.phase, Phase::Granted { confirmed: true, .. })
    }

    pub(super) fn weight(&self) -> u64 {
        self.weight
    }

    pub(super) fn changed_at(&self) -> Version {
        self.changed_at
    }

    pub(super) fn touch(&mut self, version: Version) {
        self.changed_at = version;
    }

    /// Returns the server that may hold a grant for the shard.
    pub(super) fn owner(&self) -> Option<ServerIndex> {
        match self.phase {
            Phase::Granted { server, .. } => Some(server),
            Phase::Revoking { from, .. } => Some(from),
            Phase::Unclaimed | Phase::Free => None,
        }
    }

    /// Returns the server that will hold the shard once moves under way are done.
    pub(super) fn planned_owner(&self) -> Option<ServerIndex> {
        match self.phase {
            Phase::Revoking { to, .. } => Some(to),
            _ => self.owner(),
        }
    }

    pub(super) fn last_owner(&self) -> Option<ServerIndex> {
        self.last_owner
    }

    /// Returns the server that should be given the shard next.
    pub(super) fn preferred(&self) -> Option<ServerIndex> {
        self.next_owner.or(self.last_owner)
    }

    /// Takes over a grant that an earlier assigner gave. Returns whether anything changed.
    pub(super) fn adopt(
        &mut self,
        now: Millis,
        server: ServerIndex,
        epoch: Epoch,
        ending: bool,
    ) -> bool {
        let unclaimed = self.phase == Phase::Unclaimed;
        if unclaimed {
            self.granted = now;
            self.phase = match ending {
                true => Phase::Revoking { from: server, epoch, to: server },
                false => Phase::Granted { server, epoch, list: 0, confirmed: true },
            };
            self.last_owner = Some(server);
            self.last_epoch = epoch;
            // Unless this very grant is known, what came before it is not.
            self.after_loss = self.known.epoch != epoch || self.known.after_loss;
        }
        unclaimed
    }

    /// Frees an unclaimed shard.
    pub(super) fn release(&mut self) {
        if self.phase == Phase::Unclaimed {
            self.phase = Phase::Free;
        }
    }

    pub(super) fn grant(&mut self, now: Millis, server: ServerIndex, epoch: Epoch, list: u64) {
        self.granted = now;
        self.phase = Phase::Granted { server, epoch, list, confirmed: false };
        self.last_owner = Some(server);
        self.next_owner = None;
        self.last_epoch = epoch;
        self.lost = false;
    }

    /// Notes that `server` holds list number `held`. Returns whether the shard is newly served.
    pub(super) fn confirm(&mut self, server: ServerIndex, held: u64) -> bool {
        match &mut self.phase {
            Phase::Granted { server: owner, list, confirmed, .. }
                if *owner == server && !*confirmed && *list <= held =>
            {
                *confirmed = true;
                true
            }
            _ => false,
        }
    }

    /// Notes whether the owner has stopped answering. Returns whether that is new.
    pub(super) fn set_lost(&mut self, lost: bool) -> bool {
        let changed = self.lost != lost;
        self.lost = lost;
        changed
    }

    /// Frees the shard, whose last owner's work is unknown.
    pub(super) fn free_after_loss(&mut self) {
        self.phase = Phase::Free;
        self.after_loss = true;
        self.lost = true;
    }

    /// Forgets a loss that lies so far back that no caller repeats a request from before it.
    /// Returns whether there was one.
    pub(super) fn forget_loss(&mut self, now: Millis) -> bool {
        let forgets =
            self.after_loss && self.is_confirmed() && now.since(self.granted) >= LOSS_REMEMBERED;
        self.after_loss &= !forgets;
        forgets
    }

    /// Takes the shard from a server that has restarted.
    pub(super) fn disclaim(&mut self) {
        self.known = ShardRoute { state: RouteState::OwnerLost, ..self.known.clone() };
        self.phase = Phase::Unclaimed;
        self.after_loss = true;
        self.next_owner = None;
    }

    /// Starts a planned move. Returns whether the shard can be moved now.
    pub(super) fn start_move(&mut self, to: ServerIndex) -> bool {
        match self.phase {
            Phase::Granted { server, epoch, .. } if server != to && !self.lost => {
                self.phase = Phase::Revoking { from: server, epoch, to };
                true
            }
            _ => false,
        }
    }

    /// Ends a planned move's first half: `server` holds `epoch` no more and has finished its work.
    pub(super) fn finish_move(&mut self, server: ServerIndex, ended: Epoch) -> bool {
        match self.phase {
            Phase::Revoking { from, epoch, to } if from == server && epoch == ended => {
                self.phase = Phase::Free;
                self.next_owner = Some(to);
                self.after_loss = false;
                true
            }
            _ => false,
        }
    }

    pub(super) fn route(&self, servers: &[ServerEntry]) -> ShardRoute {
        let state = match self.phase {
            Phase::Unclaimed => return self.known.clone(),
            Phase::Granted { .. } | Phase::Revoking { .. } | Phase::Free if self.lost => {
                RouteState::OwnerLost
            }
            Phase::Granted { confirmed: true, .. } => RouteState::Serving,
            Phase::Granted { .. } | Phase::Revoking { .. } | Phase::Free => RouteState::Moving,
        };
        let server = self
            .owner()
            .or(self.last_owner)
            .map(|ServerIndex(index)| servers[index].name().clone())
            .unwrap_or_default();
        ShardRoute { server, epoch: self.last_epoch, state, after_loss: self.after_loss }
    }
}
