use {
    crate::assigner::{ServerIndex, server::ServerEntry},
    oriolehoist_protocol::{Epoch, RouteState, ShardRoute, Version},
    oriolehoist_time::Millis,
};

/// How long after the loss of an owner a caller may still retry a request that it sent before the
/// loss.
const LOSS_RETENTION: Millis = Millis::from_secs(60);

/// The ownership state of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// A previous assigner may have granted the shard to a server that has not responded yet.
    Unclaimed,
    /// No server has a grant for the shard.
    Free,
    /// The shard is granted to a server. The grant is confirmed once the server has acknowledged a
    /// list that contains it.
    Granted { server: ServerIndex, epoch: Epoch, list: u64, confirmed: bool },
    /// A planned move is in progress: the owner is asked to finish its work and give up the shard.
    Revoking { from: ServerIndex, epoch: Epoch, to: ServerIndex },
}

/// An assigner's state for one shard.
#[derive(Clone, Debug)]
pub(super) struct ShardEntry {
    phase: Phase,
    last_owner: Option<ServerIndex>,
    /// The destination of a planned move whose revocation is complete.
    next_owner: Option<ServerIndex>,
    /// The epoch of the current or last grant.
    last_epoch: Epoch,
    /// Whether the owner, or the last owner of a free shard, does not respond.
    lost: bool,
    /// Whether the previous owner was lost, or may have been. See [`ShardRoute::after_loss`].
    after_loss: bool,
    /// The assignment version in which the route last changed.
    changed_at: Version,
    /// The load of the shard, for placement. It is the same for all shards.
    weight: u64,
    /// The route used while the shard is unclaimed.
    last_known: ShardRoute,
    /// When the shard was last granted, or a grant for it adopted, on the assigner's clock.
    granted_at: Millis,
}

impl ShardEntry {
    /// Creates an unclaimed shard whose last known route is `last_known`.
    ///
    /// Requests continue to use that route until the owner is known. This is safe because servers
    /// check their grants themselves.
    pub(super) fn unclaimed(
        last_owner: Option<ServerIndex>,
        last_known: &ShardRoute,
        first_term: bool,
    ) -> ShardEntry {
        ShardEntry {
            last_known: last_known.clone(),
            phase: Phase::Unclaimed,
            last_owner,
            next_owner: None,
            last_epoch: last_known.epoch,
            lost: false,
            // Before the first term of a service, there was no owner that could have been lost.
            after_loss: !first_term,
            granted_at: Millis::ZERO,
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

    /// Records that the route has changed in `version` of the assignment.
    pub(super) fn mark_changed(&mut self, version: Version) {
        self.changed_at = version;
    }

    /// Returns the server that may have a grant for the shard.
    pub(super) fn owner(&self) -> Option<ServerIndex> {
        match self.phase {
            Phase::Granted { server, .. } => Some(server),
            Phase::Revoking { from, .. } => Some(from),
            Phase::Unclaimed | Phase::Free => None,
        }
    }

    /// Returns the server that will own the shard after the move in progress, if any.
    pub(super) fn planned_owner(&self) -> Option<ServerIndex> {
        match self.phase {
            Phase::Revoking { to, .. } => Some(to),
            _ => self.owner(),
        }
    }

    pub(super) fn last_owner(&self) -> Option<ServerIndex> {
        self.last_owner
    }

    /// Returns the server that the shard should preferably be granted to next.
    pub(super) fn preferred_owner(&self) -> Option<ServerIndex> {
        self.next_owner.or(self.last_owner)
    }

    /// Adopts a grant from a previous assigner if the shard is unclaimed. Returns whether it was.
    pub(super) fn adopt(
        &mut self,
        now: Millis,
        server: ServerIndex,
        epoch: Epoch,
        ending: bool,
    ) -> bool {
        let unclaimed = self.phase == Phase::Unclaimed;
        if unclaimed {
            self.granted_at = now;
            self.phase = match ending {
                // The destination of the previous assigner's move is unknown, so this server is
                // preferred as the next owner.
                true => Phase::Revoking { from: server, epoch, to: server },
                false => Phase::Granted { server, epoch, list: 0, confirmed: true },
            };
            self.last_owner = Some(server);
            self.last_epoch = epoch;
            // Unless exactly this grant is known, it is unknown whether a loss preceded it.
            self.after_loss = self.last_known.epoch != epoch || self.last_known.after_loss;
        }
        unclaimed
    }

    /// Frees the shard if it is unclaimed.
    pub(super) fn free_if_unclaimed(&mut self) {
        if self.phase == Phase::Unclaimed {
            self.phase = Phase::Free;
        }
    }

    /// Grants the shard to `server`, as part of list number `list`.
    pub(super) fn grant(&mut self, now: Millis, server: ServerIndex, epoch: Epoch, list: u64) {
        self.granted_at = now;
        self.phase = Phase::Granted { server, epoch, list, confirmed: false };
        self.last_owner = Some(server);
        self.next_owner = None;
        self.last_epoch = epoch;
        self.lost = false;
    }

    /// Records that `server` has list number `acknowledged`. Returns whether this confirms the
    /// grant.
    pub(super) fn confirm(&mut self, server: ServerIndex, acknowledged: u64) -> bool {
        match &mut self.phase {
            Phase::Granted { server: owner, list, confirmed, .. }
                if *owner == server && !*confirmed && *list <= acknowledged =>
            {
                *confirmed = true;
                true
            }
            _ => false,
        }
    }

    /// Records whether the owner is lost. Returns whether this has changed.
    pub(super) fn set_lost(&mut self, lost: bool) -> bool {
        let changed = self.lost != lost;
        self.lost = lost;
        changed
    }

    /// Frees the shard after the loss of its owner. The outcome of the owner's last requests is
    /// unknown.
    pub(super) fn free_after_loss(&mut self) {
        self.phase = Phase::Free;
        self.after_loss = true;
        self.lost = true;
    }

    /// Clears the loss flag once the owner after the loss has had its grant for [`LOSS_RETENTION`],
    /// when no caller retries a request from before the loss any more. Returns whether the flag was
    /// cleared.
    pub(super) fn clear_old_loss(&mut self, now: Millis) -> bool {
        let expired =
            self.after_loss && self.is_confirmed() && now.since(self.granted_at) >= LOSS_RETENTION;
        self.after_loss &= !expired;
        expired
    }

    /// Marks the shard as unclaimed because its owner has restarted.
    pub(super) fn mark_unclaimed(&mut self) {
        self.last_known = ShardRoute { state: RouteState::OwnerLost, ..self.last_known.clone() };
        self.phase = Phase::Unclaimed;
        self.after_loss = true;
        self.next_owner = None;
    }

    /// Starts a planned move to `to`. Returns `false` if the shard cannot be moved now.
    pub(super) fn start_move(&mut self, to: ServerIndex) -> bool {
        match self.phase {
            Phase::Granted { server, epoch, .. } if server != to && !self.lost => {
                self.phase = Phase::Revoking { from: server, epoch, to };
                true
            }
            _ => false,
        }
    }

    /// Completes the revocation that starts a planned move: `server` has finished its work under
    /// the epoch `ended` and no longer owns the shard. Returns `false` if no such revocation is in
    /// progress.
    pub(super) fn finish_revocation(&mut self, server: ServerIndex, ended: Epoch) -> bool {
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

    /// Returns the route that daemons use for the shard.
    pub(super) fn route(&self, servers: &[ServerEntry]) -> ShardRoute {
        let state = match self.phase {
            Phase::Unclaimed => return self.last_known.clone(),
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
