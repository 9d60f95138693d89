//! The Sfax site: three availability zones, laundry bookings split by key, machine history.
//!
//! `cargo run --release --example sfax` starts it and prints what to try;
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
        // Tenants refresh slot lists and book, caretakers read the history.
        load_profile("reservation", "interactive", 300, 200, 0),
        load_profile("reservation", "urgent", 80, 200, 100),
        load_profile("caretaker-desk", "bulk", 40, 0, 0),
    ];
    run_from_args(site::sfax(), loads).await
}
