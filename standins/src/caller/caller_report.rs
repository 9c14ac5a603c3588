use {
    crate::target::RunLedger,
    serde::Serialize,
    std::{
        collections::{BTreeMap, HashSet},
        fmt,
    },
};

/// What became of the requests of one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ClassReport {
    pub name: String,
    /// Requests, each with all its attempts.
    pub offered: u64,
    /// Requests whose whole answer arrived.
    #[serde(rename = "whole")]
    pub succeeded: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Attempts refused as `not-run`.
    pub not_run: u64,
    /// Attempts refused as `unknown`.
    pub unknown: u64,
    /// Attempts that a target answered without success.
    pub run: u64,
    /// Attempts refused without an outcome.
    #[serde(rename = "unnamed")]
    pub without_outcome: u64,
    /// Attempts that broke off.
    pub failed: u64,
    pub timed_out: u64,
    /// Refused attempts by what was said of them.
    pub reasons: BTreeMap<String, u64>,
    /// Answers that were whole by the protocol but not those of their calls.
    pub wrong: u64,
    /// Time to the whole answer over all attempts, in ms.
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// Requests by step of the time series.
    #[serde(skip)]
    pub series: TimeSeries,
}

impl ClassReport {
    /// Share of the requests whose whole answer arrived.
    #[must_use]
    pub fn success_ratio(&self) -> f64 {
        ratio(self.succeeded, self.offered)
    }

    #[must_use]
    pub fn refused(&self) -> u64 {
        self.not_run + self.unknown + self.run + self.without_outcome
    }
}

/// Steps of [`SERIES_STEP`](super::SERIES_STEP), from the start of the fleet.
#[derive(Clone, Default, PartialEq)]
pub struct TimeSeries(pub Vec<SeriesBucket>);

impl fmt::Debug for TimeSeries {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} steps", self.0.len())
    }
}

/// Requests of one class in one step of the time series.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SeriesBucket {
    /// Requests that arrived.
    pub offered: u32,
    /// Of these, whole at the first attempt.
    #[serde(rename = "at_once")]
    pub succeeded_first: u32,
    /// Of these, whole at any attempt.
    #[serde(rename = "whole")]
    pub succeeded: u32,
    /// Requests whose whole answer arrived.
    pub completed: u32,
}

/// What became of all requests of a fleet.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct CallerReport {
    pub classes: Vec<ClassReport>,
    /// Attempts whose whole answer arrived.
    #[serde(skip)]
    pub succeeded_attempts: HashSet<String>,
    /// Attempts that were told `not-run`.
    #[serde(skip)]
    pub not_run_attempts: Vec<String>,
}

impl CallerReport {
    /// Attempts told `not-run` although a target had read them.
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
