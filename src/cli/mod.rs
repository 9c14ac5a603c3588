//! Command line of the operators.
//!
//! [`run`] parses the arguments, runs one command and returns the exit status: 0 for success, 1 for
//! a failure, 2 for bad input. Results go to standard output, errors to standard error.

mod admin_client;
mod cli_error;
mod cli_output;
mod command_flags;
mod event_line;
mod explain_command;
mod log_line;
mod log_selection;
mod logs_command;
mod member_command;
mod policy_command;
mod replay_command;
mod request_history;
mod settings_command;
mod timeline_command;

pub use {
    admin_client::{CONNECT_TIMEOUT, RESPONSE_TIMEOUT},
    cli_error::CliError,
    cli_output::CliOutput,
};

use {
    command_flags::{Banyantrestle, BanyantrestleCmd},
    std::{ffi::OsString, io::Write, process::ExitCode},
};

const USAGE_STATUS: u8 = 2;

/// Runs the command in `arguments`, which exclude the program name.
pub async fn run<O, E>(arguments: Vec<OsString>, output: &mut CliOutput<O, E>) -> ExitCode
where
    O: Write,
    E: Write,
{
    let flags = match Banyantrestle::from_vec(arguments) {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            output.print_line(error);
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            output.print_error(format_args!("{error}\nTry banyantrestle --help."));
            return ExitCode::from(USAGE_STATUS);
        }
    };
    match run_command(flags.subcommand, output).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            output.print_error(&error);
            error.exit_code()
        }
    }
}

async fn run_command<O, E>(
    command: BanyantrestleCmd,
    output: &mut CliOutput<O, E>,
) -> Result<(), CliError>
where
    O: Write,
    E: Write,
{
    match command {
        BanyantrestleCmd::Policy(policy) => policy_command::run(policy.subcommand, output).await,
        BanyantrestleCmd::Members(members) => member_command::run(&members, output).await,
        BanyantrestleCmd::Timeline(timeline) => timeline_command::run(&timeline, output).await,
        BanyantrestleCmd::Explain(explain) => explain_command::run(&explain, output),
        BanyantrestleCmd::Logs(logs) => logs_command::run(&logs, output),
        BanyantrestleCmd::Replay(replay) => replay_command::run(&replay, output),
        BanyantrestleCmd::Settings(settings) => settings_command::run(&settings, output),
        BanyantrestleCmd::Version(_) => {
            output.print_line(concat!("banyantrestle ", env!("CARGO_PKG_VERSION")));
            Ok(())
        }
    }
}
