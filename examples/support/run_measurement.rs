use {
    super::{
        deployment_spec::DeploymentSpec,
        pressure_scenario::{PressureKind, PressureScenario},
    },
    serde::Serialize,
    standins::{
        caller::{CallerReport, ClassReport, RunSpan},
        target::RunLedger,
    },
    std::{
        cmp::Reverse,
        collections::BTreeMap,
        fmt::{self, Display, Formatter},
        time::Duration,
    },
};

/// Least goodput in a surge, as a share of what the bottleneck could serve.
const GOODPUT_GOAL: f64 = 0.95;
/// Least share of requests of the highest class that succeed.
const HIGHEST_CLASS_GOAL: f64 = 0.99;
/// Keys listed in [`RunMeasurement::duplicate_runs`].
const MAX_SHOWN_KEYS: usize = 3;
/// Reasons listed in [`RunMeasurement::reasons`].
const MAX_SHOWN_REASONS: usize = 8;
/// Longest time to recovery.
const RECOVERY_GOAL: Duration = Duration::from_secs(2);

/// Whether a goal was met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum GoalResult {
    Met,
    Missed,
    /// The goal does not apply to the scenario.
    NotApplicable,
}

/// Requests of one class during the pressure.
#[derive(Clone, Debug, Serialize)]
pub struct ClassShare {
    pub name: String,
    pub offered: u32,
    /// Offered requests that got their complete response, also after the pressure.
    #[serde(rename = "whole")]
    pub succeeded: u32,
    /// Requests completed during the pressure, as a share of what the bottleneck could serve.
    pub of_capacity: f64,
}

impl Display for ClassShare {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            name,
            offered,
            succeeded,
            of_capacity,
        } = self;
        let percent = of_capacity * 100.0;
        write!(
            formatter,
            "{name} {succeeded}/{offered} ({percent:.1}% of capacity)"
        )
    }
}

/// Results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunMeasurement {
    pub scenario: String,
    pub mode: String,
    /// Calls per second that the bottleneck could serve during the pressure.
    pub capacity: f64,
    pub classes: Vec<ClassShare>,
    /// Requests completed during the pressure, as a share of those that could be: the offered ones,
    /// or the capacity if it is less.
    pub goodput: f64,
    /// Requests completed during the pressure, by weight of their class, as a share of the largest
    /// weight that fits into the capacity.
    pub weighted_goodput: f64,
    /// Share of the requests of the highest class, offered during the pressure, that succeeded.
    pub highest_class: f64,
    /// Largest number of runs after the first that one service started for one attempt of a caller;
    /// a lower bound for the retries of that attempt.
    pub most_retries: u32,
    /// Runs for attempts of callers whose complete response never arrived, as a share of all runs.
    pub wasted: f64,
    /// Idempotency keys that were executed more than once.
    #[serde(rename = "doubled_keys")]
    pub duplicate_keys: u64,
    /// Runs of some of these keys.
    #[serde(rename = "doubled_runs")]
    pub duplicate_runs: Vec<String>,
    /// Refused attempts by reason, the most frequent first.
    pub reasons: Vec<(String, u64)>,
    /// Attempts refused as `not-run` although a target had read them.
    pub false_not_run: u64,
    /// Responses that were complete but did not match their call.
    #[serde(rename = "wrong_answers")]
    pub wrong_responses: u64,
    /// Refused attempts.
    pub refused: u64,
    /// Attempts of callers after the first of each request.
    pub caller_retries: u64,
    /// Time to recovery; absent if the run ended before recovery.
    pub recovery_ms: Option<u128>,
    /// Result for each goal by name.
    #[serde(rename = "verdicts")]
    pub goal_results: Vec<(&'static str, GoalResult)>,
}

/// Records of a run, from which its results are computed.
pub struct RunRecords<'a> {
    pub spec: &'a DeploymentSpec,
    pub scenario: &'a PressureScenario,
    pub mode: String,
    /// Calls per second that the bottleneck serves without faults.
    pub capacity: f64,
    pub report: &'a CallerReport,
    pub ledger: &'a RunLedger,
}

impl RunRecords<'_> {
    pub fn measurement(&self) -> RunMeasurement {
        let span = self.pressure_span();
        let capacity = self.capacity * self.remaining_capacity();
        let capacity_calls = capacity * span.length().as_secs_f64();
        let offered: u32 = self.sum(span, |bucket| bucket.offered);
        let completed: u32 = self.sum(span, |bucket| bucket.completed);
        let possible = capacity_calls.min(f64::from(offered));
        let runs = self.ledger.report();
        let wasted = self.ledger.wasted_runs(&self.report.succeeded_attempts);
        let mut measurement = RunMeasurement {
            scenario: self.scenario.name.clone(),
            mode: self.mode.clone(),
            capacity,
            classes: self.class_shares(span, capacity_calls),
            goodput: f64::from(completed) / possible,
            weighted_goodput: self.weighted_goodput(span, capacity_calls),
            highest_class: self.highest_class(span),
            most_retries: runs.max_extra_service_runs,
            wasted: ratio(wasted, runs.started),
            duplicate_keys: runs.duplicate_keys,
            duplicate_runs: self.duplicate_runs(),
            reasons: self.reasons(),
            false_not_run: self.report.false_not_run(self.ledger),
            wrong_responses: runs.wrong_responses + self.report.total(|class| class.wrong),
            refused: self.report.total(ClassReport::refused),
            caller_retries: self.report.total(|class| class.retries),
            recovery_ms: self.recovery().map(|time| time.as_millis()),
            goal_results: Vec::new(),
        };
        measurement.goal_results = self.goal_results(&measurement, capacity_calls);
        measurement
    }

    fn duplicate_runs(&self) -> Vec<String> {
        let duplicates = self
            .ledger
            .duplicate_runs()
            .into_iter()
            .take(MAX_SHOWN_KEYS);
        duplicates
            .map(|(key, runs)| format!("{key}: {runs:?}"))
            .collect()
    }

    fn reasons(&self) -> Vec<(String, u64)> {
        let mut sums: BTreeMap<String, u64> = BTreeMap::new();
        for class in &self.report.classes {
            for (reason, count) in &class.reasons {
                *sums.entry(reason.clone()).or_default() += count;
            }
        }
        let mut reasons: Vec<(String, u64)> = sums.into_iter().collect();
        reasons.sort_by_key(|(_, count)| Reverse(*count));
        reasons.truncate(MAX_SHOWN_REASONS);
        reasons
    }

    fn pressure_span(&self) -> RunSpan {
        RunSpan {
            from: self.scenario.warm_up,
            until: self.scenario.warm_up + self.scenario.pressure,
        }
    }

    /// Share of the bottleneck's capacity that remains under the pressure.
    fn remaining_capacity(&self) -> f64 {
        let mut remaining = 1.0;
        if self.scenario.includes(PressureKind::SlowService) {
            remaining /= super::trial_run::SLOWDOWN_FACTOR;
        }
        if self.scenario.includes(PressureKind::LostDataCentre) {
            let targets = self.spec.bottleneck().targets;
            let lost = targets.div_ceil(self.spec.data_centres.len());
            remaining *= 1.0 - ratio(lost as u64, targets as u64);
        }
        remaining
    }

    fn sum(&self, span: RunSpan, count: impl Fn(standins::caller::SeriesBucket) -> u32) -> u32 {
        let classes = self.report.classes.iter();
        classes.map(|class| count(class.sum_during(span))).sum()
    }

    fn class_shares(&self, span: RunSpan, capacity_calls: f64) -> Vec<ClassShare> {
        let classes = self.report.classes.iter();
        let share = |class: &ClassReport| {
            let sum = class.sum_during(span);
            ClassShare {
                name: class.name.clone(),
                offered: sum.offered,
                succeeded: sum.succeeded,
                of_capacity: f64::from(sum.completed) / capacity_calls,
            }
        };
        classes.map(share).collect()
    }

    /// Weight of the completed requests, as a share of the largest weight that fits into the
    /// capacity.
    fn weighted_goodput(&self, span: RunSpan, capacity_calls: f64) -> f64 {
        let mut remaining = capacity_calls;
        let mut best = 0.0;
        let mut achieved = 0.0;
        for (class, report) in self.spec.classes.iter().zip(&self.report.classes) {
            let weight = f64::from(class.weight);
            let sum = report.sum_during(span);
            let fitting_calls = f64::from(sum.offered).min(remaining);
            remaining -= fitting_calls;
            best += weight * fitting_calls;
            achieved += weight * f64::from(sum.completed);
        }
        achieved / best
    }

    fn highest_class(&self, span: RunSpan) -> f64 {
        let sum = self.report.classes[0].sum_during(span);
        ratio(u64::from(sum.succeeded), u64::from(sum.offered))
    }

    /// Time to recovery, counted from the end of the pressure. If the only pressure is a lost data
    /// centre, it is counted from the loss, because the data centre does not return.
    fn recovery(&self) -> Option<Duration> {
        let pressure = self.pressure_span();
        let is_lasting = self.scenario.kinds == [PressureKind::LostDataCentre];
        let span = RunSpan {
            from: if is_lasting {
                pressure.from
            } else {
                pressure.until
            },
            until: self.scenario.duration(),
        };
        let has_table = !self.scenario.includes(PressureKind::TableDown);
        let is_counted = |class: &ClassReport| has_table || !self.is_keyed(class);
        self.report.recovery_time(span, is_counted)
    }

    fn is_keyed(&self, report: &ClassReport) -> bool {
        let mut classes = self.spec.classes.iter();
        classes.any(|class| class.name == report.name && class.is_keyed)
    }

    fn goal_results(
        &self,
        measurement: &RunMeasurement,
        capacity_calls: f64,
    ) -> Vec<(&'static str, GoalResult)> {
        let offered = measurement.classes[0].offered;
        let has_table = !self.scenario.includes(PressureKind::TableDown);
        let is_within_capacity = f64::from(offered) <= capacity_calls && has_table;
        let is_surge = self.scenario.kinds == [PressureKind::Surge];
        let recovery = measurement.recovery_ms;
        let has_recovered_in_time = recovery.is_some_and(|time| time <= RECOVERY_GOAL.as_millis());
        let is_highest_class_served = measurement.highest_class >= HIGHEST_CLASS_GOAL;
        vec![
            (
                "goodput",
                goal_result(is_surge, measurement.goodput >= GOODPUT_GOAL),
            ),
            (
                "highest class",
                goal_result(is_within_capacity, is_highest_class_served),
            ),
            ("recovery", goal_result(true, has_recovered_in_time)),
            (
                "retry budget",
                goal_result(true, measurement.most_retries <= self.spec.retries),
            ),
            (
                "at most once",
                goal_result(true, measurement.duplicate_keys == 0),
            ),
            ("not-run", goal_result(true, measurement.false_not_run == 0)),
            (
                "whole answers",
                goal_result(true, measurement.wrong_responses == 0),
            ),
        ]
    }
}

impl RunMeasurement {
    /// Formats the results as one line of the table.
    pub fn line(&self) -> String {
        let recovery = self
            .recovery_ms
            .map_or("never".into(), |time| format!("{time}"));
        format!(
            "{:<22} {:<14} {:>6.0} {:>7.1}% {:>8.1}% {:>7.1}% {:>7} {:>6.1}% {:>7} {:>7} {:>7} {:>8}",
            self.scenario,
            self.mode,
            self.capacity,
            self.goodput * 100.0,
            self.weighted_goodput * 100.0,
            self.highest_class * 100.0,
            self.most_retries,
            self.wasted * 100.0,
            self.duplicate_keys,
            self.false_not_run,
            self.wrong_responses,
            recovery,
        )
    }

    pub fn heading() -> String {
        format!(
            "{:<22} {:<14} {:>6} {:>8} {:>9} {:>8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>8}",
            "scenario",
            "mode",
            "cap/s",
            "goodput",
            "weighted",
            "highest",
            "retries",
            "wasted",
            "doubled",
            "false",
            "wrong",
            "recov ms",
        )
    }

    pub fn missed(&self) -> impl Iterator<Item = &'static str> {
        let missed = self.goal_results.iter();
        let missed = missed.filter(|(_, result)| *result == GoalResult::Missed);
        missed.map(|(name, _)| *name)
    }
}

fn goal_result(applies: bool, is_met: bool) -> GoalResult {
    match (applies, is_met) {
        (false, _) => GoalResult::NotApplicable,
        (true, true) => GoalResult::Met,
        (true, false) => GoalResult::Missed,
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run stay far below 2^52"
)]
fn ratio(part: u64, all: u64) -> f64 {
    if all == 0 {
        0.0
    } else {
        part as f64 / all as f64
    }
}
