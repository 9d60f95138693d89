//! The Villacrés site: four availability zones, a sharded service for live tides and bookings, and
//! one for almanacs.
//!
//! `cargo run --release --example villacres` starts the site and prints commands to try.
//! With `-- --seconds N` it puts a mixed load on the site, prints a report, and exits with 1 if a
//! guarantee was violated. `--kill-owner` kills the owner of a key halfway through.

use {
    oriolehoist_testkit::{
        demo::{mixed_load, run_program},
        site,
    },
    std::process::ExitCode,
};

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let loads = vec![
        // Pilots query tide windows, harbour masters book them, and cooperatives download almanacs.
        mixed_load("mareas-live", "urgent", 400, 200, 0),
        mixed_load("mareas-live", "interactive", 100, 200, 100),
        mixed_load("almanaque", "bulk", 60, 0, 0),
    ];
    run_program(site::villacres(), loads).await
}
