use oriolehoist_time::Millis;

/// Half-life of the difference between the load that a server reported and its usual load.
const REPORT_HALF_LIFE: Millis = Millis(400);
/// Half-life of the reports in the usual load, and of the usual load without reports.
const USUAL_LOAD_HALF_LIFE: Millis = Millis(2000);
/// How long the load reported by the other daemons is used.
const PEER_REPORT_TTL: Millis = Millis(250);

/// The requests of the other daemons at one server, as far as one daemon knows.
///
/// Reports are old in a large fleet: about 320 ms on average if they come by way of relays. Between
/// reports, the load is therefore assumed to approach the mean of the reports, not zero: a server with
/// a queue was believed to have half of its load before.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownLoad {
    /// According to the server's last report.
    reported: f64,
    reported_at: Millis,
    /// The mean of the reports when the last one arrived.
    usual: f64,
    /// According to the reports of the other daemons.
    peers: u32,
    peers_reported_at: Millis,
}

impl KnownLoad {
    /// Records what the server reported at `at`, which is later than the last report.
    pub(crate) fn on_report(&mut self, at: Millis, requests: u32) {
        let requests = f64::from(requests);
        let kept = decay(at.since(self.reported_at), USUAL_LOAD_HALF_LIFE);
        self.usual = requests + (self.usual - requests) * kept;
        (self.reported, self.reported_at) = (requests, at);
    }

    /// Records how many requests the other daemons have in flight, as they reported.
    pub(crate) fn on_peer_load(&mut self, now: Millis, requests: u32) {
        (self.peers, self.peers_reported_at) = (requests, now);
    }

    /// Returns the time of the server's last report.
    pub(crate) fn reported_at(&self) -> Millis {
        self.reported_at
    }

    /// Returns the time of the newest report of the server or of the other daemons, if there is one.
    pub(crate) fn newest_report_at(&self) -> Option<Millis> {
        let newest = self.reported_at.max(self.peers_reported_at);
        (newest > Millis::ZERO).then_some(newest)
    }

    /// Returns the estimated number of requests.
    pub(crate) fn get(&self, now: Millis) -> f64 {
        let use_peers = self.peers_reported_at > self.reported_at
            && now.since(self.peers_reported_at) < PEER_REPORT_TTL;
        if use_peers {
            return f64::from(self.peers);
        }
        let age = now.since(self.reported_at);
        let usual = self.usual * decay(age, USUAL_LOAD_HALF_LIFE);
        usual + (self.reported - usual) * decay(age, REPORT_HALF_LIFE)
    }
}

/// Returns the part of a value that is left after `elapsed`.
pub(crate) fn decay(elapsed: Millis, half_life: Millis) -> f64 {
    0.5_f64.powf(elapsed.0 as f64 / half_life.0 as f64)
}
