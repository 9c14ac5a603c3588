use std::fmt;

/// Mismatches that are listed; further ones are only counted.
const MAX_LISTED: usize = 100;

/// One line at which the logic came to something else than stated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplayMismatch {
    pub trace: String,
    /// Counted from 1.
    pub line: usize,
    pub expected: String,
    pub got: String,
}

/// What the replay of traces showed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplayReport {
    pub traces: usize,
    pub lines: usize,
    /// Lines whose outcome was stated and compared.
    pub compared: usize,
    /// All mismatches, listed or not.
    pub mismatched: usize,
    pub mismatches: Vec<ReplayMismatch>,
}

impl ReplayReport {
    #[must_use]
    pub fn is_match(&self) -> bool {
        self.mismatched == 0
    }

    /// Adds the report of a further trace.
    pub fn merge(&mut self, other: Self) {
        self.traces += other.traces;
        self.lines += other.lines;
        self.compared += other.compared;
        self.mismatched += other.mismatched;
        self.mismatches.extend(other.mismatches);
    }

    pub(super) fn note(&mut self, mismatch: ReplayMismatch) {
        self.mismatched += 1;
        if self.mismatches.len() < MAX_LISTED {
            self.mismatches.push(mismatch);
        }
    }
}

impl fmt::Display for ReplayMismatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}:{}: expected {}, got {}",
            self.trace, self.line, self.expected, self.got
        )
    }
}

impl fmt::Display for ReplayReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for mismatch in &self.mismatches {
            writeln!(formatter, "{mismatch}")?;
        }
        write!(
            formatter,
            "{} traces, {} lines, {} outcomes compared, {} mismatches",
            self.traces, self.lines, self.compared, self.mismatched
        )
    }
}
