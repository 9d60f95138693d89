use {
    crate::server::ServerKey,
    oriolehoist_port::{Handover, KeyRange},
    oriolehoist_time::Millis,
};

/// A range of keys with its owner.
#[derive(Clone, Debug)]
pub(crate) struct Slice {
    pub(crate) range: KeyRange,
    pub(crate) owner: ServerKey,
    pub(crate) fence: u64,
    /// The version of the table that first has this ownership. Nothing is done before it is stored.
    pub(crate) version: u64,
    /// Whether the owner may already have been granted the range under this fence.
    pub(crate) granted: bool,
    /// Only grants of an earlier assigner are known, of which some may be carried out late.
    pub(crate) adopted: bool,
    /// The owner goes on under a new fence.
    pub(crate) refencing: bool,
    pub(crate) step: Step,
}

/// An ownership that may not have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Former {
    pub(crate) server: ServerKey,
    pub(crate) fence: u64,
    /// It was granted by an earlier assigner, and by this one not yet under a higher fence.
    pub(crate) adopted: bool,
}

/// How far a change of owner has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The table is not stored yet.
    Planned {
        formers: Vec<Former>,
        /// The one among them that held the range until now and goes on.
        renewed: Option<Former>,
    },
    /// The earlier owners get no more renewals and are asked to release.
    Ending { endings: Vec<Ending>, handover: Option<Handover> },
    /// The earlier owners have ended. The owner is being granted the range.
    Granting {
        handover: Option<Handover>,
        in_flight: bool,
        /// When to send the next grant.
        at: Millis,
    },
    /// The owner has acknowledged the range.
    Held,
}

/// How far it is proved that an earlier ownership has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Ending {
    pub(crate) former: Former,
    /// When its last possible grant has lapsed; known once no grant is on its way.
    pub(crate) until: Option<Millis>,
    /// It has answered the release.
    pub(crate) released: bool,
    /// A release is on its way.
    pub(crate) asked: bool,
    /// When to ask again.
    pub(crate) ask_at: Millis,
}

impl Ending {
    pub(crate) fn new(former: Former) -> Ending {
        Ending { former, until: None, released: false, asked: false, ask_at: Millis::ZERO }
    }
}

impl Slice {
    /// Returns who holds the range by orders of this assigner, and is to be renewed.
    pub(crate) fn renewed(&self) -> Option<Former> {
        match &self.step {
            Step::Planned { renewed, .. } => *renewed,
            Step::Held => Some(self.ownership()),
            Step::Ending { .. } | Step::Granting { .. } => None,
        }
    }

    /// Returns the earlier ownerships that are not known to have ended.
    pub(crate) fn formers(&self) -> Vec<Former> {
        match &self.step {
            Step::Planned { formers, .. } => formers.clone(),
            Step::Ending { endings, .. } => endings.iter().map(|ending| ending.former).collect(),
            Step::Granting { .. } | Step::Held => Vec::new(),
        }
    }

    fn ownership(&self) -> Former {
        Former { server: self.owner, fence: self.fence, adopted: self.adopted }
    }

    /// Lets the owner go on under a new fence, so that it refuses what an earlier assigner sent.
    pub(crate) fn refence(&mut self, version: u64, fence: u64) {
        let former = self.ownership();
        self.fence = fence;
        self.version = version;
        self.refencing = true;
        self.step = Step::Planned { formers: vec![former], renewed: Some(former) };
    }

    /// Returns whether an owner that an earlier assigner left is getting a new fence, or is to.
    pub(crate) fn is_refenced(&self) -> bool {
        self.adopted && (self.refencing || self.step == Step::Held)
    }

    /// Gives the range a new owner.
    pub(crate) fn reassign(&mut self, to: ServerKey, version: u64, fence: u64) {
        let renewed = self.renewed();
        let mut formers = self.formers();
        if self.granted {
            formers.push(self.ownership());
        }
        self.adopted = false;
        self.refencing = false;
        self.owner = to;
        self.fence = fence;
        self.version = version;
        self.granted = false;
        self.step = Step::Planned { formers, renewed };
    }
}
