use {
    crate::server::ServerIndex,
    oriolehoist_port::{Handover, KeyRange},
    oriolehoist_time::Millis,
};

/// A range of keys with its owner, and the progress of a change of owner.
#[derive(Clone, Debug)]
pub(crate) struct Segment {
    pub(crate) range: KeyRange,
    pub(crate) owner: ServerIndex,
    pub(crate) fence: u64,
    /// The first version of the table that has this ownership. The change is carried out only after
    /// that version is stored.
    pub(crate) version: u64,
    /// Whether the owner may already have been granted the range under this fencing token.
    pub(crate) granted: bool,
    /// Only a previous assigner has granted this ownership, and some of its grants may still arrive
    /// late.
    pub(crate) adopted: bool,
    pub(crate) phase: Phase,
}

/// A server's ownership of a range under a fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ownership {
    pub(crate) server: ServerIndex,
    pub(crate) fence: u64,
    /// It was granted by a previous assigner, and this one has not granted it under a higher
    /// fencing token yet.
    pub(crate) adopted: bool,
}

/// The progress of a change of owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The change is planned, but the table is not stored yet.
    Planned {
        previous_owners: Vec<Ownership>,
        /// The one among them that holds the range now and whose grants are still renewed.
        current: Option<Ownership>,
    },
    /// The previous owners get no more renewals and are asked to release the range.
    Revoking { revocations: Vec<Revocation>, handover: Option<Handover> },
    /// The range is being granted to the owner. All previous ownerships have ended.
    Granting {
        handover: Option<Handover>,
        in_flight: bool,
        /// When the next grant may be sent.
        next_grant_at: Millis,
    },
    /// The owner has acknowledged the grant.
    Held,
}

/// The progress of proving that a previous ownership has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Revocation {
    pub(crate) ownership: Ownership,
    /// When the ownership certainly ends: when the last grant that it may have received expires
    /// or, after a release, the last grant that may still arrive late. Known once no grant is in
    /// flight.
    pub(crate) expires_at: Option<Millis>,
    /// The server at its address has responded to a release.
    pub(crate) released: bool,
    /// A release has been sent, and its outcome is not known yet.
    pub(crate) release_in_flight: bool,
    /// When the next release may be sent.
    pub(crate) next_release_at: Millis,
}

impl Revocation {
    pub(crate) fn new(ownership: Ownership) -> Revocation {
        Revocation {
            ownership,
            expires_at: None,
            released: false,
            release_in_flight: false,
            next_release_at: Millis::ZERO,
        }
    }
}

impl Segment {
    /// Returns the ownership whose grants are to be renewed, if any.
    pub(crate) fn ownership_to_renew(&self) -> Option<Ownership> {
        match &self.phase {
            Phase::Planned { current, .. } => *current,
            Phase::Held => Some(self.ownership()),
            Phase::Revoking { .. } | Phase::Granting { .. } => None,
        }
    }

    /// Returns whether the grants of a server for this range are to be renewed.
    pub(crate) fn renews(&self, server: ServerIndex) -> bool {
        self.ownership_to_renew().is_some_and(|ownership| ownership.server == server)
    }

    /// Returns the previous ownerships that are not known to have ended.
    pub(crate) fn previous_owners(&self) -> Vec<Ownership> {
        match &self.phase {
            Phase::Planned { previous_owners, .. } => previous_owners.clone(),
            Phase::Revoking { revocations, .. } => {
                revocations.iter().map(|revocation| revocation.ownership).collect()
            }
            Phase::Granting { .. } | Phase::Held => Vec::new(),
        }
    }

    fn ownership(&self) -> Ownership {
        Ownership { server: self.owner, fence: self.fence, adopted: self.adopted }
    }

    /// Returns whether the ownership was adopted from a previous assigner, and its owner has not
    /// been granted it under a higher fencing token yet.
    pub(crate) fn awaits_new_fence(&self) -> bool {
        self.adopted && self.phase == Phase::Held
    }

    /// Records that `server` has accepted a grant of this assigner, so that it rejects late ones of
    /// previous assigners.
    pub(crate) fn on_granted_to(&mut self, server: ServerIndex) {
        match &mut self.phase {
            Phase::Held if self.owner == server => self.adopted = false,
            Phase::Planned { previous_owners, current } => previous_owners
                .iter_mut()
                .chain(current)
                .filter(|ownership| ownership.server == server)
                .for_each(|ownership| ownership.adopted = false),
            _ => {}
        }
    }

    /// Plans the move of the range to a new owner.
    pub(crate) fn reassign(&mut self, to: ServerIndex, version: u64, fence: u64) {
        let current = self.ownership_to_renew();
        let mut previous_owners = self.previous_owners();
        if self.granted {
            previous_owners.push(self.ownership());
        }
        self.adopted = false;
        self.owner = to;
        self.fence = fence;
        self.version = version;
        self.granted = false;
        self.phase = Phase::Planned { previous_owners, current };
    }
}
