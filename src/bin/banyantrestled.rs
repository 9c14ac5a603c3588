//! The daemon that runs beside each target.

use {
    banyantrestle::daemon::{DaemonCommand, run_daemon},
    std::process::ExitCode,
};

fn main() -> ExitCode {
    match DaemonCommand::from_args() {
        Ok(command) => run_daemon(&command),
        Err(exit) => exit,
    }
}
