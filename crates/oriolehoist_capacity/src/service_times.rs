use {
    oriolehoist_time::Millis,
    std::{collections::HashMap, hash::Hash},
};

/// The number of later samples of a server after which the weight of a measurement has halved.
const SAMPLE_HALF_LIFE: f32 = 40.0;
/// The time after which the weight of a measurement has halved, also without later ones. A server that
/// gets no requests because it was slow counts as average again after some seconds, and is tried.
const AGE_HALF_LIFE: Millis = Millis(4000);
/// The number of samples that the mean of the service counts as, against a server's own samples.
const MEAN_WEIGHT: f32 = 4.0;
/// Below this number of samples, a server has no estimate.
const MIN_SAMPLES: f32 = 3.0;
/// The time after which a server without measurements is forgotten.
const FORGOTTEN_AFTER: Millis = Millis::from_secs(60);

/// What is known of how long a server takes for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The service time, in milliseconds.
    pub millis: f32,
    /// The number of samples that the estimate rests on. Earlier ones count less.
    pub samples: f32,
    /// The time since the last measurement.
    pub age: Millis,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    millis: f32,
    samples: f32,
    measured_at: Millis,
}

impl Sum {
    /// Returns the sum as it counts now.
    fn at(self, now: Millis) -> Sum {
        let kept = 0.5_f32.powf(now.since(self.measured_at).0 as f32 / AGE_HALF_LIFE.0 as f32);
        Sum { millis: self.millis * kept, samples: self.samples * kept, ..self }
    }
}

/// The service times of the servers of one service, as all daemons have measured them. `K` identifies
/// one incarnation of a server: after a restart, a server has another one and is measured anew.
#[derive(Clone, Debug)]
pub struct ServiceTimes<K> {
    sums: HashMap<K, Sum>,
}

impl<K> Default for ServiceTimes<K> {
    fn default() -> ServiceTimes<K> {
        ServiceTimes { sums: HashMap::new() }
    }
}

impl<K: Eq + Hash> ServiceTimes<K> {
    /// Adds what a daemon has measured: the total service time of some requests that ran, in
    /// milliseconds, and their number.
    pub fn add(&mut self, now: Millis, server: K, millis: u32, samples: u32) {
        let sum = self.sums.entry(server).or_default();
        let aged = sum.at(now);
        let kept = 0.5_f32.powf(samples as f32 / SAMPLE_HALF_LIFE);
        *sum = Sum {
            millis: aged.millis * kept + millis as f32,
            samples: aged.samples * kept + samples as f32,
            measured_at: now,
        };
    }

    /// Returns the mean service time of all servers, in milliseconds, if any was measured.
    pub fn mean(&self, now: Millis) -> Option<f32> {
        let sums = self.sums.values().map(|sum| sum.at(now));
        let (millis, samples) =
            sums.fold((0.0, 0.0), |all, sum| (all.0 + sum.millis, all.1 + sum.samples));
        (samples > 0.01).then(|| millis / samples)
    }

    /// Returns the estimate of a server, which is close to the mean of the service while it has few
    /// samples. There is none while it has hardly any.
    pub fn estimate(&self, now: Millis, server: &K) -> Option<Estimate> {
        let mean = self.mean(now)?;
        estimate(now, mean, self.sums.get(server)?)
    }

    /// Returns the estimates of all servers that have one.
    pub fn estimates(&self, now: Millis) -> impl Iterator<Item = (&K, Estimate)> {
        let mean = self.mean(now).unwrap_or_default();
        self.sums.iter().filter_map(move |(server, sum)| Some((server, estimate(now, mean, sum)?)))
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.sums.is_empty()
    }

    /// Forgets the servers that were not measured for long.
    pub fn expire(&mut self, now: Millis) {
        self.sums.retain(|_, sum| now.since(sum.measured_at) < FORGOTTEN_AFTER);
    }
}

fn estimate(now: Millis, mean: f32, sum: &Sum) -> Option<Estimate> {
    let aged = sum.at(now);
    // A server with many samples keeps its estimate while they age, so that the end of it is told.
    (sum.samples >= MIN_SAMPLES).then(|| Estimate {
        millis: (mean * MEAN_WEIGHT + aged.millis) / (MEAN_WEIGHT + aged.samples),
        samples: aged.samples,
        age: now.since(sum.measured_at),
    })
}
