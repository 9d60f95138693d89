//! The Villacrés site: four availability zones, live tides and bookings split by key, almanacs.
//!
//! `cargo run --release --example villacres` starts it and prints what to try;
//! `-- --seconds N` drives it under a mixed load, prints a report, and ends with 1 if any promise
//! was seen broken; `--kill-owner` kills the owner of a key halfway through.

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
        // Pilots ask for windows, harbour masters book them, cooperatives pull almanacs.
        load_profile("mareas-live", "urgent", 400, 200, 0),
        load_profile("mareas-live", "interactive", 100, 200, 100),
        load_profile("almanaque", "bulk", 60, 0, 0),
    ];
    run_from_args(site::villacres(), loads).await
}
