use {
    oriolehoist_port::KeyRange,
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// The time after which a measured load counts half.
const HALF_LIFE: Millis = Millis(1200);
/// Below this many requests a second the load of a key is forgotten.
const NEGLIGIBLE: f32 = 0.02;

/// What one daemon saw since its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// How many requests there were for each key.
    pub keys: Vec<(u16, u32)>,
    /// For each server the time that it took for requests, in milliseconds, and how many they were.
    pub work: Vec<(SmolStr, u32, u32)>,
}

/// The load of a service by key, in requests a second.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyLoad {
    keys: BTreeMap<u16, f32>,
    decayed_at: Millis,
}

impl KeyLoad {
    /// Adds the requests of a report.
    pub(crate) fn add(&mut self, report: &LoadReport) {
        // What is added decays with the half-life, so its sum over time is this many seconds.
        let seconds = HALF_LIFE.0 as f32 / 1000.0 / std::f32::consts::LN_2;
        for (key, requests) in &report.keys {
            *self.keys.entry(*key).or_default() += *requests as f32 / seconds;
        }
    }

    /// Lets what was measured earlier count less.
    pub(crate) fn decay(&mut self, now: Millis) {
        let elapsed = now.since(self.decayed_at);
        let factor = 0.5_f32.powf(elapsed.0 as f32 / HALF_LIFE.0 as f32);
        self.decayed_at = now;
        self.keys.retain(|_, load| {
            *load *= factor;
            *load > NEGLIGIBLE
        });
    }

    /// Returns the key with the most load.
    pub(crate) fn hottest(&self) -> Option<(u16, f32)> {
        let keys = self.keys.iter().map(|(key, load)| (*key, *load));
        keys.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Returns the load of a range.
    pub(crate) fn of(&self, range: KeyRange) -> f32 {
        self.within(range).map(|(_, load)| load).sum()
    }

    /// Returns the keys of a range that have load, in order.
    pub(crate) fn within(&self, range: KeyRange) -> impl Iterator<Item = (u16, f32)> {
        self.keys.range(range.first..=range.last).map(|(key, load)| (*key, *load))
    }
}
