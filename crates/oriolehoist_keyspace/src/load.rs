use {
    crate::ServerIncarnation,
    oriolehoist_port::KeyRange,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, HashMap},
};

/// The half-life of measured load, in milliseconds.
pub(crate) const RECENT_HALF_LIFE_MS: u64 = 1200;
/// The half-life of the load that congested servers are relieved by, in milliseconds. A server of deployment
/// A gets nine requests per second. Over the shorter time its rate has a standard error of 18 %, and keys
/// are moved for nothing; over this one 7 %.
pub(crate) const STEADY_HALF_LIFE_MS: u64 = 8000;
/// A key with fewer requests per second than this is dropped from the statistics.
const MIN_KEY_RATE: f32 = 0.02;
/// The part of its final weight that a measurement has at least: about that of the first round.
const MIN_WEIGHT: f32 = 0.03;

/// The load that one daemon has measured since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of requests for each key.
    #[serde(rename = "keys")]
    pub requests_by_key: Vec<(u16, u32)>,
    /// For each server, the total service time of requests in milliseconds, and their number.
    #[serde(rename = "work")]
    pub service_times: Vec<(ServerIncarnation, u32, u32)>,
}

impl LoadReport {
    /// Adds the load that another daemon has measured.
    pub fn merge(&mut self, other: &LoadReport) {
        for (key, requests) in &other.requests_by_key {
            match self.requests_by_key.binary_search_by_key(key, |entry| entry.0) {
                Ok(index) => {
                    let count = &mut self.requests_by_key[index].1;
                    *count = count.saturating_add(*requests);
                }
                Err(index) => self.requests_by_key.insert(index, (*key, *requests)),
            }
        }
        let mut known: HashMap<ServerIncarnation, usize> = HashMap::new();
        for (index, entry) in self.service_times.iter().enumerate() {
            known.insert(entry.0.clone(), index);
        }
        for (server, millis, samples) in &other.service_times {
            match known.get(server) {
                Some(index) => {
                    let entry = &mut self.service_times[*index];
                    entry.1 = entry.1.saturating_add(*millis);
                    entry.2 = entry.2.saturating_add(*samples);
                }
                None => self.service_times.push((server.clone(), *millis, *samples)),
            }
        }
    }
}

/// The load of a service by key, in requests per second, measured with a half-life.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyLoad<const HALF_LIFE_MS: u64> {
    rates: BTreeMap<u16, f32>,
    decayed_at: Millis,
    /// The part of its final weight that the measurement has so far: it begins without any load.
    weight: f32,
}

impl<const HALF_LIFE_MS: u64> KeyLoad<HALF_LIFE_MS> {
    /// Adds the requests of a report.
    pub(crate) fn add(&mut self, report: &LoadReport) {
        // The time constant of the decay, in seconds: the integral over time of a value of 1 that
        // decays with the half-life. A decaying sum of requests divided by it is their rate.
        let time_constant = HALF_LIFE_MS as f32 / 1000.0 / std::f32::consts::LN_2;
        for (key, requests) in &report.requests_by_key {
            *self.rates.entry(*key).or_default() += *requests as f32 / time_constant;
        }
    }

    /// Reduces the weight of earlier measurements.
    pub(crate) fn decay(&mut self, now: Millis) {
        let elapsed = now.since(self.decayed_at);
        let factor = 0.5_f32.powf(elapsed.0 as f32 / HALF_LIFE_MS as f32);
        // Nothing was measured before the first round.
        if self.decayed_at > Millis::ZERO {
            self.weight = 1.0 - (1.0 - self.weight) * factor;
        }
        self.decayed_at = now;
        self.rates.retain(|_, rate| {
            *rate *= factor;
            *rate > MIN_KEY_RATE
        });
    }

    /// Returns the factor that corrects rates for the load from before the measurement began.
    pub(crate) fn correction(&self) -> f32 {
        1.0 / self.weight.max(MIN_WEIGHT)
    }

    /// Returns the key with the highest request rate.
    pub(crate) fn hottest_key(&self) -> Option<(u16, f32)> {
        let rates = self.rates.iter().map(|(key, rate)| (*key, *rate));
        rates.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns the total request rate of a range.
    pub(crate) fn rate_of(&self, range: KeyRange) -> f32 {
        self.rates_within(range).map(|(_, rate)| rate).sum()
    }

    /// Returns the keys of a range that have any load, in key order, with their request rates.
    pub(crate) fn rates_within(&self, range: KeyRange) -> impl Iterator<Item = (u16, f32)> {
        self.rates.range(range.first..=range.last).map(|(key, rate)| (*key, *rate))
    }
}
