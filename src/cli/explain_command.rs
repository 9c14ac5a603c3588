//! Command `explain`: reports from logs why a request failed.

use {
    super::{
        CliError, CliOutput,
        command_flags::Explain,
        log_line::{LogLine, root_request_id},
        log_selection::select_lines,
        request_history::{RequestHistory, describe_cause},
    },
    std::{
        io::Write,
        time::{Duration, SystemTime},
    },
};

/// Period before a failure for which state lines are printed.
const CONTEXT_BEFORE: Duration = Duration::from_secs(3);
/// Period after a failure for which state lines are printed.
const CONTEXT_AFTER: Duration = Duration::from_secs(1);
/// Maximum number of state lines; those closest to the failure are printed.
const MAX_CONTEXT_LINES: usize = 6;
/// Message about the load of a service as the ingress sidecar estimates it.
const SERVICE_STATE_MESSAGE: &str = "service held back";
/// Messages about the state of a sidecar, its target and the store.
const NODE_STATE_MESSAGES: [&str; 7] = [
    "target loaded",
    "target reported",
    "target lost",
    "store lost",
    "store regained",
    "configuration in force",
    "phase",
];

pub(super) fn run<O, E>(flags: &Explain, output: &mut CliOutput<O, E>) -> Result<(), CliError>
where
    O: Write,
    E: Write,
{
    if flags.files.is_empty() {
        return Err(CliError::Usage("explain needs a log file".into()));
    }
    let root = root_request_id(&flags.request);
    let selected = select_lines(&flags.files, |line| line.depth_below(root).is_some())?;
    if selected.lines.is_empty() {
        let read_line_count = selected.read_line_count;
        return Err(CliError::Failed(format!(
            "{root}: in none of {read_line_count} lines; lines of successful requests are rate-limited and may be missing"
        )));
    }
    let history = RequestHistory::new(root, &selected.lines);
    let outcome = history.outcome_text();
    let outcome = outcome
        .as_deref()
        .unwrap_or("these logs do not show how it ended");
    output.print_line(format_args!("request {root}: {outcome}"));
    let Some(cause) = history.cause() else {
        output.print_line("nothing failed in these logs");
        print_history(&history, output);
        return Ok(());
    };
    output.print_line(format_args!("cause: {}", describe_cause(cause)));
    print_history(&history, output);
    print_context(flags, cause, output)
}

fn print_history<O, E>(history: &RequestHistory<'_>, output: &mut CliOutput<O, E>)
where
    O: Write,
    E: Write,
{
    for (depth, line) in history.lines() {
        output.print_line(line.to_text(depth));
    }
}

/// Prints the state lines close to the failure: those about its service, and those of the sidecar
/// that logged it.
fn print_context<O, E>(
    flags: &Explain,
    cause: &LogLine,
    output: &mut CliOutput<O, E>,
) -> Result<(), CliError>
where
    O: Write,
    E: Write,
{
    let service = cause.text_field("service");
    let selected = select_lines(&flags.files, |line| {
        let is_near =
            line.time + CONTEXT_BEFORE >= cause.time && line.time <= cause.time + CONTEXT_AFTER;
        let message = line.message.as_str();
        let is_service_state = message == SERVICE_STATE_MESSAGE
            && service.is_some()
            && line.text_field("service") == service;
        let is_node_state = NODE_STATE_MESSAGES.contains(&message) && line.node == cause.node;
        is_near && (is_service_state || is_node_state)
    })?;
    let mut lines = selected.lines;
    lines.sort_by_key(|line| (line.node != cause.node, time_between(line.time, cause.time)));
    lines.truncate(MAX_CONTEXT_LINES);
    lines.sort_by_key(|line| line.time);
    if !lines.is_empty() {
        output.print_line("state around the failure:");
    }
    for line in lines {
        output.print_line(line.to_text(0));
    }
    Ok(())
}

fn time_between(one: SystemTime, other: SystemTime) -> Duration {
    let later = one.duration_since(other);
    later.unwrap_or_else(|error| error.duration())
}
