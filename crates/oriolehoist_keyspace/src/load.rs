use {
    oriolehoist_port::KeyRange,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
};

/// How many neighbouring keys are counted together. Ranges are cut between buckets.
pub const BUCKET_KEYS: u32 = 16;
const BUCKETS: usize = (u16::MAX as usize + 1) / BUCKET_KEYS as usize;
/// The time after which a measured load counts half.
const HALF_LIFE: Millis = Millis(1500);

/// The requests that one daemon saw since its last report, by bucket.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LoadReport(pub Vec<(u16, u32)>);

/// The load of a service by bucket, as requests a second.
#[derive(Clone, Debug)]
pub(crate) struct KeyLoad {
    buckets: Vec<f32>,
    decayed_at: Millis,
}

impl Default for KeyLoad {
    fn default() -> KeyLoad {
        KeyLoad { buckets: vec![0.0; BUCKETS], decayed_at: Millis::ZERO }
    }
}

impl KeyLoad {
    /// Adds the requests of a report.
    pub(crate) fn add(&mut self, now: Millis, report: &LoadReport) {
        self.decay(now);
        // What is added decays with the half-life, so its sum over time is this many seconds.
        let seconds = HALF_LIFE.0 as f32 / 1000.0 / std::f32::consts::LN_2;
        for (bucket, requests) in &report.0 {
            if let Some(load) = self.buckets.get_mut(usize::from(*bucket)) {
                *load += *requests as f32 / seconds;
            }
        }
    }

    /// Returns the load of a range.
    pub(crate) fn of(&self, range: KeyRange) -> f32 {
        self.buckets[bucket(range.first)..=bucket(range.last)].iter().sum()
    }

    fn decay(&mut self, now: Millis) {
        let elapsed = now.since(self.decayed_at);
        let factor = 0.5_f32.powf(elapsed.0 as f32 / HALF_LIFE.0 as f32);
        self.decayed_at = now;
        for load in &mut self.buckets {
            *load *= factor;
        }
    }
}

fn bucket(key: u16) -> usize {
    usize::from(key) / BUCKET_KEYS as usize
}
