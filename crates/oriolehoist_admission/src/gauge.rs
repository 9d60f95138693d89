use oriolehoist_time::Millis;

/// What each new measurement of the work leaves of the weight of the earlier ones.
const WORK_KEPT: f64 = 0.93;
/// How many measurements the expectation before the first one weighs.
const EXPECTED_WEIGHT: f64 = 2.0;
/// The time after which what a server said of its queue counts half.
const REPORT_HALF_LIFE: Millis = Millis(400);
/// How long what the other daemons told of themselves is used.
const PEERS_FRESH: Millis = Millis(250);
/// How long a server that shed is taken as full, the first time; it doubles with each further one.
const SHED_PAUSE: Millis = Millis(60);
/// The longest such time.
const LONGEST_SHED_PAUSE: Millis = Millis(480);

/// What one daemon believes of the queue at one server.
///
/// The server's own figures count those of all daemons; what this daemon sent since is added, and
/// the figures fade, as the requests of the others do. Where a server is busy, the daemons tell
/// each other how many requests they have there, which is newer.
#[derive(Clone, Debug)]
pub struct Gauge {
    slots: f64,
    mine: u32,
    /// Requests of other daemons, when the server last told.
    others: f64,
    told_at: Millis,
    /// Requests of other daemons, as these told, and when.
    peers: u32,
    peers_at: Millis,
    /// The time that the server was expected to take for a request, in milliseconds.
    expected_work: f64,
    /// The measured times, and how many they are, with less weight for earlier ones.
    work_sum: f64,
    work_count: f64,
    untold: WorkTotal,
    sheds: u32,
    shed_until: Millis,
}

/// The time that a server took for some requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkTotal {
    /// The sum, in milliseconds.
    pub millis: u64,
    /// How many requests it is about.
    pub answers: u32,
}

/// A request that is at a server.
#[derive(Clone, Copy, Debug)]
pub struct AtServer {
    sent: Millis,
    occupancy: f64,
}

/// How a request at a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AtServerEnd {
    /// It was answered.
    Answered,
    /// The server refused to run it because it is full.
    Shed,
    /// There was no answer.
    Lost,
    /// It says nothing about the server.
    Other,
}

impl Gauge {
    /// Creates a gauge of a server that is expected to take `work` for a request.
    pub fn new(slots: u32, work: Millis) -> Gauge {
        Gauge {
            slots: f64::from(slots.max(1)),
            mine: 0,
            others: 0.0,
            told_at: Millis::ZERO,
            peers: 0,
            peers_at: Millis::ZERO,
            expected_work: work.0 as f64,
            work_sum: 0.0,
            work_count: 0.0,
            untold: WorkTotal::default(),
            sheds: 0,
            shed_until: Millis::ZERO,
        }
    }

    /// Returns how many requests this daemon has at the server.
    pub fn mine(&self) -> u32 {
        self.mine
    }

    /// Notes that a request is sent.
    pub fn on_sent(&mut self, now: Millis) -> AtServer {
        let occupancy = self.occupancy(now);
        self.mine += 1;
        AtServer { sent: now, occupancy }
    }

    /// Notes how a request ended, and how many requests the server then said it had.
    pub fn on_ended(&mut self, now: Millis, at: AtServer, end: AtServerEnd, told: Option<u32>) {
        self.mine = self.mine.saturating_sub(1);
        if let Some(told) = told {
            self.others = f64::from(told.saturating_sub(self.mine + 1));
            self.told_at = now;
        }
        let took = now.since(at.sent).0 as f64;
        match end {
            AtServerEnd::Answered => {
                let turns = ((at.occupancy + 1.0) / self.slots).max(1.0);
                self.measure(took / turns);
                self.sheds = 0;
            }
            AtServerEnd::Shed => {
                self.sheds += 1;
                let pause = SHED_PAUSE * (1 << self.sheds.min(4));
                self.shed_until = now + pause.min(LONGEST_SHED_PAUSE);
            }
            AtServerEnd::Lost => {
                self.measure(took);
            }
            AtServerEnd::Other => {}
        }
    }

    fn measure(&mut self, work: f64) {
        self.work_sum = self.work_sum * WORK_KEPT + work;
        self.work_count = self.work_count * WORK_KEPT + 1.0;
        self.untold.millis += work as u64;
        self.untold.answers += 1;
    }

    /// Returns the time that the server takes for a request, in milliseconds.
    fn work(&self) -> f64 {
        let sum = self.expected_work * EXPECTED_WEIGHT + self.work_sum;
        sum / (EXPECTED_WEIGHT + self.work_count)
    }

    /// Takes what was measured since the last time.
    pub fn take_work(&mut self) -> WorkTotal {
        std::mem::take(&mut self.untold)
    }

    /// Returns how long a request would wait there before it runs.
    pub fn wait(&self, now: Millis) -> Millis {
        let ahead = (self.occupancy(now) + 1.0 - self.slots).max(0.0);
        Millis((ahead / self.slots * self.work()) as u64).max(self.shed_until.since(now))
    }

    /// Returns how long a request would take there, the wait included.
    pub fn expected(&self, now: Millis) -> Millis {
        self.wait(now) + Millis(self.work() as u64)
    }

    /// Returns whether the server is to be tried: it has neither answered nor refused anything yet,
    /// and this daemon has nothing there.
    ///
    /// Answers servers that join: next to those that are known to be fast, one of which nothing is
    /// known would never get a request.
    pub fn is_untried(&self) -> bool {
        self.work_count == 0.0 && self.sheds == 0 && self.mine == 0
    }

    /// Notes how many requests the other daemons have at the server.
    pub fn on_peers(&mut self, now: Millis, requests: u32) {
        self.peers = requests;
        self.peers_at = now;
    }

    /// Returns how many requests of this daemon the others should know of: those at a server
    /// where requests may have to wait.
    pub fn worth_telling(&self, now: Millis) -> Option<u32> {
        let busy = self.occupancy(now) >= self.slots;
        (busy && self.mine > 0).then_some(self.mine)
    }

    fn occupancy(&self, now: Millis) -> f64 {
        let told_by_peers = self.peers_at > self.told_at && now.since(self.peers_at) < PEERS_FRESH;
        let others = match told_by_peers {
            true => f64::from(self.peers),
            false => {
                let halves = now.since(self.told_at).0 as f64 / REPORT_HALF_LIFE.0 as f64;
                self.others * 0.5_f64.powf(halves)
            }
        };
        f64::from(self.mine) + others
    }
}
