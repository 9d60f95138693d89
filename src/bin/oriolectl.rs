//! The operators' command line.

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
            eprintln!("oriolectl: {error}");
            ExitStatus::Unreachable
        }
    };
    ExitCode::from(exit_status.code())
}
