/// How many requests one daemon may have at one server at once.
///
/// Several daemons share a server without seeing each other. The limit grows by a part while the
/// server takes everything that is offered, and shrinks when it sheds: additive increase,
/// multiplicative decrease.
#[derive(Clone, Copy, Debug)]
pub struct AdaptiveLimit {
    current: f64,
    most: f64,
}

/// What each served request at the limit adds, divided by the limit.
const INCREASE: f64 = 0.25;
/// What a shed request leaves of the limit.
const DECREASE: f64 = 0.7;

impl AdaptiveLimit {
    /// Creates a limit that starts at `slots`, its greatest value.
    pub fn new(slots: u32) -> AdaptiveLimit {
        let most = f64::from(slots.max(1));
        AdaptiveLimit { current: most, most }
    }

    /// Returns the limit, which is never less than one.
    pub fn get(&self) -> u32 {
        // The value lies between 1 and the number of slots, so the cast is exact.
        self.current as u32
    }

    /// Notes that the server served a request while the limit was reached.
    pub fn on_served_at_limit(&mut self) {
        self.current = (self.current + INCREASE / self.current).min(self.most);
    }

    /// Notes that the server shed a request.
    pub fn on_shed(&mut self) {
        self.current = (self.current * DECREASE).max(1.0);
    }

    /// Changes the greatest value, when the settings say so.
    pub fn set_slots(&mut self, slots: u32) {
        self.most = f64::from(slots.max(1));
        self.current = self.current.min(self.most);
    }
}
