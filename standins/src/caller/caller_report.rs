use {
    crate::target::RunLedger,
    serde::Serialize,
    std::{
        collections::{BTreeMap, HashSet},
        fmt,
    },
};

/// Outcomes of the requests of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassReport {
    pub name: String,
    /// Requests, each counted once with all its attempts.
    pub offered: u64,
    /// Requests that got a complete response.
    #[serde(rename = "whole")]
    pub succeeded: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Attempts refused with the outcome `not-run`.
    pub not_run: u64,
    /// Attempts refused with the outcome `unknown`.
    pub unknown: u64,
    /// Attempts refused with the outcome `run`: a target responded without success.
    pub run: u64,
    /// Attempts refused without an outcome.
    #[serde(rename = "unnamed")]
    pub without_outcome: u64,
    /// Attempts whose connection failed or whose response was cut short.
    pub failed: u64,
    pub timed_out: u64,
    /// Refused attempts by the detail of their refusal.
    pub reasons: BTreeMap<String, u64>,
    /// Responses that were complete by the protocol but did not belong to their calls.
    pub wrong: u64,
    /// Time from arrival to complete response over all attempts, in ms.
    pub p50_ms: f64,
    /// Time from arrival to complete response over all attempts, in ms.
    pub p99_ms: f64,
    /// Counts by step of the time series.
    #[serde(skip)]
    pub series: TimeSeries,
}

impl ClassReport {
    /// Share of the requests that got a complete response; 1 if there were no requests.
    #[must_use]
    pub fn success_ratio(&self) -> f64 {
        ratio(self.succeeded, self.offered)
    }

    #[must_use]
    pub fn refused(&self) -> u64 {
        self.not_run + self.unknown + self.run + self.without_outcome
    }
}

/// Counts for each [`SERIES_STEP`](super::SERIES_STEP) from the start of the fleet.
#[derive(Clone, Default, PartialEq)]
pub struct TimeSeries(pub Vec<SeriesBucket>);

impl fmt::Debug for TimeSeries {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} steps", self.0.len())
    }
}

/// Counts of one class in one step of the time series.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SeriesBucket {
    /// Requests that arrived in the step.
    pub offered: u32,
    /// Requests that arrived in the step and succeeded at the first attempt.
    #[serde(rename = "at_once")]
    pub succeeded_first: u32,
    /// Requests that arrived in the step and succeeded at any attempt.
    #[serde(rename = "whole")]
    pub succeeded: u32,
    /// Requests whose complete response arrived in the step.
    pub completed: u32,
}

/// Outcomes of all requests of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CallerReport {
    pub classes: Vec<ClassReport>,
    /// Attempts that got a complete response.
    #[serde(skip)]
    pub succeeded_attempts: HashSet<String>,
    /// Attempts refused with the outcome `not-run`.
    #[serde(skip)]
    pub not_run_attempts: Vec<String>,
}

impl CallerReport {
    /// Number of attempts refused as `not-run` although a target had read their request.
    #[must_use]
    pub fn false_not_run(&self, ledger: &RunLedger) -> u64 {
        let refused = self.not_run_attempts.iter();
        refused
            .filter(|attempt| ledger.has_arrived(attempt))
            .count() as u64
    }

    #[must_use]
    pub fn class(&self, name: &str) -> Option<&ClassReport> {
        self.classes.iter().find(|class| class.name == name)
    }

    #[must_use]
    pub fn total(&self, count: impl Fn(&ClassReport) -> u64) -> u64 {
        self.classes.iter().map(count).sum()
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run stay far below 2^52"
)]
fn ratio(count: u64, total: u64) -> f64 {
    if total == 0 {
        1.0
    } else {
        count as f64 / total as f64
    }
}
