/// Limit on the concurrent requests of one daemon at one server.
///
/// Several daemons share a server without knowing each other's load. The limit follows additive
/// increase, multiplicative decrease (AIMD): it grows while the server serves every request, and
/// shrinks when the server sheds one.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveLimit {
    current: f64,
    max: f64,
}

/// Increase for each request served at the limit, divided by the current limit.
const INCREASE: f64 = 0.25;
/// Factor by which a shed request reduces the limit.
const DECREASE: f64 = 0.7;

impl AdaptiveLimit {
    /// Creates a limit that starts at its maximum, `slots`.
    pub fn new(slots: u32) -> AdaptiveLimit {
        let max = f64::from(slots.max(1));
        AdaptiveLimit { current: max, max }
    }

    /// Returns the current limit, which is at least one.
    pub fn get(&self) -> u32 {
        // The value lies between 1 and the number of slots, so the cast only drops the fraction.
        self.current as u32
    }

    /// Records that the server served a request while the limit was reached.
    pub fn on_served_at_limit(&mut self) {
        self.current = (self.current + INCREASE / self.current).min(self.max);
    }

    /// Records that the server shed a request.
    pub fn on_shed(&mut self) {
        self.current = (self.current * DECREASE).max(1.0);
    }

    /// Applies a changed maximum from the settings.
    pub fn set_slots(&mut self, slots: u32) {
        self.max = f64::from(slots.max(1));
        self.current = self.current.min(self.max);
    }
}
