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

/// Share of the bottleneck's capacity that goodput must reach.
const GOODPUT_GOAL: f64 = 0.95;
/// Share of the highest class that must be served.
const HIGHEST_CLASS_GOAL: f64 = 0.99;
const MAX_SHOWN_KEYS: usize = 3;
const MAX_SHOWN_REASONS: usize = 8;
const RECOVERY_GOAL: Duration = Duration::from_secs(2);

/// Whether a stated target was met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum GoalResult {
    Met,
    Missed,
    /// The target does not apply to the scenario.
    NotApplicable,
}

/// Share of one class in the time of the pressure.
#[derive(Clone, Debug, Serialize)]
pub struct ClassShare {
    pub name: String,
    pub offered: u32,
    #[serde(rename = "whole")]
    pub succeeded: u32,
    /// Whole answers as a share of what the bottleneck could serve.
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

/// Figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunMeasurement {
    pub scenario: String,
    pub mode: String,
    /// Calls a second that the bottleneck could serve in the time of the pressure.
    pub capacity: f64,
    pub classes: Vec<ClassShare>,
    /// Completed in the time of the pressure, as a share of what could be.
    pub goodput: f64,
    pub weighted_goodput: f64,
    pub highest_class: f64,
    pub most_retries: u32,
    /// Runs for requests whose whole answer never arrived, as a share of all runs.
    pub wasted: f64,
    pub doubled_keys: u64,
    /// Runs of some of the doubled keys.
    pub doubled_runs: Vec<String>,
    /// Refused attempts by reason, the most frequent first.
    pub reasons: Vec<(String, u64)>,
    pub false_not_run: u64,
    #[serde(rename = "wrong_answers")]
    pub wrong_responses: u64,
    pub refused: u64,
    pub caller_retries: u64,
    /// In ms; absent if the run ended before.
    pub recovery_ms: Option<u128>,
    #[serde(rename = "verdicts")]
    pub goal_results: Vec<(&'static str, GoalResult)>,
}

/// What a run left behind.
pub struct RunRecords<'a> {
    pub spec: &'a DeploymentSpec,
    pub scenario: &'a PressureScenario,
    pub mode: String,
    /// Calls a second of the healthy bottleneck.
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
        let wasted = self.ledger.wasted_runs(&self.report.whole_attempts);
        let mut measurement = RunMeasurement {
            scenario: self.scenario.name.clone(),
            mode: self.mode.clone(),
            capacity,
            classes: self.class_shares(span, capacity_calls),
            goodput: f64::from(completed) / possible,
            weighted_goodput: self.weighted_goodput(span, capacity_calls),
            highest_class: self.highest_class(span),
            most_retries: runs.most_service_repeats,
            wasted: ratio(wasted, runs.started),
            doubled_keys: runs.doubled_keys,
            doubled_runs: self.doubled_runs(),
            reasons: self.reasons(),
            false_not_run: self.report.false_not_run(self.ledger),
            wrong_responses: runs.wrong_answers + self.report.total(|class| class.wrong),
            refused: self.report.total(ClassReport::refused),
            caller_retries: self.report.total(|class| class.retries),
            recovery_ms: self.recovery().map(|time| time.as_millis()),
            goal_results: Vec::new(),
        };
        measurement.goal_results = self.goal_results(&measurement, capacity_calls);
        measurement
    }

    fn doubled_runs(&self) -> Vec<String> {
        let doubled = self.ledger.doubled_runs().into_iter().take(MAX_SHOWN_KEYS);
        doubled
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

    /// Share of the bottleneck that the pressure leaves.
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
        classes.map(|class| count(class.during(span))).sum()
    }

    fn class_shares(&self, span: RunSpan, capacity_calls: f64) -> Vec<ClassShare> {
        let classes = self.report.classes.iter();
        let share = |class: &ClassReport| {
            let sum = class.during(span);
            ClassShare {
                name: class.name.clone(),
                offered: sum.offered,
                succeeded: sum.whole,
                of_capacity: f64::from(sum.completed) / capacity_calls,
            }
        };
        classes.map(share).collect()
    }

    /// Weight of what was completed against the best that fits into the capacity.
    fn weighted_goodput(&self, span: RunSpan, capacity_calls: f64) -> f64 {
        let mut remaining = capacity_calls;
        let mut best = 0.0;
        let mut achieved = 0.0;
        for (class, report) in self.spec.classes.iter().zip(&self.report.classes) {
            let weight = f64::from(class.weight);
            let sum = report.during(span);
            let fitting_calls = f64::from(sum.offered).min(remaining);
            remaining -= fitting_calls;
            best += weight * fitting_calls;
            achieved += weight * f64::from(sum.completed);
        }
        achieved / best
    }

    fn highest_class(&self, span: RunSpan) -> f64 {
        let sum = self.report.classes[0].during(span);
        ratio(u64::from(sum.whole), u64::from(sum.offered))
    }

    /// From the end of the pressure; a lost data centre stays lost, so there from its loss.
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
                goal_result(true, measurement.doubled_keys == 0),
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
    /// One line of the table.
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
            self.doubled_keys,
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
