//! Reconstructs from log lines how a request ended and why it failed.

use {
    super::log_line::LogLine,
    crate::sidecar::{RATE_LIMIT_CAUSE, explain_outcome},
    strum::{Display, EnumString},
};

/// Lowest HTTP status that counts as a failure of the target.
const MIN_FAILURE_STATUS: u64 = 500;

/// Log messages about the outcome of a request or of one of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
enum OutcomeMessage {
    /// The ingress sidecar refused the request without an attempt.
    #[strum(serialize = "refused at the front")]
    RefusedAtIngress,
    #[strum(serialize = "attempt failed")]
    AttemptFailed,
    /// The sidecar sent a response of its own, since it had none from a target.
    #[strum(serialize = "ended here")]
    LocalResponse,
    /// The sidecar forwarded the response of a target.
    #[strum(serialize = "answered")]
    Responded,
}

/// Log lines of one request and its nested calls.
pub(super) struct RequestHistory<'a> {
    root: &'a str,
    /// In time order.
    lines: &'a [LogLine],
}

impl<'a> RequestHistory<'a> {
    pub(super) const fn new(root: &'a str, lines: &'a [LogLine]) -> Self {
        Self { root, lines }
    }

    /// Lines of the request, each with the depth of its call.
    pub(super) fn lines(&self) -> impl Iterator<Item = (usize, &'a LogLine)> {
        let lines = self.lines.iter();
        lines.filter_map(|line| Some((line.depth_below(self.root)?, line)))
    }

    /// Describes how the request itself ended.
    pub(super) fn outcome_text(&self) -> Option<String> {
        let request_lines = self.lines().filter(|(depth, _)| *depth == 0);
        let messages = request_lines.filter_map(|(_, line)| Some((outcome_message(line)?, line)));
        let outcomes = messages.filter(|(message, _)| *message != OutcomeMessage::AttemptFailed);
        let (message, line) = outcomes.last()?;
        let node = &line.node;
        Some(match message {
            OutcomeMessage::Responded => {
                let status = line.number_field("status").unwrap_or_default();
                let elapsed = line.number_field("elapsed_ms").unwrap_or_default();
                format!("answered {status} after {elapsed} ms at {node}")
            }
            _ => format!("{message} by {node}"),
        })
    }

    /// Line that states why the request failed: of the lines of the deepest failed call, the last
    /// one with the highest [`failure_priority`].
    ///
    /// The callers of that call only pass its failure on. A request can also time out while its
    /// nested calls succeed; then the end of the request itself is the cause.
    pub(super) fn cause(&self) -> Option<&'a LogLine> {
        let failures = self.lines().filter_map(|(depth, line)| {
            let priority = failure_priority(line)?;
            Some(((depth, priority), line))
        });
        // `max_by_key` returns the last of several equal maxima.
        let deepest = failures.max_by_key(|(key, _)| *key);
        deepest.map(|(_, line)| line)
    }
}

fn outcome_message(line: &LogLine) -> Option<OutcomeMessage> {
    line.message.parse().ok()
}

/// Priority of a line as the cause of its call's failure, highest for the most specific message;
/// `None` if the line reports no failure.
fn failure_priority(line: &LogLine) -> Option<u8> {
    match outcome_message(line)? {
        OutcomeMessage::Responded => {
            let is_failure = line.number_field("status")? >= MIN_FAILURE_STATUS;
            is_failure.then_some(0)
        }
        // These two reasons only summarize the attempts before them.
        OutcomeMessage::LocalResponse
            if matches!(line.text_field("reason"), Some("not-run" | "unknown")) =>
        {
            Some(1)
        }
        OutcomeMessage::AttemptFailed => Some(2),
        OutcomeMessage::LocalResponse => Some(3),
        OutcomeMessage::RefusedAtIngress => Some(4),
    }
}

/// Describes the failure that a line reports.
pub(super) fn describe_cause(line: &LogLine) -> String {
    let service = line.text_field("service").unwrap_or("unknown");
    match outcome_message(line) {
        Some(OutcomeMessage::RefusedAtIngress)
            if line.text_field("cause") == Some(RATE_LIMIT_CAUSE) =>
        {
            format!("all targets of service {service} limit their calls; not run")
        }
        Some(OutcomeMessage::RefusedAtIngress) => {
            let rank = line.number_field("rank").unwrap_or_default();
            format!(
                "service {service}, which the request would reach, had no capacity for rank {rank}"
            )
        }
        Some(OutcomeMessage::Responded) if line.text_field("cause").is_some() => {
            let cause = line.text_field("cause").unwrap_or_default();
            let (service, outcome) = cause.split_once('=').unwrap_or((cause, "unknown"));
            describe_outcome(Some(service), outcome)
        }
        Some(OutcomeMessage::Responded) => {
            let status = line.number_field("status").unwrap_or_default();
            format!("a target of service {service} ran the call and responded with status {status}")
        }
        _ => {
            let outcome = line.text_field("outcome").or(line.text_field("reason"));
            describe_outcome(line.text_field("service"), outcome.unwrap_or("unknown"))
        }
    }
}

fn describe_outcome(service: Option<&str>, outcome: &str) -> String {
    let meaning = explain_outcome(outcome).unwrap_or("unknown to this version");
    match service {
        Some(service) => format!("service {service}, {outcome}: {meaning}"),
        None => format!("{outcome}: {meaning}"),
    }
}
