//! The coarse steps of the exhaustive exploration.

use super::World;

impl World {
    /// How many coarse steps there are.
    pub const COARSE_STEPS: usize = 11;

    /// Carries out one of the coarse steps of the exhaustive exploration.
    pub fn coarse_step(&mut self, step: usize) {
        match step {
            0 => self.run_in_order(1),
            1 => self.time += 350,
            2 => self.time += 950,
            3 => self.isolate(0),
            4 => self.cuts.clear(),
            5 => self.take_over(1, true),
            6 => self.daemons[0].frozen = !self.daemons[0].frozen,
            7 => self.servers[0].frozen = !self.servers[0].frozen,
            8 => self.restart_server(0),
            9 => self.cut(0),
            _ => self.restart_daemon(1),
        }
    }
}
