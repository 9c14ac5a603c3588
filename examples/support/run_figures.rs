use {
    super::{
        deployment_plan::DeploymentPlan,
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
const GOODPUT_TARGET: f64 = 0.95;
/// Share of the highest class that must be served.
const HIGHEST_CLASS_TARGET: f64 = 0.99;
const SHOWN_KEYS: usize = 3;
const SHOWN_REASONS: usize = 8;
const RECOVERY_TARGET: Duration = Duration::from_secs(2);

/// Whether a stated target was met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum TargetVerdict {
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
    pub whole: u32,
    /// Whole answers as a share of what the bottleneck could serve.
    pub of_capacity: f64,
}

impl Display for ClassShare {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            name,
            offered,
            whole,
            of_capacity,
        } = self;
        let percent = of_capacity * 100.0;
        write!(
            formatter,
            "{name} {whole}/{offered} ({percent:.1}% of capacity)"
        )
    }
}

/// Figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunFigures {
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
    pub wrong_answers: u64,
    pub refused: u64,
    pub caller_retries: u64,
    /// In ms; absent if the run ended before.
    pub recovery_ms: Option<u128>,
    pub verdicts: Vec<(&'static str, TargetVerdict)>,
}

/// What a run left behind.
pub struct RunEvidence<'a> {
    pub plan: &'a DeploymentPlan,
    pub scenario: &'a PressureScenario,
    pub mode: String,
    /// Calls a second of the healthy bottleneck.
    pub capacity: f64,
    pub report: &'a CallerReport,
    pub ledger: &'a RunLedger,
}

impl RunEvidence<'_> {
    pub fn figures(&self) -> RunFigures {
        let span = self.pressure_span();
        let capacity = self.capacity * self.capacity_left();
        let room = capacity * span.length().as_secs_f64();
        let offered: u32 = self.sum(span, |bucket| bucket.offered);
        let completed: u32 = self.sum(span, |bucket| bucket.completed);
        let possible = room.min(f64::from(offered));
        let runs = self.ledger.report();
        let wasted = self.ledger.wasted_runs(&self.report.succeeded_attempts);
        let mut figures = RunFigures {
            scenario: self.scenario.name.clone(),
            mode: self.mode.clone(),
            capacity,
            classes: self.class_shares(span, room),
            goodput: f64::from(completed) / possible,
            weighted_goodput: self.weighted_goodput(span, room),
            highest_class: self.highest_class(span),
            most_retries: runs.max_extra_service_runs,
            wasted: share(wasted, runs.started),
            doubled_keys: runs.duplicate_keys,
            doubled_runs: self.doubled_runs(),
            reasons: self.reasons(),
            false_not_run: self.report.false_not_run(self.ledger),
            wrong_answers: runs.wrong_responses + self.report.total(|class| class.wrong),
            refused: self.report.total(ClassReport::refused),
            caller_retries: self.report.total(|class| class.retries),
            recovery_ms: self.recovery().map(|time| time.as_millis()),
            verdicts: Vec::new(),
        };
        figures.verdicts = self.verdicts(&figures, room);
        figures
    }

    fn doubled_runs(&self) -> Vec<String> {
        let doubled = self.ledger.duplicate_runs().into_iter().take(SHOWN_KEYS);
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
        reasons.truncate(SHOWN_REASONS);
        reasons
    }

    fn pressure_span(&self) -> RunSpan {
        RunSpan {
            from: self.scenario.warm_up,
            until: self.scenario.warm_up + self.scenario.pressure,
        }
    }

    /// Share of the bottleneck that the pressure leaves.
    fn capacity_left(&self) -> f64 {
        let mut left = 1.0;
        if self.scenario.has(PressureKind::SlowService) {
            left /= super::trial_run::SLOW_FACTOR;
        }
        if self.scenario.has(PressureKind::LostDataCentre) {
            let targets = self.plan.bottleneck().targets;
            let lost = targets.div_ceil(self.plan.data_centres.len());
            left *= 1.0 - share(lost as u64, targets as u64);
        }
        left
    }

    fn sum(&self, span: RunSpan, count: impl Fn(standins::caller::SeriesBucket) -> u32) -> u32 {
        let classes = self.report.classes.iter();
        classes.map(|class| count(class.sum_during(span))).sum()
    }

    fn class_shares(&self, span: RunSpan, room: f64) -> Vec<ClassShare> {
        let classes = self.report.classes.iter();
        let share = |class: &ClassReport| {
            let sum = class.sum_during(span);
            ClassShare {
                name: class.name.clone(),
                offered: sum.offered,
                whole: sum.succeeded,
                of_capacity: f64::from(sum.completed) / room,
            }
        };
        classes.map(share).collect()
    }

    /// Weight of what was completed against the best that fits into the capacity.
    fn weighted_goodput(&self, span: RunSpan, room: f64) -> f64 {
        let mut left = room;
        let mut best = 0.0;
        let mut reached = 0.0;
        for (class, report) in self.plan.classes.iter().zip(&self.report.classes) {
            let weight = f64::from(class.weight);
            let sum = report.sum_during(span);
            let fitting = f64::from(sum.offered).min(left);
            left -= fitting;
            best += weight * fitting;
            reached += weight * f64::from(sum.completed);
        }
        reached / best
    }

    fn highest_class(&self, span: RunSpan) -> f64 {
        let sum = self.report.classes[0].sum_during(span);
        share(u64::from(sum.succeeded), u64::from(sum.offered))
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
            until: self.scenario.length(),
        };
        let has_table = !self.scenario.has(PressureKind::TableDown);
        let is_counted = |class: &ClassReport| has_table || !self.is_keyed(class);
        self.report.recovery_time(span, is_counted)
    }

    fn is_keyed(&self, report: &ClassReport) -> bool {
        let mut classes = self.plan.classes.iter();
        classes.any(|class| class.name == report.name && class.is_keyed)
    }

    fn verdicts(&self, figures: &RunFigures, room: f64) -> Vec<(&'static str, TargetVerdict)> {
        let offered = figures.classes[0].offered;
        let has_table = !self.scenario.has(PressureKind::TableDown);
        let is_fitting = f64::from(offered) <= room && has_table;
        let is_surge = self.scenario.kinds == [PressureKind::Surge];
        let recovery = figures.recovery_ms;
        let is_quick = recovery.is_some_and(|time| time <= RECOVERY_TARGET.as_millis());
        let is_served = figures.highest_class >= HIGHEST_CLASS_TARGET;
        vec![
            ("goodput", when(is_surge, figures.goodput >= GOODPUT_TARGET)),
            ("highest class", when(is_fitting, is_served)),
            ("recovery", when(true, is_quick)),
            (
                "retry budget",
                when(true, figures.most_retries <= self.plan.retries),
            ),
            ("at most once", when(true, figures.doubled_keys == 0)),
            ("not-run", when(true, figures.false_not_run == 0)),
            ("whole answers", when(true, figures.wrong_answers == 0)),
        ]
    }
}

impl RunFigures {
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
            self.wrong_answers,
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
        let missed = self.verdicts.iter();
        let missed = missed.filter(|(_, verdict)| *verdict == TargetVerdict::Missed);
        missed.map(|(name, _)| *name)
    }
}

fn when(applies: bool, is_met: bool) -> TargetVerdict {
    match (applies, is_met) {
        (false, _) => TargetVerdict::NotApplicable,
        (true, true) => TargetVerdict::Met,
        (true, false) => TargetVerdict::Missed,
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a run stay far below 2^52"
)]
fn share(part: u64, all: u64) -> f64 {
    if all == 0 {
        0.0
    } else {
        part as f64 / all as f64
    }
}
