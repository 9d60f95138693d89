//! The command-line client for operators.

use {
    oriolehoist_ctl::{Args, ExitStatus, run},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let exit_status = match runtime {
        Ok(runtime) => runtime.block_on(run(args)),
        Err(error) => {
            eprintln!("oriolectl: failed to start the async runtime: {error}");
            ExitStatus::Unreachable
        }
    };
    ExitCode::from(exit_status.code())
}
