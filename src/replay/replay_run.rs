use {
    super::{
        ReplayError, ReplayMismatch, ReplayReport, StatedExpectation, StatedOutcome, TraceEvent,
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

/// Replays one trace; `name` stands in its mismatches.
///
/// # Errors
/// The trace cannot be read, is out of its bounds, or holds a line that is not one of a trace.
pub fn replay<R: BufRead>(name: &str, reader: R) -> Result<ReplayReport, ReplayError> {
    let mut lines = TraceReader::new(reader);
    let mut run = TraceRun::new(name);
    while let Some(line) = lines.next_line()? {
        run.step(&line)?;
    }
    Ok(run.report)
}

/// Replays the traces of all files.
///
/// # Errors
/// A file cannot be opened, or is no trace.
pub fn run<P: AsRef<Path>>(paths: &[P]) -> anyhow::Result<ReplayReport> {
    let mut report = ReplayReport::default();
    for path in paths {
        let name = path.as_ref().display().to_string();
        let file = File::open(path).with_context(|| format!("opening {name}"))?;
        let replayed = replay(&name, BufReader::new(file)).with_context(|| name.clone())?;
        report.merge(replayed);
    }
    Ok(report)
}

/// A trace while it is replayed.
struct TraceRun<'a> {
    name: &'a str,
    guard: Option<GuardReplay>,
    last_us: u64,
    report: ReplayReport,
}

impl<'a> TraceRun<'a> {
    fn new(name: &'a str) -> Self {
        Self {
            name,
            guard: None,
            last_us: 0,
            report: ReplayReport {
                traces: 1,
                ..ReplayReport::default()
            },
        }
    }

    fn step(&mut self, numbered: &NumberedLine<'_>) -> Result<(), ReplayError> {
        let (number, line) = (numbered.number, &numbered.line);
        if line.at_us < self.last_us {
            return Err(ReplayError::Backwards {
                line: number,
                at_us: line.at_us,
            });
        }
        self.last_us = line.at_us;
        self.report.lines += 1;
        if let TraceEvent::Guard(header) = line.event {
            self.guard = Some(GuardReplay::new(line.at(), &header));
            return Ok(());
        }
        let Some(guard) = &mut self.guard else {
            return Err(ReplayError::NoGuard { line: number });
        };
        if let TraceEvent::Expect(expectation) = line.event {
            let deviation = guard.deviation(line.at(), &expectation);
            self.expect(number, &expectation, deviation);
            return Ok(());
        }
        let outcome = apply(guard, number, line)?;
        self.compare(number, line.outcome.as_deref(), &outcome);
        Ok(())
    }

    fn expect(&mut self, line: usize, expectation: &StatedExpectation, deviation: Option<String>) {
        self.report.compared += 1;
        if let Some(got) = deviation {
            self.note(line, format!("{expectation:?}"), got);
        }
    }

    fn compare(&mut self, line: usize, stated: Option<&[StatedOutcome]>, got: &GuardOutcome) {
        let is_same = match got {
            GuardOutcome::Decided(got) => stated.is_none_or(|stated| stated == got.as_slice()),
            GuardOutcome::NotRunning => false,
        };
        self.report.compared += usize::from(stated.is_some());
        if !is_same {
            let expected = stated.map_or("a running call".into(), |stated| format!("{stated:?}"));
            self.note(line, expected, got.to_string());
        }
    }

    fn note(&mut self, line: usize, expected: String, got: String) {
        self.report.note(ReplayMismatch {
            trace: self.name.into(),
            line,
            expected,
            got,
        });
    }
}

/// What a guard made of a line.
enum GuardOutcome {
    Decided(Vec<StatedOutcome>),
    /// The trace ends a call that does not run here.
    NotRunning,
}

impl fmt::Display for GuardOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Decided(outcomes) => write!(formatter, "{outcomes:?}"),
            Self::NotRunning => formatter.write_str("a call that does not run"),
        }
    }
}

fn apply(
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
                .ok_or(ReplayError::RepeatedCall { line: number, call })?;
        }
        TraceEvent::Finish { call, kind } => match guard.finish(now, call, kind) {
            Some(effects) => outcomes = effects,
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
