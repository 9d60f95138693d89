//! The Sfax site: three availability zones, laundry bookings split by key, machine history.
//!
//! `cargo run --release --example sfax` starts it and prints what to try;
//! `-- --seconds N` drives it under a mixed load, prints a report, and ends with 1 if any promise
//! was seen broken; `--kill-owner` kills the owner of a key halfway through.

use {
    argh::FromArgs,
    oriolehoist_testkit::{
        caller::LoadMix,
        demo::{Demo, run},
        site,
    },
    oriolehoist_time::Millis,
    std::process::ExitCode,
};

/// Runs the Sfax site in one process.
#[derive(FromArgs)]
struct Args {
    /// drive the site under a mixed load for so many seconds
    #[argh(option)]
    seconds: Option<u64>,
    /// kill the owner of a key halfway through
    #[argh(switch)]
    kill_owner: bool,
}

fn load(service: &str, class: &'static str, rate: u64, keys: u64, bookings: u64) -> LoadMix {
    LoadMix {
        service: service.into(),
        rate,
        keys,
        bookings,
        class,
        tenant: class.into(),
        deadline: Millis(3000),
        work: None,
        repeat_unknown: true,
        path: "window".into(),
        seed: rate,
    }
}

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let args: Args = argh::from_env();
    let demo = Demo {
        site: site::sfax(),
        loads: vec![
            // Tenants refresh slot lists and book, caretakers read the history.
            load("reservation", "interactive", 300, 200, 0),
            load("reservation", "urgent", 80, 200, 100),
            load("caretaker-desk", "bulk", 40, 0, 0),
        ],
        seconds: args.seconds,
        kill_owner: args.kill_owner,
    };
    Ok(match run(demo).await? {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
