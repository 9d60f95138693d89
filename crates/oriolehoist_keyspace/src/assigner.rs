use {
    crate::{
        AssignedRange, Confidence, FenceCounter, Holder, KeyRoutes, LoadReport, RoutedRange,
        ServerIncarnation,
        evacuate::Evacuation,
        load::{KeyLoad, RECENT_HALF_LIFE_MS, STEADY_HALF_LIFE_MS},
        orders::OrderInFlight,
        segment::{Ownership, Phase, Revocation, Segment},
        server::{Server, ServerIndex, ServiceTime, Status},
        timing::{
            DEFAULT_GRANT_DURATION, GRANT_TIMEOUT, MAX_DEFAULT_GRANT_DURATION, RENEWAL_INTERVAL,
            WORK_ALLOWANCE, latest_grant_expiry,
        },
    },
    oriolehoist_port::{RegisteredServer, ServerState},
    oriolehoist_time::Millis,
    std::collections::HashMap,
};

/// The wait for a lost owner is rounded up to a multiple of this, because every change of the
/// routes is sent to all daemons.
const LOST_WAIT_STEP: Millis = Millis(500);

/// What a server has said about the requests that it takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StatedNeeds {
    /// The requests per second that it takes from all daemons together, if it has named a limit.
    pub rate_limit: Option<f64>,
    /// Whether it leaves. Its keys are moved as if its registration said so.
    pub leaving: bool,
}

/// Assigns the key ranges of one service to its servers.
#[derive(Debug, Default)]
pub struct RangeAssigner {
    /// Every known incarnation of every server, past and present.
    pub(crate) servers: Vec<Server>,
    /// The index of each incarnation in `servers`.
    pub(crate) server_indices: HashMap<ServerIncarnation, ServerIndex>,
    pub(crate) segments: Vec<Segment>,
    pub(crate) orders_in_flight: HashMap<u64, OrderInFlight>,
    pub(crate) last_order_id: u64,
    /// The newest version of the table that is stored.
    pub(crate) stored_version: u64,
    pub(crate) load: KeyLoad<RECENT_HALF_LIFE_MS>,
    /// The load over a longer time, which congested servers are relieved by.
    pub(crate) steady_load: KeyLoad<STEADY_HALF_LIFE_MS>,
    pub(crate) last_balanced_at: Millis,
    /// Whether congested servers are not relieved.
    pub(crate) is_relief_off: bool,
    /// Whether a server was congested in the last round of balancing, and servers are relieved.
    pub(crate) is_congested: bool,
    /// Changes of owner were completed since the table was stored: it names previous owners whose
    /// ownership has ended.
    pub(crate) stored_table_stale: bool,
    /// How much its failures to reach servers show.
    pub(crate) confidence: Confidence,
    /// Whether it is probably cut off from servers itself.
    pub(crate) doubts_itself: bool,
    pub(crate) evacuation: Evacuation,
}

impl RangeAssigner {
    /// Creates the state of a service without any owned keys.
    pub fn new() -> RangeAssigner {
        RangeAssigner::default()
    }

    /// Continues from the stored table of a previous assigner, which has certainly stopped sending
    /// orders. Its fencing tokens are at most `fence_limit`. Its grants last at most
    /// `max_grant_duration`, and some may still be unanswered and arrive late.
    pub fn adopt(
        &mut self,
        now: Millis,
        assigned: &[AssignedRange],
        fence_limit: u64,
        max_grant_duration: Millis,
    ) {
        let expires_at = latest_grant_expiry(now, max_grant_duration);
        for assigned in assigned {
            let owner = self.get_or_insert_server(now, &assigned.owner, expires_at);
            // A new fencing token for the same incarnation is no change of owner.
            let others = assigned
                .previous_owners
                .iter()
                .filter(|(incarnation, _)| *incarnation != assigned.owner);
            let revocations: Vec<Revocation> = others
                .map(|(incarnation, fence)| {
                    let server = self.get_or_insert_server(now, incarnation, expires_at);
                    Revocation::new(Ownership { server, fence: *fence, adopted: true })
                })
                .collect();
            let phase = match revocations.is_empty() {
                true => Phase::Held,
                false => Phase::Revoking { revocations, handover: None },
            };
            let (range, fence) = (assigned.range, assigned.fence);
            self.segments.push(Segment {
                range,
                owner,
                fence,
                version: 0,
                granted: true,
                adopted: true,
                phase,
            });
        }
        for server in &mut self.servers {
            server.highest_session_fence = fence_limit;
        }
        self.segments.sort_by_key(|segment| segment.range);
    }

    /// Returns the index of an incarnation. If it is new, all grants that it may have from previous
    /// assigners expire by `adopted_expiry`.
    fn get_or_insert_server(
        &mut self,
        now: Millis,
        incarnation: &ServerIncarnation,
        adopted_expiry: Millis,
    ) -> ServerIndex {
        if let Some(server) = self.server_indices.get(incarnation) {
            return *server;
        }
        let server = ServerIndex(u32::try_from(self.servers.len()).unwrap_or(u32::MAX));
        let mut new = Server::new(now, incarnation.clone(), adopted_expiry);
        // A restarted server is most likely as fast as it was before.
        let same = self.servers.iter().filter(|other| other.incarnation.id == incarnation.id);
        if let Some(earlier) = same.max_by_key(|other| other.incarnation.started_at) {
            new.steady_service_time = earlier.steady_service_time;
        }
        self.servers.push(new);
        self.server_indices.insert(incarnation.clone(), server);
        server
    }

    /// Updates the servers from the current registrations of the service.
    pub fn on_servers<'a>(
        &mut self,
        now: Millis,
        registered: impl Iterator<Item = &'a RegisteredServer>,
    ) {
        let mut present = Vec::new();
        for entry in registered {
            let incarnation = ServerIncarnation::of(entry);
            let index = self.get_or_insert_server(now, &incarnation, Millis::ZERO);
            present.push(index);
            let server = self.server_mut(index);
            // The stored table doesn't say when a server was first registered.
            if server.address.is_none() {
                server.first_seen_at = now;
            }
            if server.address.replace(entry.address) != Some(entry.address) {
                server.session = None;
            }
            server.slots = entry.slots;
            server.zone.clone_from(&entry.zone);
            server.status = match entry.state {
                ServerState::Ready if server.status != Status::Superseded => Status::Ready,
                ServerState::Ready => Status::Superseded,
                ServerState::Draining => Status::Leaving,
            };
        }
        let mut latest_starts = HashMap::new();
        for index in &present {
            let server = self.server(*index);
            // A server at whose address another one answers is not there itself.
            if !server.answered_by_other {
                let latest = latest_starts.entry(server.address).or_insert(server.start());
                *latest = server.start().max(*latest);
            }
        }
        for server in &mut self.servers {
            let latest = latest_starts.get(&server.address);
            server.address_superseded = latest.is_some_and(|latest| *latest > server.start());
        }
        for index in 0..self.servers.len() {
            let server_index = ServerIndex(index as u32);
            if present.contains(&server_index) {
                continue;
            }
            let incarnation = &self.servers[index].incarnation;
            let superseded = present.iter().any(|newer| {
                let newer = &self.server(*newer).incarnation;
                newer.id == incarnation.id && newer.started_at > incarnation.started_at
            });
            let server = &mut self.servers[index];
            server.status = match server.status {
                Status::Superseded => Status::Superseded,
                _ if superseded => Status::Superseded,
                _ => Status::Leaving,
            };
        }
        self.mark_evacuated(now);
    }

    /// Records that the table is stored up to `version`.
    pub fn on_stored(&mut self, version: u64) {
        self.stored_version = self.stored_version.max(version);
    }

    /// Records the load that a daemon measured.
    pub fn on_load(&mut self, report: &LoadReport) {
        self.load.add(report);
        self.steady_load.add(report);
        for (incarnation, millis, samples) in &report.service_times {
            if let Some(index) = self.server_indices.get(incarnation).copied() {
                self.server_mut(index).add_service_times(*millis, *samples);
            }
        }
    }

    /// Updates what each server has said about the requests that it takes.
    pub fn on_statements(&mut self, stated: impl Fn(&ServerIncarnation) -> Option<StatedNeeds>) {
        for server in &mut self.servers {
            // Of a server that is not known at the moment, what it said last counts.
            let Some(stated) = stated(&server.incarnation) else { continue };
            server.rate_limit = stated.rate_limit.map(|limit| limit as f32);
            server.says_leaving |= stated.leaving;
        }
    }

    /// Plans changes of ownership. Returns whether there are any; they are carried out only after a
    /// table with this version is stored.
    pub fn plan(&mut self, now: Millis, version: u64, fences: &mut FenceCounter) -> bool {
        self.update_doubts(now);
        self.replace_unusable_owners(now, version, fences)
            | self.evacuate(now, version, fences)
            | self.balance(now, version, fences)
    }

    /// Returns whether the stored table names previous owners whose ownership has ended, and resets
    /// the flag. A later assigner would ask them to release their ranges needlessly.
    pub fn take_stored_table_stale(&mut self) -> bool {
        std::mem::take(&mut self.stored_table_stale)
    }

    /// Returns how long grants last while the store is available: longer for servers whose work takes
    /// long, since work that outlasts the grant that it began under fails.
    pub fn grant_duration(&self) -> Millis {
        let work = ServiceTime::mean(self.servers.iter().map(|server| server.service_time), 0.0);
        // A grant may be this old when work begins.
        let age = RENEWAL_INTERVAL + GRANT_TIMEOUT;
        let duration = Millis((work * WORK_ALLOWANCE) as u64) + age;
        duration.min(MAX_DEFAULT_GRANT_DURATION).max(DEFAULT_GRANT_DURATION)
    }

    /// Returns whether no keys have been assigned yet.
    pub fn is_unassigned(&self) -> bool {
        self.segments.is_empty()
    }

    /// Makes all renewals due, so that a changed grant duration soon applies to all grants.
    pub fn renew_now(&mut self, now: Millis) {
        for server in &mut self.servers {
            server.next_renewal = now;
            server.renew_all = true;
        }
    }

    /// Returns the ranges in the form in which they are stored.
    pub fn assigned_ranges(&self) -> Vec<AssignedRange> {
        let incarnation = |ownership: &Ownership| {
            (self.server(ownership.server).incarnation.clone(), ownership.fence)
        };
        self.segments
            .iter()
            .map(|segment| AssignedRange {
                range: segment.range,
                owner: self.server(segment.owner).incarnation.clone(),
                fence: segment.fence,
                previous_owners: segment.previous_owners().iter().map(incarnation).collect(),
            })
            .collect()
    }

    /// Returns which server serves each range.
    pub fn routes(&self, now: Millis) -> KeyRoutes {
        let routed = self
            .segments
            .iter()
            .map(|segment| RoutedRange { range: segment.range, holder: self.holder(now, segment) });
        KeyRoutes(routed.collect())
    }

    fn holder(&self, now: Millis, segment: &Segment) -> Holder {
        let holder_of = |server: ServerIndex| match self.server(server) {
            server if server.status == Status::Superseded => Holder::Moving,
            server => Holder::Server(server.incarnation.clone()),
        };
        match &segment.phase {
            Phase::Held => holder_of(segment.owner),
            Phase::Planned { current: Some(ownership), .. } => holder_of(ownership.server),
            Phase::Revoking { revocations, .. } => {
                // If a previous owner doesn't respond to the release, or a grant may still arrive
                // after it, the ownership ends only when its grants have expired.
                let waits = revocations.iter().filter_map(|revocation| {
                    let unresponsive =
                        self.server(revocation.ownership.server).consecutive_failures > 1;
                    revocation
                        .expires_at
                        .filter(|at| (unresponsive || revocation.released) && *at > now)
                });
                waits.max().map_or(Holder::Moving, |at| {
                    let steps = at.since(now).0.div_ceil(LOST_WAIT_STEP.0);
                    Holder::Lost(LOST_WAIT_STEP * steps)
                })
            }
            Phase::Planned { current: None, .. } | Phase::Granting { .. } => Holder::Moving,
        }
    }

    pub(crate) fn server(&self, index: ServerIndex) -> &Server {
        &self.servers[index.0 as usize]
    }

    pub(crate) fn server_mut(&mut self, index: ServerIndex) -> &mut Server {
        &mut self.servers[index.0 as usize]
    }
}
