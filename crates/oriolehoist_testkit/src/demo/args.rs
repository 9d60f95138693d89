use {
    crate::{
        caller::LoadProfile,
        demo::{Demo, run},
        site::Site,
    },
    argh::FromArgs,
    std::process::ExitCode,
};

/// Run a complete site in one process.
#[derive(FromArgs)]
struct Args {
    /// run a mixed load for this many seconds
    #[argh(option)]
    seconds: Option<u64>,
    /// kill the owner of a key halfway through
    #[argh(switch)]
    kill_owner: bool,
}

/// Runs a demo with command-line arguments. The exit code tells whether every invariant held.
///
/// # Errors
///
/// Returns an error if the site can't be started.
pub async fn run_from_args(site: Site, loads: Vec<LoadProfile>) -> eyre::Result<ExitCode> {
    let args: Args = argh::from_env();
    let demo = Demo { site, loads, seconds: args.seconds, kill_owner: args.kill_owner };
    Ok(match run(demo).await? {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

/// Builds the profile of one part of a site's load. The workspace is named after the class, and
/// the rate is the seed.
pub fn load_profile(
    service: &str,
    class: &'static str,
    rate: u64,
    key_count: u64,
    booking_percent: u64,
) -> LoadProfile {
    LoadProfile {
        service: service.into(),
        rate,
        key_count,
        booking_percent,
        class,
        workspace: class.into(),
        seed: rate,
        ..LoadProfile::default()
    }
}
