//! Command `settings`: checks the settings of a daemon.

use {
    super::{
        CliError, CliOutput,
        command_flags::{Settings, SettingsAction},
    },
    crate::settings,
    std::io::Write,
};

pub(super) fn run<O, E>(flags: &Settings, output: &mut CliOutput<O, E>) -> Result<(), CliError>
where
    O: Write,
    E: Write,
{
    match flags.action {
        SettingsAction::Check => {
            settings::load(&flags.file)?;
            output.print_line(format_args!("{}: ok", flags.file.display()));
            Ok(())
        }
    }
}
