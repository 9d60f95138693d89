use std::{
    collections::{HashMap, HashSet},
    fmt,
    net::IpAddr,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A grant that a server accepted.
#[derive(Clone, Debug)]
pub struct AcceptedGrant {
    /// The id of the server.
    pub server: String,
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
    /// The fencing token.
    pub fence: u64,
    /// The address of the daemon that sent the order.
    pub sender: IpAddr,
    /// When the server received it.
    pub received_at: Instant,
}

/// The grants of all servers of a deployment.
pub type GrantRegistry = Arc<Mutex<Grants>>;

/// The grants of all servers, and descriptions of the rules that they broke.
#[derive(Default)]
pub struct Grants {
    /// How often a server has started under each id.
    starts: HashMap<String, u32>,
    pub(super) held: Vec<HeldGrant>,
    /// All grants that were accepted at once, in order of arrival.
    pub accepted: Vec<AcceptedGrant>,
    /// All grants that were ever taken.
    taken: HashSet<TakenGrant>,
    /// Descriptions of the overlaps and of the fencing tokens that were used again.
    pub violations: Vec<String>,
}

/// One start of a server: its id, and how many have started under that id so far.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Life(String, u32);

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} (life {})", self.0, self.1)
    }
}

pub(super) struct HeldGrant {
    pub(super) life: Life,
    pub(super) from: u16,
    pub(super) to: u16,
    pub(super) until: Instant,
}

#[derive(PartialEq, Eq, Hash)]
pub(super) struct TakenGrant {
    pub(super) life: Life,
    pub(super) from: u16,
    pub(super) to: u16,
    pub(super) fence: u64,
}

impl Grants {
    pub(super) fn start_life(&mut self, id: &str) -> Life {
        let starts = self.starts.entry(id.into()).or_default();
        *starts += 1;
        Life(id.into(), *starts)
    }

    /// Records a grant, and whether its fencing token is above all with which other lives had its
    /// keys. A renewal is not checked again.
    pub(super) fn take(&mut self, grant: TakenGrant) {
        if self.taken.contains(&grant) {
            return;
        }
        let TakenGrant { life, from, to, fence } = &grant;
        let earlier = self.taken.iter().filter(|other| {
            other.life != *life && other.from <= *to && *from <= other.to && other.fence >= *fence
        });
        self.violations.extend(earlier.map(|other| {
            format!(
                "{life} was granted keys {from}-{to} with fence {fence}; {} had {}-{} with fence {}",
                other.life, other.from, other.to, other.fence
            )
        }));
        self.taken.insert(grant);
    }
}
