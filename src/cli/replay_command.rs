//! Command `replay`: replays recorded traces.

use {
    super::{CliError, CliOutput, command_flags::Replay},
    crate::replay,
    std::io::Write,
};

pub(super) fn run<O, E>(flags: &Replay, output: &mut CliOutput<O, E>) -> Result<(), CliError>
where
    O: Write,
    E: Write,
{
    if flags.files.is_empty() {
        return Err(CliError::Usage("replay needs a trace".into()));
    }
    let report = replay::replay_files(&flags.files)
        .map_err(|error| CliError::Usage(format!("{error:#}")))?;
    output.print_line(&report);
    if report.is_match() {
        Ok(())
    } else {
        let mismatch_count = report.mismatch_count;
        Err(CliError::Failed(format!(
            "{mismatch_count} outcomes differ from the expected ones"
        )))
    }
}
