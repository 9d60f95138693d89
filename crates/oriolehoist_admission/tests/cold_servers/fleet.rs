//! A simulated fleet of daemons with relays, and servers that crash, start again and are cold.
//!
//! Daemons exchange reports every 100 ms by way of relays, as in a large deployment. Reports may be
//! lost, and some arrive up to a second late.

use {
    fastrand::Rng,
    oriolehoist_admission::{
        GroupReport, GroupReports, RateReport, ReportLateness, ReportOrder, RequestCounts,
        StatedAvailability, WarmUpPolicy, WarmUpReport,
    },
    oriolehoist_time::Millis,
    std::collections::{BTreeMap, HashMap},
};

pub const DAEMONS: usize = 82;
/// The daemons in the group of one relay, with the relay, which is its first one.
pub const GROUP: usize = 9;
const REPORT_INTERVAL_MS: u64 = 100;
/// The time after which a report that has not changed is repeated.
const REPEAT_INTERVAL: Millis = Millis(200);
const REPORT_DELAY: Millis = Millis(20);
/// The time that the daemons assume for a report to reach all of them, with and without relays.
const RELAYED_DELAY: Millis = Millis(350);
const DIRECT_DELAY: Millis = Millis(60);
/// With more daemons than this and one, reports go by way of relays.
const MAX_DIRECT: usize = 20;
const MAX_LATENESS_MS: u64 = 1000;
/// The time between two probes of a lost path.
const PROBE_INTERVAL: Millis = Millis(500);
/// How long a daemon takes to become ready.
const START_TIME: Millis = Millis(700);
/// How long a server is cold after its start.
pub const WARM_UP: Millis = Millis(3000);

/// Returns the requirements of a deployment whose cold servers take this many requests per second: one
/// and a half times as many, and 8 more in any second.
pub fn policy(warm_up_per_second: f64) -> WarmUpPolicy {
    WarmUpPolicy { duration: WARM_UP, rate: warm_up_per_second * 1.5, slack: 8.0 }
}

/// One server, as it really is.
pub struct Server {
    /// Whether it crashes and starts again. Otherwise it turns cold while it serves.
    pub restarts: bool,
    /// When it crashes, when it accepts connections again or turns cold, and when it registers that.
    pub crash_at: Millis,
    pub back_at: Millis,
    pub registered_at: Millis,
    /// The daemons hear of the registration within this time.
    pub spread: Millis,
    /// How long it is cold.
    pub warm_up: Millis,
    /// The requests per second that callers have for it.
    pub demand: f64,
    /// When requests reached it since it was back.
    pub reached: Vec<Millis>,
    /// How many requests of callers were refused in that time.
    pub refused: usize,
}

/// What one daemon knows of one server.
#[derive(Clone)]
pub struct Known {
    pub availability: StatedAvailability<usize>,
    /// When the lost path is probed next, if it is lost.
    probe_at: Option<Millis>,
    /// When the daemon hears of the new registration.
    heard_at: Millis,
    pub has_heard: bool,
    reports: GroupReports<usize>,
    order: ReportOrder<usize>,
    lateness: ReportLateness<usize>,
    reported_warm_up: Option<(Millis, WarmUpReport)>,
    /// The requests that were last reported to each daemon.
    sent: HashMap<usize, (Millis, RequestCounts)>,
}

impl Server {
    fn cold_until(&self) -> Millis {
        self.back_at + self.warm_up
    }
}

enum Message {
    /// The receiver must know the same incarnation, told by whether it has heard of the new one.
    Rate(GroupReport, bool, Millis),
    WarmUp(WarmUpReport, bool),
}

pub struct Fleet {
    pub servers: Vec<Server>,
    policy: WarmUpPolicy,
    pub known: Vec<Vec<Known>>,
    /// Which daemons neither send nor receive reports.
    pub cut_off: Vec<bool>,
    /// From when on each daemon serves callers.
    pub ready_at: Vec<Millis>,
    /// How many daemons each one knows of.
    pub members: Vec<usize>,
    in_transit: BTreeMap<(Millis, u64), (usize, usize, usize, Message)>,
    sequence: u64,
    pub loss: f64,
    pub lateness: f64,
    /// How much longer all reports to each daemon take at the moment.
    pub lag: Vec<Millis>,
    pub random: Rng,
}

impl Fleet {
    pub fn new(servers: Vec<Server>, policy: WarmUpPolicy, seed: u64) -> Fleet {
        let mut random = Rng::with_seed(seed);
        let known = (0..DAEMONS).map(|_| {
            let of = |server: &Server| {
                Known::new(policy, server.registered_at + Millis(random.u64(..server.spread.0)))
            };
            servers.iter().map(of).collect()
        });
        let known = known.collect();
        Fleet {
            servers,
            policy,
            known,
            cut_off: vec![false; DAEMONS],
            ready_at: vec![Millis::ZERO; DAEMONS],
            members: vec![DAEMONS; DAEMONS],
            in_transit: BTreeMap::new(),
            sequence: 0,
            loss: 0.1,
            lateness: 0.1,
            lag: vec![Millis::ZERO; DAEMONS],
            random,
        }
    }

    /// Replaces a daemon by one that has just started. It knows the servers from the registrations.
    pub fn restart(&mut self, daemon: usize, now: Millis) {
        self.ready_at[daemon] = now + START_TIME;
        for (server, known) in self.known[daemon].iter_mut().enumerate() {
            let heard_at = known.heard_at;
            *known = Known::new(self.policy, heard_at);
            known.set_members(self.members[daemon]);
            if now >= heard_at {
                known.has_heard = true;
                let left = self.servers[server].cold_until().since(now);
                known.availability.warm_up.on_statement(now, now, left, server as u32);
            }
        }
    }

    /// Returns the size of the fleet that a daemon counts with when it tries new servers.
    pub fn size_known_to(&self, daemon: usize) -> usize {
        if self.members[daemon] > 0 { DAEMONS } else { usize::MAX }
    }

    /// Sets how many daemons one of them knows of. While there are none it exchanges no reports.
    pub fn set_members(&mut self, daemon: usize, members: usize) {
        self.members[daemon] = members;
        self.cut_off[daemon] = members == 0;
        for known in &mut self.known[daemon] {
            known.set_members(members);
        }
    }

    /// Lets all daemons know how long their messages to each other usually take, as they always exchange
    /// some.
    pub fn measure_delays(&mut self) {
        for known in self.known.iter_mut().flatten() {
            for from in 0..DAEMONS {
                known.lateness.measure(REPORT_DELAY, from, 1, Millis::ZERO);
            }
        }
    }

    pub fn run(&mut self, from: Millis, to: Millis) {
        for millis in from.0..to.0 {
            let now = Millis(millis);
            self.exchange(now);
            for server in 0..self.servers.len() {
                if self.random.f64() < self.servers[server].demand / 1000.0 {
                    let daemon = self.random.usize(..DAEMONS);
                    self.request(now, daemon, server);
                }
            }
        }
    }

    /// Delivers and sends the reports that are due.
    pub fn exchange(&mut self, now: Millis) {
        self.deliver(now);
        for daemon in 0..DAEMONS {
            if (now.0 + daemon as u64 * 7).is_multiple_of(REPORT_INTERVAL_MS) {
                self.tick(now, daemon);
            }
        }
    }

    fn is_up(&self, now: Millis, server: usize) -> bool {
        let Server { restarts, crash_at, back_at, .. } = &self.servers[server];
        !restarts || now < *crash_at || now >= *back_at
    }

    fn request(&mut self, now: Millis, daemon: usize, server: usize) {
        let daemon = match self.known[daemon][server].probe_at {
            None => daemon,
            // It is handed over to a daemon that may reach the server.
            Some(_) => self.random.usize(..DAEMONS),
        };
        let (chance, event) = (self.random.f64(), self.random.u32(..));
        let is_up = self.is_up(now, server);
        let known = &mut self.known[daemon][server];
        if known.probe_at.is_some() || now < self.ready_at[daemon] {
            return;
        }
        known.availability.refresh(now);
        if known.availability.rate_limit.try_take(now, 1, chance).is_err() {
            self.servers[server].refused += 1;
            return;
        }
        match is_up {
            true => self.reach(now, daemon, server),
            false => {
                known.availability.warm_up.on_unreachable(now, true, event);
                known.probe_at = Some(now + PROBE_INTERVAL);
            }
        }
    }

    fn reach(&mut self, now: Millis, daemon: usize, server: usize) {
        self.known[daemon][server].availability.warm_up.on_reached(now);
        if now >= self.servers[server].back_at {
            self.servers[server].reached.push(now);
        }
    }

    /// Sends the reports of a daemon, and does what is due.
    fn tick(&mut self, now: Millis, daemon: usize) {
        for server in 0..self.servers.len() {
            self.hear(now, daemon, server);
            self.probe(now, daemon, server);
            let known = &mut self.known[daemon][server];
            known.availability.refresh(now);
            let chance = self.random.f64();
            if known.availability.warm_up.take_due_check(now, Some(DAEMONS), chance) {
                known.availability.rate_limit.count_sent(now);
                self.reach(now, daemon, server);
                self.answer_check(now, daemon, server);
            }
            if !self.cut_off[daemon] {
                self.report(now, daemon, server);
            }
        }
    }

    /// Learns of the new registration, which replaces what was known of the old incarnation.
    pub fn hear(&mut self, now: Millis, daemon: usize, server: usize) {
        let left = self.servers[server].cold_until().since(self.servers[server].registered_at);
        let known = &mut self.known[daemon][server];
        if known.has_heard || now < known.heard_at {
            return;
        }
        known.has_heard = true;
        if self.servers[server].restarts {
            let mut successor =
                Known { has_heard: true, ..Known::new(self.policy, known.heard_at) };
            successor.set_members(self.members[daemon]);
            let predecessor = std::mem::replace(known, successor);
            known.availability.succeed(now, &predecessor.availability);
            known.availability.warm_up.presume(now, server as u32);
        }
        known.availability.warm_up.on_statement(now, now, left, server as u32);
    }

    fn probe(&mut self, now: Millis, daemon: usize, server: usize) {
        let event = self.random.u32(..);
        let is_up = self.is_up(now, server);
        let known = &mut self.known[daemon][server];
        match known.probe_at {
            Some(at) if at <= now && is_up => {
                known.probe_at = None;
                known.availability.warm_up.on_reached(now);
                self.answer_check(now, daemon, server);
            }
            Some(at) if at <= now => {
                known.probe_at = Some(now + PROBE_INTERVAL);
                known.availability.warm_up.on_unreachable(now, true, event);
            }
            _ => {}
        }
    }

    fn answer_check(&mut self, now: Millis, daemon: usize, server: usize) {
        let event = self.random.u32(..);
        let left = self.servers[server].cold_until().since(now);
        let left = if now < self.servers[server].crash_at { Millis::ZERO } else { left };
        self.known[daemon][server].availability.warm_up.on_statement(now, now, left, event);
    }

    fn report(&mut self, now: Millis, daemon: usize, server: usize) {
        let relay = daemon / GROUP * GROUP;
        let known = &mut self.known[daemon][server];
        let heard = known.has_heard;
        let own = known.availability.rate_limit.cold_counts();
        let own = own.map(|counts| RateReport { limit: None, age: Millis::ZERO, counts });
        let warm_up = known.availability.warm_up.report(now).filter(|report| {
            known.reported_warm_up.is_none_or(|(at, last)| {
                now.since(at) >= REPEAT_INTERVAL
                    || (last.event, last.remaining == Millis::ZERO)
                        != (report.event, report.remaining == Millis::ZERO)
            })
        });
        known.reported_warm_up = warm_up.map(|report| (now, report)).or(known.reported_warm_up);
        let reports = known.reports.clone();
        let children: Vec<usize> = (relay + 1..(relay + GROUP).min(DAEMONS)).collect();
        let peers: Vec<usize> = match daemon == relay {
            false => vec![relay],
            true => {
                let relays = (0..DAEMONS).step_by(GROUP).filter(|other| *other != daemon);
                relays.chain(children.iter().copied()).collect()
            }
        };
        for to in peers {
            let in_group = |from: &usize| from / GROUP == relay / GROUP && daemon == relay;
            let group = match to / GROUP == relay / GROUP {
                true => reports.total(now, own, |from| daemon == relay && *from != to),
                false => reports.total(now, own, in_group),
            };
            // What has not changed is repeated less often.
            let last = self.known[daemon][server].sent.get(&to).copied();
            let is_due = |group: &GroupReport| {
                last.is_none_or(|(at, counts)| {
                    now.since(at) >= REPEAT_INTERVAL || counts != group.report.counts
                })
            };
            if let Some(group) = group.filter(|group| own.is_some() && is_due(group)) {
                self.known[daemon][server].sent.insert(to, (now, group.report.counts));
                self.send(now, daemon, to, server, Message::Rate(group, heard, now));
            }
            if let Some(report) = warm_up {
                self.send(now, daemon, to, server, Message::WarmUp(report, heard));
            }
        }
    }

    fn send(&mut self, now: Millis, from: usize, to: usize, server: usize, message: Message) {
        if self.random.f64() < self.loss || self.cut_off[to] {
            return;
        }
        let late = match self.random.f64() < self.lateness {
            true => Millis(self.random.u64(..MAX_LATENESS_MS)),
            false => Millis::ZERO,
        };
        self.sequence += 1;
        let key = (now + REPORT_DELAY + late + self.lag[to], self.sequence);
        self.in_transit.insert(key, (from, to, server, message));
    }

    fn deliver(&mut self, now: Millis) {
        while self.in_transit.first_key_value().is_some_and(|(key, _)| key.0 <= now) {
            let Some((_, (from, to, server, message))) = self.in_transit.pop_first() else {
                return;
            };
            let known = &mut self.known[to][server];
            known.availability.refresh(now);
            match message {
                Message::Rate(group, heard, sent_at)
                    if heard == known.has_heard && known.order.accept(from, 1, sent_at.0) =>
                {
                    known.reports.record(now, from, group);
                    let counts = group.report.counts;
                    let late = known.lateness.measure(now, from, 1, sent_at);
                    let rate_limit = &mut known.availability.rate_limit;
                    rate_limit.on_late_counts(now, from, counts, group.daemons, late);
                }
                Message::WarmUp(report, heard) if heard == known.has_heard => {
                    known.availability.warm_up.on_report(now, report);
                }
                _ => {}
            }
        }
    }
}

impl Known {
    fn new(policy: WarmUpPolicy, heard_at: Millis) -> Known {
        let mut availability = StatedAvailability::default();
        availability.warm_up.set_policy(Some(policy));
        let mut known = Known {
            availability,
            probe_at: None,
            heard_at,
            has_heard: false,
            reports: GroupReports::default(),
            order: ReportOrder::default(),
            lateness: ReportLateness::default(),
            reported_warm_up: None,
            sent: HashMap::new(),
        };
        known.set_members(DAEMONS);
        known
    }

    fn set_members(&mut self, members: usize) {
        // The first message of the assigner has the number of registered daemons, whoever responds to it.
        let size = (members > 0).then_some(DAEMONS);
        let delay = match size {
            Some(size) if size <= MAX_DIRECT + 1 => DIRECT_DELAY,
            _ => RELAYED_DELAY,
        };
        self.availability.rate_limit.set_daemons(size);
        self.availability.rate_limit.set_report_delay(delay);
    }
}
