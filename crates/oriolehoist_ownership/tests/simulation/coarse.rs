//! The steps of the exhaustive exploration.

use super::Simulation;

impl Simulation {
    /// The number of different coarse steps.
    pub const COARSE_STEPS: usize = 11;

    /// Performs coarse step number `step`.
    pub fn coarse_step(&mut self, step: usize) {
        match step {
            0 => self.run_rounds(1),
            // 350 ms are longer than a witness lease, 950 ms longer than a grant.
            1 => self.time += 350,
            2 => self.time += 950,
            3 => self.isolate_daemon(0),
            4 => self.cut_links.clear(),
            5 => self.take_over(1, true),
            6 => self.daemons[0].frozen = !self.daemons[0].frozen,
            7 => self.servers[0].frozen = !self.servers[0].frozen,
            8 => self.restart_server(0),
            9 => self.cut_server_link(0),
            _ => self.restart_daemon(1),
        }
    }
}
