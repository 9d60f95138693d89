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
    pub(crate) step: Step,
}

/// An earlier owner that is not known to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Former {
    pub(crate) server: ServerKey,
    pub(crate) fence: u64,
}

/// How far a change of owner has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The table is not stored yet. The earlier owner, if any, goes on.
    Planned(Option<Former>),
    /// The earlier owner gets no more renewals and is asked to release.
    Ending {
        former: Former,
        /// When its last possible grant has lapsed; known once no grant is on its way.
        until: Option<Millis>,
        asked: bool,
        /// When to ask again.
        ask_at: Millis,
    },
    /// It has answered the release; grants without an answer may still be carried out.
    Released { former: Former, until: Millis, handover: Option<Handover> },
    /// The earlier owner has ended. The owner is being granted the range.
    Granting {
        handover: Option<Handover>,
        /// Grants that are on their way.
        in_flight: u32,
        /// When to send the next.
        at: Millis,
    },
    /// The owner has acknowledged the range.
    Held,
}

impl Slice {
    /// Returns who may hold the range by orders of this assigner, and is to be renewed.
    pub(crate) fn renewed(&self) -> Option<Former> {
        match &self.step {
            Step::Planned(former) => *former,
            Step::Held => Some(Former { server: self.owner, fence: self.fence }),
            _ => None,
        }
    }

    /// Returns the earlier owner that is not known to have ended.
    pub(crate) fn former(&self) -> Option<Former> {
        match &self.step {
            Step::Planned(former) => *former,
            Step::Ending { former, .. } | Step::Released { former, .. } => Some(*former),
            Step::Granting { .. } | Step::Held => None,
        }
    }
}
