use {
    crate::{
        caller::LoadMix,
        demo::{Demo, run},
        site::Site,
    },
    argh::FromArgs,
    std::process::ExitCode,
};

/// Runs a site in one process.
#[derive(FromArgs)]
struct Args {
    /// drive the site under a mixed load for so many seconds
    #[argh(option)]
    seconds: Option<u64>,
    /// kill the owner of a key halfway through
    #[argh(switch)]
    kill_owner: bool,
}

/// Runs a demonstration as a program with arguments. Its exit code tells whether every promise was
/// kept.
///
/// # Errors
///
/// Returns an error if the site can't be started.
pub async fn run_program(site: Site, loads: Vec<LoadMix>) -> eyre::Result<ExitCode> {
    let args: Args = argh::from_env();
    let demo = Demo { site, loads, seconds: args.seconds, kill_owner: args.kill_owner };
    Ok(match run(demo).await? {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

/// Describes one part of a site's load: `bookings` of a hundred requests must not run twice.
pub fn mixed_load(
    service: &str,
    class: &'static str,
    rate: u64,
    keys: u64,
    bookings: u64,
) -> LoadMix {
    LoadMix {
        service: service.into(),
        rate,
        keys,
        bookings,
        class,
        tenant: class.into(),
        seed: rate,
        ..LoadMix::default()
    }
}
