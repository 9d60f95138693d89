use {
    crate::{
        Assigned, Fences, Holder, KeyRoutes, Life, LoadReport, RoutedRange,
        load::KeyLoad,
        orders::InFlight,
        server::{Server, ServerKey, Standing},
        slice::{Ending, Former, Slice, Step},
        timing::hold_end,
    },
    oriolehoist_port::{RegisteredServer, ServerState},
    oriolehoist_time::Millis,
    std::collections::HashMap,
};

/// The wait for a lost owner is told in steps of this length, since every change is sent to all
/// daemons.
const LOST_STEP: Millis = Millis(500);

/// The ownership of one service's keys, as its assigner sees it.
#[derive(Debug, Default)]
pub struct Keeper {
    /// Every life of every server that was ever heard of.
    pub(crate) servers: Vec<Server>,
    /// The key of each of them.
    pub(crate) keys: HashMap<Life, ServerKey>,
    pub(crate) slices: Vec<Slice>,
    pub(crate) flights: HashMap<u64, InFlight>,
    pub(crate) last_flight: u64,
    /// The newest version of the table that is stored.
    pub(crate) stored: u64,
    pub(crate) load: KeyLoad,
    pub(crate) balanced_at: Millis,
    /// Moves have ended since the table was stored: it names owners that have ended.
    pub(crate) outdated: bool,
}

impl Keeper {
    /// Creates a keeper of a service that nobody owns any keys of.
    pub fn new() -> Keeper {
        Keeper::default()
    }

    /// Continues from a stored table after an earlier assigner, which has certainly stopped giving
    /// orders. Its grants lasted `longest_hold` at most, and some may have no answer yet.
    pub fn adopt(&mut self, now: Millis, assigned: &[Assigned], longest_hold: Millis) {
        let held_until = hold_end(now, longest_hold);
        for assigned in assigned {
            let owner = self.learn(now, &assigned.owner, held_until);
            // A new fence for the same life of a server is no change of owner.
            let others = assigned.formers.iter().filter(|(life, _)| *life != assigned.owner);
            let endings: Vec<Ending> = others
                .map(|(life, fence)| {
                    let server = self.learn(now, life, held_until);
                    Ending::new(Former { server, fence: *fence, adopted: true })
                })
                .collect();
            let step = match endings.is_empty() {
                true => Step::Held,
                false => Step::Ending { endings, handover: None },
            };
            let (range, fence) = (assigned.range, assigned.fence);
            self.slices.push(Slice {
                range,
                owner,
                fence,
                version: 0,
                granted: true,
                adopted: true,
                refencing: false,
                step,
            });
        }
        self.slices.sort_by_key(|slice| slice.range);
    }

    /// Returns the key of a life; one that is new has held nothing later than `held_until`.
    fn learn(&mut self, now: Millis, life: &Life, held_until: Millis) -> ServerKey {
        if let Some(key) = self.keys.get(life) {
            return *key;
        }
        let key = ServerKey(u32::try_from(self.servers.len()).unwrap_or(u32::MAX));
        self.servers.push(Server::new(now, life.clone(), held_until));
        self.keys.insert(life.clone(), key);
        key
    }

    /// Takes the registered servers of the service.
    pub fn on_servers<'a>(
        &mut self,
        now: Millis,
        registered: impl Iterator<Item = &'a RegisteredServer>,
    ) {
        let mut seen = Vec::new();
        for entry in registered {
            let life = Life { id: entry.id.clone(), born: entry.born };
            let key = self.learn(now, &life, Millis::ZERO);
            seen.push(key);
            let server = self.server_mut(key);
            server.address = Some(entry.address);
            server.slots = entry.slots;
            server.standing = match entry.state {
                ServerState::Ready if server.standing != Standing::Ended => Standing::Ready,
                ServerState::Ready => Standing::Ended,
                ServerState::Draining => Standing::Leaving,
            };
        }
        for index in 0..self.servers.len() {
            let key = ServerKey(index as u32);
            if seen.contains(&key) {
                continue;
            }
            let life = &self.servers[index].life;
            let ended = seen.iter().any(|newer| {
                let newer = &self.server(*newer).life;
                newer.id == life.id && newer.born > life.born
            });
            let server = &mut self.servers[index];
            server.standing = match server.standing {
                Standing::Ended => Standing::Ended,
                _ if ended => Standing::Ended,
                _ => Standing::Leaving,
            };
        }
    }

    /// Notes that the table is stored up to `version`.
    pub fn on_stored(&mut self, version: u64) {
        self.stored = self.stored.max(version);
    }

    /// Notes what a daemon measured.
    pub fn on_load(&mut self, report: &LoadReport) {
        self.load.add(report);
        for (id, millis, answers) in &report.work {
            for server in self.servers.iter_mut().filter(|server| server.life.id == *id) {
                server.work.add(*millis, *answers);
            }
        }
    }

    /// Plans what is to change. Returns whether anything did: nothing of it is done before a table
    /// with this version is stored.
    pub fn plan(&mut self, now: Millis, version: u64, fences: &mut Fences) -> bool {
        self.refence_adopted(now, version, fences)
            | self.replace_unusable(now, version, fences)
            | self.balance(now, version, fences)
    }

    /// Returns whether the stored table names earlier owners that have ended, and forgets it. A
    /// later assigner would ask them for nothing.
    pub fn take_outdated(&mut self) -> bool {
        std::mem::take(&mut self.outdated)
    }

    /// Returns whether nobody owns any keys yet.
    pub fn is_unassigned(&self) -> bool {
        self.slices.is_empty()
    }

    /// Makes every renewal due, so that the grants soon last as long as the next orders say.
    pub fn renew_now(&mut self, now: Millis) {
        for server in &mut self.servers {
            server.next_renewal = now;
            server.probed = true;
        }
    }

    /// Returns the ranges as they are to be stored.
    pub fn assigned(&self) -> Vec<Assigned> {
        let life = |former: &Former| (self.server(former.server).life.clone(), former.fence);
        self.slices
            .iter()
            .map(|slice| Assigned {
                range: slice.range,
                owner: self.server(slice.owner).life.clone(),
                fence: slice.fence,
                formers: slice.formers().iter().map(life).collect(),
            })
            .collect()
    }

    /// Returns who serves each range.
    pub fn routes(&self, now: Millis) -> KeyRoutes {
        let routed = self
            .slices
            .iter()
            .map(|slice| RoutedRange { range: slice.range, holder: self.holder(now, slice) });
        KeyRoutes(routed.collect())
    }

    fn holder(&self, now: Millis, slice: &Slice) -> Holder {
        let of = |key: ServerKey| match self.server(key) {
            server if server.standing == Standing::Ended => Holder::Moving,
            server => Holder::Server(server.life.clone()),
        };
        match &slice.step {
            Step::Held => of(slice.owner),
            Step::Granting { .. } if slice.refencing => of(slice.owner),
            Step::Planned { renewed: Some(former), .. } => of(former.server),
            Step::Ending { endings, .. } => {
                let blocked = endings.iter().filter_map(|ending| {
                    let silent = self.server(ending.former.server).failures > 1;
                    ending.until.filter(|until| (silent || ending.released) && *until > now)
                });
                blocked.max().map_or(Holder::Moving, |until| {
                    let steps = until.since(now).0.div_ceil(LOST_STEP.0);
                    Holder::Lost(LOST_STEP * steps)
                })
            }
            Step::Planned { renewed: None, .. } | Step::Granting { .. } => Holder::Moving,
        }
    }

    pub(crate) fn server(&self, key: ServerKey) -> &Server {
        &self.servers[key.0 as usize]
    }

    pub(crate) fn server_mut(&mut self, key: ServerKey) -> &mut Server {
        &mut self.servers[key.0 as usize]
    }
}
