use std::fmt;

/// Maximum number of mismatches listed per trace; further ones are only counted.
const MAX_LISTED_MISMATCHES: usize = 100;

/// One line whose actual result differs from the expected one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplayMismatch {
    pub trace: String,
    /// Line number in the trace, starting at 1.
    pub line: usize,
    pub expected: String,
    pub actual: String,
}

/// Counts and mismatches of one or more replayed traces.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplayReport {
    pub trace_count: usize,
    pub line_count: usize,
    /// Lines with an expected outcome or an expectation; each is compared.
    pub compared_count: usize,
    /// Number of all mismatches, listed or not.
    pub mismatch_count: usize,
    pub mismatches: Vec<ReplayMismatch>,
}

impl ReplayReport {
    #[must_use]
    pub fn is_match(&self) -> bool {
        self.mismatch_count == 0
    }

    /// Adds the counts and mismatches of another report.
    pub fn merge(&mut self, other: Self) {
        self.trace_count += other.trace_count;
        self.line_count += other.line_count;
        self.compared_count += other.compared_count;
        self.mismatch_count += other.mismatch_count;
        self.mismatches.extend(other.mismatches);
    }

    pub(super) fn add_mismatch(&mut self, mismatch: ReplayMismatch) {
        self.mismatch_count += 1;
        if self.mismatches.len() < MAX_LISTED_MISMATCHES {
            self.mismatches.push(mismatch);
        }
    }
}

impl fmt::Display for ReplayMismatch {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}:{}: expected {}, got {}",
            self.trace, self.line, self.expected, self.actual
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
            self.trace_count, self.line_count, self.compared_count, self.mismatch_count
        )
    }
}
