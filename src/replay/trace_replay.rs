use {
    super::{
        CallOutcome, ReplayError, ReplayMismatch, ReplayReport, TraceEvent, TraceExpectation,
        TraceLine,
        guard_replay::GuardReplay,
        trace_reader::{NumberedLine, TraceReader},
    },
    anyhow::Context,
    std::{
        fmt,
        fs::File,
        io::{BufRead, BufReader},
        path::Path,
    },
};

/// Replays one trace; `name` identifies it in each mismatch.
///
/// # Errors
/// The trace cannot be read, exceeds a size limit, or contains an invalid line.
pub fn replay_trace<R: BufRead>(name: &str, reader: R) -> Result<ReplayReport, ReplayError> {
    let mut lines = TraceReader::new(reader);
    let mut trace = TraceReplay::new(name);
    while let Some(line) = lines.next_line()? {
        trace.apply_line(&line)?;
    }
    Ok(trace.report)
}

/// Replays the traces in all files and merges their reports.
///
/// # Errors
/// A file cannot be opened, or its trace cannot be replayed.
pub fn replay_files<P: AsRef<Path>>(paths: &[P]) -> anyhow::Result<ReplayReport> {
    let mut report = ReplayReport::default();
    for path in paths {
        let name = path.as_ref().display().to_string();
        let file = File::open(path).with_context(|| format!("opening {name}"))?;
        let trace_report =
            replay_trace(&name, BufReader::new(file)).with_context(|| name.clone())?;
        report.merge(trace_report);
    }
    Ok(report)
}

/// State of one trace during its replay.
struct TraceReplay<'a> {
    name: &'a str,
    guard: Option<GuardReplay>,
    last_at_us: u64,
    report: ReplayReport,
}

impl<'a> TraceReplay<'a> {
    fn new(name: &'a str) -> Self {
        Self {
            name,
            guard: None,
            last_at_us: 0,
            report: ReplayReport {
                trace_count: 1,
                ..ReplayReport::default()
            },
        }
    }

    fn apply_line(&mut self, numbered: &NumberedLine<'_>) -> Result<(), ReplayError> {
        let (number, line) = (numbered.number, &numbered.line);
        if line.at_us < self.last_at_us {
            return Err(ReplayError::TimeDecreased {
                line: number,
                at_us: line.at_us,
            });
        }
        self.last_at_us = line.at_us;
        self.report.line_count += 1;
        if let TraceEvent::Guard(header) = line.event {
            self.guard = Some(GuardReplay::new(line.at(), &header));
            return Ok(());
        }
        let Some(guard) = &mut self.guard else {
            return Err(ReplayError::MissingGuard { line: number });
        };
        if let TraceEvent::Expect(expectation) = line.event {
            let deviation = guard.deviation(line.at(), &expectation);
            self.check_expectation(number, &expectation, deviation);
            return Ok(());
        }
        let outcome = apply_event(guard, number, line)?;
        self.compare_outcome(number, line.outcome.as_deref(), &outcome);
        Ok(())
    }

    fn check_expectation(
        &mut self,
        line: usize,
        expectation: &TraceExpectation,
        deviation: Option<String>,
    ) {
        self.report.compared_count += 1;
        if let Some(actual) = deviation {
            self.add_mismatch(line, format!("{expectation:?}"), actual);
        }
    }

    fn compare_outcome(
        &mut self,
        line: usize,
        expected: Option<&[CallOutcome]>,
        actual: &GuardOutcome,
    ) {
        let is_match = match actual {
            GuardOutcome::Decided(actual) => {
                expected.is_none_or(|expected| expected == actual.as_slice())
            }
            GuardOutcome::NotRunning => false,
        };
        self.report.compared_count += usize::from(expected.is_some());
        if !is_match {
            let expected =
                expected.map_or("a running call".into(), |expected| format!("{expected:?}"));
            self.add_mismatch(line, expected, actual.to_string());
        }
    }

    fn add_mismatch(&mut self, line: usize, expected: String, actual: String) {
        self.report.add_mismatch(ReplayMismatch {
            trace: self.name.into(),
            line,
            expected,
            actual,
        });
    }
}

/// Result of applying an event to the guard.
enum GuardOutcome {
    Decided(Vec<CallOutcome>),
    /// The trace ends a call that is not running in the replay.
    NotRunning,
}

impl fmt::Display for GuardOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decided(outcomes) => write!(formatter, "{outcomes:?}"),
            Self::NotRunning => formatter.write_str("a call that is not running"),
        }
    }
}

fn apply_event(
    guard: &mut GuardReplay,
    number: usize,
    line: &TraceLine<'_>,
) -> Result<GuardOutcome, ReplayError> {
    let now = line.at();
    let mut outcomes = Vec::new();
    match line.event {
        TraceEvent::Offer(offered) => {
            let call = offered.call;
            outcomes = guard
                .offer(now, &offered)
                .ok_or(ReplayError::DuplicateCall { line: number, call })?;
        }
        TraceEvent::Finish { call, kind } => match guard.finish(now, call, kind) {
            Some(finish_outcomes) => outcomes = finish_outcomes,
            None => return Ok(GuardOutcome::NotRunning),
        },
        TraceEvent::Tick => outcomes = guard.tick(now),
        TraceEvent::Slots { slots } => guard.set_slots(now, slots),
        TraceEvent::Load(report) => guard.report_load(now, report),
        TraceEvent::State(state) => guard.set_state(state),
        TraceEvent::Guard(_) | TraceEvent::Expect(_) => {}
    }
    Ok(GuardOutcome::Decided(outcomes))
}
