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
    /// The owner stays the same and is getting a new fencing token.
    pub(crate) refencing: bool,
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
    /// The range is being granted to the owner. All previous ownerships have ended, unless the
    /// owner stays the same and is only getting a new fencing token.
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

    /// Plans a new fencing token for the owner, so that it rejects late orders of a previous
    /// assigner.
    pub(crate) fn refence(&mut self, version: u64, fence: u64) {
        let ownership = self.ownership();
        self.fence = fence;
        self.version = version;
        self.refencing = true;
        self.phase = Phase::Planned { previous_owners: vec![ownership], current: Some(ownership) };
    }

    /// Returns whether the ownership was adopted from a previous assigner, and its owner is getting
    /// a new fencing token or still needs one.
    pub(crate) fn awaits_new_fence(&self) -> bool {
        self.adopted && (self.refencing || self.phase == Phase::Held)
    }

    /// Plans the move of the range to a new owner.
    pub(crate) fn reassign(&mut self, to: ServerIndex, version: u64, fence: u64) {
        let current = self.ownership_to_renew();
        let mut previous_owners = self.previous_owners();
        if self.granted {
            previous_owners.push(self.ownership());
        }
        self.adopted = false;
        self.refencing = false;
        self.owner = to;
        self.fence = fence;
        self.version = version;
        self.granted = false;
        self.phase = Phase::Planned { previous_owners, current };
    }
}
