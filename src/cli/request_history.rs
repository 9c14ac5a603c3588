use {
    super::log_line::LogLine,
    crate::sidecar::explain_outcome,
    strum::{Display, EnumString},
};

/// Least status of a failure of a target.
const MIN_FAILURE_STATUS: u64 = 500;

/// Lines that tell how a request or an offer of it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
enum EndKind {
    #[strum(serialize = "refused at the front")]
    RefusedAtFront,
    #[strum(serialize = "attempt failed")]
    AttemptFailed,
    #[strum(serialize = "ended here")]
    EndedHere,
    Answered,
}

/// What the logs hold of one request and of the calls below it.
pub(super) struct RequestHistory<'a> {
    root: &'a str,
    /// In the order of their times.
    lines: &'a [LogLine],
}

impl<'a> RequestHistory<'a> {
    pub(super) const fn new(root: &'a str, lines: &'a [LogLine]) -> Self {
        Self { root, lines }
    }

    /// Each line with its depth below the request.
    pub(super) fn lines(&self) -> impl Iterator<Item = (usize, &'a LogLine)> {
        let lines = self.lines.iter();
        lines.filter_map(|line| Some((line.depth_below(self.root)?, line)))
    }

    /// How the request itself ended, in words.
    pub(super) fn end_text(&self) -> Option<String> {
        let request_lines = self.lines().filter(|(depth, _)| *depth == 0);
        let kinds = request_lines.filter_map(|(_, line)| Some((end_kind(line)?, line)));
        let ends = kinds.filter(|(kind, _)| *kind != EndKind::AttemptFailed);
        let (kind, line) = ends.last()?;
        let node = &line.node;
        Some(match kind {
            EndKind::Answered => {
                let status = line.number_field("status").unwrap_or_default();
                let elapsed = line.number_field("elapsed_ms").unwrap_or_default();
                format!("answered {status} after {elapsed} ms at {node}")
            }
            _ => format!("{kind} by {node}"),
        })
    }

    /// The line that says why the request failed: of the deepest call that failed, the last.
    ///
    /// Calls above it only pass the failure on. The time of a request may end while the calls below
    /// go well; then its own end is the cause.
    pub(super) fn cause(&self) -> Option<&'a LogLine> {
        let failures = self.lines().filter_map(|(depth, line)| {
            let priority = failure_priority(line)?;
            Some(((depth, priority), line))
        });
        // Of equal ones the last.
        let deepest = failures.max_by_key(|(key, _)| *key);
        deepest.map(|(_, line)| line)
    }
}

fn end_kind(line: &LogLine) -> Option<EndKind> {
    line.message.parse().ok()
}

/// How much a line says of a failure of its call; `None` if it is no failure.
fn failure_priority(line: &LogLine) -> Option<u8> {
    match end_kind(line)? {
        EndKind::Answered => {
            let is_failure = line.number_field("status")? >= MIN_FAILURE_STATUS;
            is_failure.then_some(0)
        }
        // These two only say what the attempts before them came to.
        EndKind::EndedHere if matches!(line.text_field("reason"), Some("not-run" | "unknown")) => {
            Some(1)
        }
        EndKind::AttemptFailed => Some(2),
        EndKind::EndedHere => Some(3),
        EndKind::RefusedAtFront => Some(4),
    }
}

/// What a line that is the cause of a failure means.
pub(super) fn describe_cause(line: &LogLine) -> String {
    let service = line.text_field("service").unwrap_or("unknown");
    match end_kind(line) {
        Some(EndKind::RefusedAtFront) => {
            let rank = line.number_field("rank").unwrap_or_default();
            format!("service {service}, which it would reach, had no room for rank {rank}")
        }
        Some(EndKind::Answered) if line.text_field("cause").is_some() => {
            let cause = line.text_field("cause").unwrap_or_default();
            let (service, outcome) = cause.split_once('=').unwrap_or((cause, "unknown"));
            describe_outcome(Some(service), outcome)
        }
        Some(EndKind::Answered) => {
            let status = line.number_field("status").unwrap_or_default();
            format!("a target of service {service} ran the call and answered {status}")
        }
        _ => {
            let outcome = line.text_field("outcome").or(line.text_field("reason"));
            describe_outcome(line.text_field("service"), outcome.unwrap_or("unknown"))
        }
    }
}

fn describe_outcome(service: Option<&str>, outcome: &str) -> String {
    let meaning = explain_outcome(outcome).unwrap_or("not known to this version");
    match service {
        Some(service) => format!("service {service}, {outcome}: {meaning}"),
        None => format!("{outcome}: {meaning}"),
    }
}
