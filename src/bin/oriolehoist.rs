//! The daemon, which runs on an entry instance and routes requests to backend servers.

use {
    argh::FromArgs,
    eyre::{OptionExt, WrapErr},
    oriolehoist_adapter::{SETTINGS_VARIABLE, UsersPlatform},
    oriolehoist_daemon::Daemon,
    oriolehoist_log::init_logging,
    std::{env, fs, path::PathBuf, process::ExitCode, sync::Arc},
    tokio::signal::unix::{SignalKind, signal},
};

/// Routes requests to the backend servers that own their keys. Shuts down gracefully on SIGTERM or
/// SIGINT.
#[derive(FromArgs)]
struct Args {
    /// instance file with this instance's addresses, availability zone, platform addresses and key
    /// files
    #[argh(positional)]
    instance: Option<PathBuf>,
    /// validate the instance file and exit
    #[argh(switch)]
    check: bool,
    /// run on the users' platform, with the bootstrap settings from the file that the platform names
    #[argh(switch)]
    platform: bool,
    /// log level on the users' platform: error, warn, info (default) or debug
    #[argh(option, default = "\"info\".into()")]
    log: String,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.platform {
        true => run_on_platform(&args),
        false => run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oriolehoist: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_on_platform(args: &Args) -> eyre::Result<()> {
    let settings_path = env::var_os(SETTINGS_VARIABLE)
        .ok_or_else(|| eyre::eyre!("{SETTINGS_VARIABLE} is not set"))?;
    init_logging(&args.log)?;
    oriolehoist_edge::run(Arc::new(UsersPlatform::default()), &PathBuf::from(settings_path))
}

fn run(args: &Args) -> eyre::Result<()> {
    let instance = args.instance.as_ref().ok_or_eyre("no instance file was given")?;
    let path = instance.display();
    let text = fs::read_to_string(instance).wrap_err_with(|| format!("failed to read {path}"))?;
    let file = oriolehoist_settings::parse_instance_file(&text)
        .map_err(|problems| eyre::eyre!("{path}:\n{problems}"))?;
    let level = file.log.clone();
    let daemon = Daemon::configure(file)?;
    if args.check {
        return Ok(());
    }
    init_logging(&level)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let running = daemon.start().await?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        running.stop().await;
        Ok(())
    })
}
