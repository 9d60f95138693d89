//! The Villacrés site: four availability zones, live tides and bookings split by key, almanacs.
//!
//! `cargo run --release --example villacres` starts it and prints what to try;
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

/// Runs the Villacrés site in one process.
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
        site: site::villacres(),
        loads: vec![
            // Pilots ask for windows, harbour masters book them, cooperatives pull almanacs.
            load("mareas-live", "urgent", 400, 200, 0),
            load("mareas-live", "interactive", 100, 200, 100),
            load("almanaque", "bulk", 60, 0, 0),
        ],
        seconds: args.seconds,
        kill_owner: args.kill_owner,
    };
    Ok(match run(demo).await? {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}
