//! The daemon on an entry instance.

use {
    argh::FromArgs,
    eyre::WrapErr,
    oriolehoist_daemon::{Daemon, init_logging},
    std::{fs, path::PathBuf, process::ExitCode},
    tokio::signal::unix::{SignalKind, signal},
};

/// Routes requests to the servers that own their keys. Ends gracefully on SIGTERM or SIGINT.
#[derive(FromArgs)]
struct Args {
    /// the instance file: addresses, availability zone, the platform's addresses, key files
    #[argh(positional)]
    instance: PathBuf,
    /// check the instance file and end
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oriolehoist: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> eyre::Result<()> {
    let path = args.instance.display();
    let text = fs::read_to_string(&args.instance).wrap_err_with(|| format!("can't read {path}"))?;
    let file = oriolehoist_settings::parse_instance(&text)
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
