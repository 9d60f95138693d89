//! The Villacrés site: four availability zones, a sharded service for live tides and bookings, and
//! one for almanacs.
//!
//! `cargo run --release --example villacres` starts the site and prints commands to try.
//! With `-- --seconds N` it puts a mixed load on the site, prints a report, and exits with 1 if a
//! guarantee was violated. `--kill-owner` kills the owner of a key halfway through.

use {
    oriolehoist_testkit::{
        demo::{load_profile, run_from_args},
        site,
    },
    std::process::ExitCode,
};

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let loads = vec![
        // Pilots query tide windows, harbour masters book them, and cooperatives download almanacs.
        load_profile("mareas-live", "urgent", 400, 200, 0),
        load_profile("mareas-live", "interactive", 100, 200, 100),
        load_profile("almanaque", "bulk", 60, 0, 0),
    ];
    run_from_args(site::villacres(), loads).await
}
