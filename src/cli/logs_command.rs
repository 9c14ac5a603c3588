//! Command `logs`: prints selected log lines of several sidecars in time order.

use {
    super::{
        CliError, CliOutput,
        command_flags::Logs,
        log_line::{LogLine, root_request_id},
        log_selection::select_lines,
    },
    std::{
        io::Write,
        time::{Duration, UNIX_EPOCH},
    },
};

pub(super) fn run<O, E>(flags: &Logs, output: &mut CliOutput<O, E>) -> Result<(), CliError>
where
    O: Write,
    E: Write,
{
    if flags.files.is_empty() {
        return Err(CliError::Usage("logs needs a log file".into()));
    }
    let selected = select_lines(&flags.files, |line| is_selected(flags, line))?;
    let root = flags.request.as_deref().map(root_request_id);
    for line in &selected.lines {
        let depth = root.and_then(|root| line.depth_below(root));
        output.print_line(line.to_text(depth.unwrap_or_default()));
    }
    if selected.dropped_line_count > 0 {
        let dropped_line_count = selected.dropped_line_count;
        output.print_error(format_args!(
            "{dropped_line_count} further lines match but are not printed"
        ));
    }
    Ok(())
}

fn is_selected(flags: &Logs, line: &LogLine) -> bool {
    let matches_flag = |wanted: &Option<String>, value: Option<&str>| {
        wanted.as_deref().is_none_or(|wanted| value == Some(wanted))
    };
    let request = flags.request.as_deref().map(root_request_id);
    // Lines about the state of a sidecar have no request field.
    let is_selected_request = match request {
        Some(root) => line.depth_below(root).is_some(),
        None => line.text_field("request").is_none(),
    };
    let time_of = |time_ms| UNIX_EPOCH + Duration::from_millis(time_ms);
    is_selected_request
        && matches_flag(&flags.node, Some(&line.node))
        && matches_flag(&flags.service, line.text_field("service"))
        && flags
            .from
            .is_none_or(|time_ms| line.time >= time_of(time_ms))
        && flags.to.is_none_or(|time_ms| line.time < time_of(time_ms))
}
