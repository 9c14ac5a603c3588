use {
    super::{
        CliError, CliOutput,
        command_flags::Logs,
        log_files::pick_lines,
        log_line::{LogLine, root_of},
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
        return Err(CliError::Usage("logs needs a file of logs".into()));
    }
    let picked = pick_lines(&flags.files, |line| is_wanted(flags, line))?;
    let root = flags.request.as_deref().map(root_of);
    for line in &picked.lines {
        let depth = root.and_then(|root| line.depth_below(root));
        output.line(line.to_text(depth.unwrap_or_default()));
    }
    if picked.dropped > 0 {
        let dropped = picked.dropped;
        output.error(format_args!("{dropped} further lines left out"));
    }
    Ok(())
}

fn is_wanted(flags: &Logs, line: &LogLine) -> bool {
    let is_of = |wanted: &Option<String>, value: Option<&str>| {
        wanted.as_deref().is_none_or(|wanted| value == Some(wanted))
    };
    let request = flags.request.as_deref().map(root_of);
    // What a process believes stands in lines that belong to no request.
    let is_request = match request {
        Some(root) => line.depth_below(root).is_some(),
        None => line.text("request").is_none(),
    };
    let at = |millis| UNIX_EPOCH + Duration::from_millis(millis);
    is_request
        && is_of(&flags.node, Some(&line.node))
        && is_of(&flags.service, line.text("service"))
        && flags.from.is_none_or(|millis| line.time >= at(millis))
        && flags.to.is_none_or(|millis| line.time < at(millis))
}
