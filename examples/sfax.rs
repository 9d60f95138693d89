//! The Sfax site: three availability zones, a sharded service for laundry bookings, and one for the
//! machine history.
//!
//! `cargo run --release --example sfax` starts the site and prints commands to try.
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
        // Residents refresh slot lists and make bookings; caretakers read the history.
        load_profile("reservation", "interactive", 300, 200, 0),
        load_profile("reservation", "urgent", 80, 200, 100),
        load_profile("caretaker-desk", "bulk", 40, 0, 0),
    ];
    run_from_args(site::sfax(), loads).await
}
