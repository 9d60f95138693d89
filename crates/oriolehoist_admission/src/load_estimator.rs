use {
    crate::known_load::{KnownLoad, decay},
    oriolehoist_time::Millis,
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Factor by which each new measurement of the service time reduces the weight of earlier ones.
const SERVICE_TIME_DECAY: f64 = 0.93;
/// Weight of the initial estimate of the service time, in measurements.
const INITIAL_ESTIMATE_WEIGHT: f64 = 2.0;
/// Weight of a pooled service time, in measurements of this daemon. It rests on those of all daemons.
const POOLED_WEIGHT: f64 = 12.0;
/// A pooled service time is used if it is this many times the mean of the service. If the daemons shared
/// what they know of smaller differences, all of them would prefer the same fast servers and overload
/// them: in the simulation, 83.5 % of the requests met the objective then instead of 88.0 %.
const POOLED_MIN_RATIO: f64 = 3.0;
/// Half-life of the measurements of this daemon beside a pooled service time. A daemon of a large fleet
/// measures a server every few seconds, and servers change within that time.
const MEASURED_HALF_LIFE: Millis = Millis(10_000);
/// Half-life of the difference between a pooled service time and the mean of the service, once it is
/// no longer sent.
const POOLED_HALF_LIFE: Millis = Millis(5000);
/// The usual speed of a machine is the highest that it reported in a block of this many reports, or in the
/// one before: moments differ by being slower, a fifth of the time.
const USUAL_SLOWDOWN_REPORTS: u32 = 8;
/// Half-life of the difference between the speed that a server's machine has at a moment, as it
/// reported, and its usual speed. Machines change many times per second.
const SLOWDOWN_HALF_LIFE: Millis = Millis(200);
/// A load of this part of the slots or more is worth telling the other daemons.
const NOTABLE_LOAD_DIVISOR: f64 = 2.0;
/// Base of the time for which a server that shed a request is regarded as full. Every consecutive
/// shed request doubles it, the first included: the time is 120 ms after one and 240 ms after two.
const SHED_BACKOFF: Millis = Millis(60);
/// Upper bound of the time for which a server that shed a request is regarded as full.
const MAX_SHED_BACKOFF: Millis = Millis(480);

/// Weight of a new measurement in the mean of a service, as one of this many.
const MEAN_DIVISOR: f64 = 16.0;

/// The mean service time of the servers of one service, as measured by one daemon. It is assumed for
/// those without measurements.
#[derive(Debug, Default)]
pub struct MeanServiceTime {
    /// The bits of the number of milliseconds, which is zero before the first measurement.
    bits: AtomicU64,
}

impl MeanServiceTime {
    /// Returns the mean in milliseconds, if anything was measured.
    pub fn get(&self) -> Option<f64> {
        let mean = f64::from_bits(self.bits.load(Ordering::Relaxed));
        (mean > 0.0).then_some(mean)
    }

    fn record(&self, millis: f64) {
        let mean = self.get().map_or(millis, |mean| mean + (millis - mean) / MEAN_DIVISOR);
        // If two threads record at once, one measurement may be lost.
        self.bits.store(mean.to_bits(), Ordering::Relaxed);
    }
}

/// Estimates the load of one server, as seen by one daemon.
///
/// A server's load report counts the requests of all daemons. To the requests of the others in it,
/// the estimator adds those that this daemon has in flight. Between reports, the share of the others
/// approaches what it usually is. For busy servers, the daemons also exchange the numbers of their
/// requests in flight; the newer of the two reports is used.
#[derive(Clone, Debug)]
pub struct LoadEstimator {
    slots: f64,
    in_flight: u32,
    /// The requests of the other daemons.
    others: KnownLoad,
    /// The last report that the server sent this daemon, and when it arrived.
    own_report: Option<(Millis, u32)>,
    /// How many times longer than on a machine of speed 1 work takes, as the server reported last.
    slowdown: f64,
    slowdown_reported_at: Millis,
    usual_slowdown: UsualSlowdown,
    /// Initial estimate of the service time, in milliseconds.
    initial_service_time: f64,
    /// The mean of the service, which replaces that once it is known, and how many times slower than
    /// that the server is assumed to be.
    mean_service_time: Option<(Arc<MeanServiceTime>, f64)>,
    /// The service time that all daemons have measured together, in milliseconds, and until when it
    /// is valid without another one.
    pooled: Option<(f64, Millis)>,
    /// Weighted sum of the measured service times, in milliseconds.
    service_time_sum: f64,
    /// Sum of the weights of the measurements.
    service_time_weight: f64,
    service_time_measured_at: Millis,
    /// Measurements since the last call of [`LoadEstimator::take_service_time`].
    unreported: ServiceTimeTotal,
    consecutive_sheds: u32,
    shed_until: Millis,
}

/// How many times longer than on a machine of speed 1 work usually takes on a server's machine.
#[derive(Clone, Copy, Debug, Default)]
struct UsualSlowdown {
    /// The lowest report of this block, and of the one before.
    lowest: Option<f64>,
    lowest_before: Option<f64>,
    /// The number of reports in this block.
    reports: u32,
}

impl UsualSlowdown {
    fn record(&mut self, slowdown: f64) {
        if self.reports == USUAL_SLOWDOWN_REPORTS {
            let lowest_before = self.lowest;
            *self = UsualSlowdown { lowest_before, ..UsualSlowdown::default() };
        }
        self.reports += 1;
        self.lowest = Some(self.lowest.map_or(slowdown, |lowest| lowest.min(slowdown)));
    }

    /// Returns the value, which is 1 for a server that has reported none.
    fn get(&self) -> f64 {
        self.lowest.into_iter().chain(self.lowest_before).reduce(f64::min).unwrap_or(1.0)
    }
}

/// Total service time of some requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceTimeTotal {
    /// The sum, in milliseconds.
    pub millis: u64,
    /// The number of measured requests.
    pub samples: u32,
}

/// A request that is in flight at a server.
#[derive(Clone, Copy, Debug)]
pub struct InFlightRequest {
    sent_at: Millis,
    /// Estimated load of the server when the request was sent.
    load: f64,
}

/// How an in-flight request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InFlightOutcome {
    /// The server responded.
    Answered,
    /// The server refused to run the request because it is overloaded.
    Shed,
    /// There was no response.
    Lost,
    /// The end says nothing about the server.
    Inconclusive,
}

impl LoadEstimator {
    /// Creates an estimator for a server that is expected to take `service_time` for a request.
    pub fn new(slots: u32, service_time: Millis) -> LoadEstimator {
        LoadEstimator {
            slots: f64::from(slots.max(1)),
            in_flight: 0,
            others: KnownLoad::default(),
            own_report: None,
            slowdown: 1.0,
            slowdown_reported_at: Millis::ZERO,
            usual_slowdown: UsualSlowdown::default(),
            initial_service_time: service_time.0 as f64,
            mean_service_time: None,
            pooled: None,
            service_time_sum: 0.0,
            service_time_weight: 0.0,
            service_time_measured_at: Millis::ZERO,
            unreported: ServiceTimeTotal::default(),
            consecutive_sheds: 0,
            shed_until: Millis::ZERO,
        }
    }

    /// Uses the mean of the server's service, times `factor`, instead of the initial estimate.
    pub fn with_mean(self, mean: Arc<MeanServiceTime>, factor: f64) -> LoadEstimator {
        LoadEstimator { mean_service_time: Some((mean, factor)), ..self }
    }

    /// Returns the number of requests that this daemon has in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Records that a request is sent.
    pub fn on_sent(&mut self, now: Millis) -> InFlightRequest {
        let load = self.load(now);
        self.in_flight += 1;
        InFlightRequest { sent_at: now, load }
    }

    /// Records how many times longer than on a machine of speed 1 work takes on the server's machine at
    /// this moment, as it reported. This is called before [`LoadEstimator::on_completed`] of the same
    /// response, whose service time then counts as if the machine had the speed 1.
    ///
    /// Servers report the constant speed of their machines and what changes it at the moment as one
    /// number, so its usual value is learned as well.
    pub fn on_slowdown(&mut self, now: Millis, slowdown: f64) {
        self.usual_slowdown.record(slowdown);
        self.slowdown = slowdown;
        self.slowdown_reported_at = now;
    }

    /// Returns how many times longer than on a machine of speed 1 work is assumed to take.
    fn slowdown(&self, now: Millis) -> f64 {
        let usual = self.usual_slowdown.get();
        usual
            + (self.slowdown - usual)
                * decay(now.since(self.slowdown_reported_at), SLOWDOWN_HALF_LIFE)
    }

    /// Records how a request ended, and the load that the server reported with its response. Returns how
    /// many times the server's mean service time the request has run, if it was answered.
    pub fn on_completed(
        &mut self,
        now: Millis,
        request: InFlightRequest,
        outcome: InFlightOutcome,
        reported_load: Option<u32>,
    ) -> Option<f64> {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(reported_load) = reported_load {
            // The report counts the completed request and those of this daemon in flight.
            self.others.on_report(now, reported_load.saturating_sub(self.in_flight + 1));
            // The completed request is no longer there.
            self.own_report = Some((now, reported_load.saturating_sub(1)));
        }
        // A moment in which the machine is slow is not mistaken for a slow server.
        let elapsed = now.since(request.sent_at).0 as f64 / self.slowdown(now);
        match outcome {
            InFlightOutcome::Answered => {
                // The time includes waiting at the server for the requests sent before this one. The
                // load that the server reports with its response is not used: it is that after the
                // wait, and service times measured with it were too low in the simulation of owners.
                let rounds = ((request.load + 1.0) / self.slots).max(1.0);
                let mean = self.service_time(now) / self.slowdown(now);
                self.record_service_time(now, elapsed / rounds);
                self.consecutive_sheds = 0;
                (mean > 0.0).then(|| elapsed / rounds / mean)
            }
            InFlightOutcome::Shed => {
                self.consecutive_sheds += 1;
                let backoff = SHED_BACKOFF * (1 << self.consecutive_sheds.min(4));
                self.shed_until = now + backoff.min(MAX_SHED_BACKOFF);
                None
            }
            InFlightOutcome::Lost => {
                self.record_service_time(now, elapsed);
                None
            }
            InFlightOutcome::Inconclusive => None,
        }
    }

    /// Records the load that the server reported in its response to a probe, which it does not count.
    pub fn on_probed(&mut self, now: Millis, reported_load: u32) {
        self.others.on_report(now, reported_load.saturating_sub(self.in_flight));
        self.own_report = Some((now, reported_load));
    }

    /// Records the service time that all daemons have measured together, in milliseconds. It counts
    /// until `valid_until`, and then approaches the mean of the service.
    pub fn on_pooled_service_time(&mut self, valid_until: Millis, millis: f64) {
        self.pooled = Some((millis, valid_until));
    }

    fn record_service_time(&mut self, now: Millis, millis: f64) {
        if let Some((mean, _)) = &self.mean_service_time {
            mean.record(millis);
        }
        let kept = SERVICE_TIME_DECAY * self.measured_part(now);
        self.service_time_sum = self.service_time_sum * kept + millis;
        self.service_time_weight = self.service_time_weight * kept + 1.0;
        self.service_time_measured_at = now;
        self.unreported.millis += (millis * self.usual_slowdown.get()) as u64;
        self.unreported.samples += 1;
    }

    /// Returns the part of the weight of this daemon's measurements that is left.
    fn measured_part(&self, now: Millis) -> f64 {
        match self.pooled {
            Some(_) => decay(now.since(self.service_time_measured_at), MEASURED_HALF_LIFE),
            None => 1.0,
        }
    }

    /// Returns the estimated service time of a request at this moment, in milliseconds.
    fn service_time(&self, now: Millis) -> f64 {
        let mean = self.mean_service_time.as_ref();
        let mean = mean.and_then(|(mean, factor)| Some(mean.get()? * factor));
        let mean = mean.unwrap_or(self.initial_service_time);
        let usual = self.usual_slowdown.get();
        let (prior, weight) = match self.pooled {
            Some((pooled, valid_until)) if pooled / usual >= mean * POOLED_MIN_RATIO => {
                let pooled = pooled / usual;
                let left = decay(now.since(valid_until), POOLED_HALF_LIFE);
                let weight =
                    INITIAL_ESTIMATE_WEIGHT + (POOLED_WEIGHT - INITIAL_ESTIMATE_WEIGHT) * left;
                (mean + (pooled - mean) * left, weight)
            }
            _ => (mean, INITIAL_ESTIMATE_WEIGHT),
        };
        let kept = self.measured_part(now);
        let sum = prior * weight + self.service_time_sum * kept;
        sum / (weight + self.service_time_weight * kept) * self.slowdown(now)
    }

    /// Returns the service time measured since the last call.
    pub fn take_service_time(&mut self) -> ServiceTimeTotal {
        std::mem::take(&mut self.unreported)
    }

    /// Returns how long a request is expected to be queued at the server before it runs. This is at
    /// least the time for which the server is regarded as full after shedding a request.
    pub fn expected_wait(&self, now: Millis) -> Millis {
        let ahead = (self.load(now) + 1.0 - self.slots).max(0.0);
        Millis((ahead / self.slots * self.service_time(now)) as u64).max(self.shed_until.since(now))
    }

    /// Returns how long a request is expected to take at the server, queueing included.
    pub fn expected_latency(&self, now: Millis) -> Millis {
        self.expected_latency_of(now, 1.0)
    }

    /// Returns the same for a request that runs `work` times as long as the mean.
    pub fn expected_latency_of(&self, now: Millis, work: f64) -> Millis {
        self.expected_wait(now) + Millis((self.service_time(now) * work) as u64)
    }

    /// Returns whether the server needs a trial request: this daemon has no request in flight there,
    /// none has been answered, shed or lost yet, and the other daemons have not measured it either.
    ///
    /// Without trial requests, a server that joins would never get one next to servers that are
    /// known to be fast.
    pub fn is_untried(&self) -> bool {
        let is_unknown = self.service_time_weight == 0.0 && self.pooled.is_none();
        is_unknown && self.consecutive_sheds == 0 && self.in_flight == 0
    }

    /// Returns the load in the last report that the server sent this daemon, and when it arrived.
    pub fn own_report(&self) -> Option<(Millis, u32)> {
        self.own_report
    }

    /// Returns the age of the newest report of the server's load, also of one to another daemon.
    pub fn report_age(&self, now: Millis) -> Millis {
        now.since(self.others.reported_at())
    }

    /// Returns whether the estimated load is at least half of the slots.
    pub fn is_half_used(&self, now: Millis) -> bool {
        self.load(now) * 2.0 >= self.slots
    }

    /// Returns when the server's load was last reported, by the server or by other daemons, if it was.
    pub fn load_reported_at(&self) -> Option<Millis> {
        self.others.newest_report_at()
    }

    /// Returns whether a load leaves so few slots that the other daemons need to know it.
    pub fn is_notable(&self, load: u32) -> bool {
        f64::from(load) * NOTABLE_LOAD_DIVISOR >= self.slots
    }

    /// Records the load that the server reported to another daemon at `at`, unless a later report is
    /// known.
    pub fn on_shared_report(&mut self, at: Millis, load: u32) {
        if at > self.others.reported_at() {
            self.others.on_report(at, load.saturating_sub(self.in_flight));
        }
    }

    /// Records how many requests the other daemons have in flight at the server.
    pub fn on_peer_load(&mut self, now: Millis, requests: u32) {
        self.others.on_peer_load(now, requests);
    }

    /// Returns how many requests this daemon has in flight at the server, if there are any and the
    /// server is so busy that requests may be queued there. The other daemons need to know only
    /// then.
    pub fn in_flight_if_busy(&self, now: Millis) -> Option<u32> {
        let busy = self.load(now) >= self.slots;
        (busy && self.in_flight > 0).then_some(self.in_flight)
    }

    /// Returns the estimated number of requests of all daemons at the server.
    fn load(&self, now: Millis) -> f64 {
        f64::from(self.in_flight) + self.others.get(now)
    }
}
