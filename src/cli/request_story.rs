use {
    super::log_line::LogLine,
    crate::sidecar::explain_outcome,
    strum::{Display, EnumString},
};

/// Least status of a failure of a target.
const FIRST_FAILURE: u64 = 500;

/// Lines that tell how a request or an offer of it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
enum StoryKind {
    #[strum(serialize = "refused at the front")]
    Refused,
    #[strum(serialize = "attempt failed")]
    Attempt,
    #[strum(serialize = "ended here")]
    Ended,
    Answered,
}

/// What the logs hold of one request and of the calls below it.
pub(super) struct RequestStory<'a> {
    root: &'a str,
    /// In the order of their times.
    lines: &'a [LogLine],
}

impl<'a> RequestStory<'a> {
    pub(super) const fn new(root: &'a str, lines: &'a [LogLine]) -> Self {
        Self { root, lines }
    }

    /// Each line with its depth below the request.
    pub(super) fn lines(&self) -> impl Iterator<Item = (usize, &'a LogLine)> {
        let lines = self.lines.iter();
        lines.filter_map(|line| Some((line.depth_below(self.root)?, line)))
    }

    /// How the request itself ended, in words.
    pub(super) fn end(&self) -> Option<String> {
        let own = self.lines().filter(|(depth, _)| *depth == 0);
        let kinds = own.filter_map(|(_, line)| Some((kind_of(line)?, line)));
        let ends = kinds.filter(|(kind, _)| *kind != StoryKind::Attempt);
        let (kind, line) = ends.last()?;
        let node = &line.node;
        Some(match kind {
            StoryKind::Answered => {
                let status = line.number("status").unwrap_or_default();
                let elapsed = line.number("elapsed_ms").unwrap_or_default();
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
        let troubles = self.lines().filter_map(|(depth, line)| {
            let weight = trouble_weight(line)?;
            Some(((depth, weight), line))
        });
        // Of equal ones the last.
        let deepest = troubles.max_by_key(|(key, _)| *key);
        deepest.map(|(_, line)| line)
    }
}

fn kind_of(line: &LogLine) -> Option<StoryKind> {
    line.message.parse().ok()
}

/// How much a line says of a failure of its call; `None` if it is no failure.
fn trouble_weight(line: &LogLine) -> Option<u8> {
    match kind_of(line)? {
        StoryKind::Answered => {
            let is_failure = line.number("status")? >= FIRST_FAILURE;
            is_failure.then_some(0)
        }
        // These two only say what the attempts before them came to.
        StoryKind::Ended if matches!(line.text("reason"), Some("not-run" | "unknown")) => Some(1),
        StoryKind::Attempt => Some(2),
        StoryKind::Ended => Some(3),
        StoryKind::Refused => Some(4),
    }
}

/// What a line that is the cause of a failure means.
pub(super) fn meaning_of(line: &LogLine) -> String {
    let service = line.text("service").unwrap_or("unknown");
    match kind_of(line) {
        Some(StoryKind::Refused) => {
            let rank = line.number("rank").unwrap_or_default();
            format!("service {service}, which it would reach, had no room for rank {rank}")
        }
        Some(StoryKind::Answered) if line.text("cause").is_some() => {
            let cause = line.text("cause").unwrap_or_default();
            let (service, outcome) = cause.split_once('=').unwrap_or((cause, "unknown"));
            meaning_of_outcome(Some(service), outcome)
        }
        Some(StoryKind::Answered) => {
            let status = line.number("status").unwrap_or_default();
            format!("a target of service {service} ran the call and answered {status}")
        }
        _ => {
            let outcome = line.text("outcome").or(line.text("reason"));
            meaning_of_outcome(line.text("service"), outcome.unwrap_or("unknown"))
        }
    }
}

fn meaning_of_outcome(service: Option<&str>, outcome: &str) -> String {
    let meaning = explain_outcome(outcome).unwrap_or("not known to this version");
    match service {
        Some(service) => format!("service {service}, {outcome}: {meaning}"),
        None => format!("{outcome}: {meaning}"),
    }
}
