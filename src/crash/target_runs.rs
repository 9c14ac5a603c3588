use {
    super::{CrashSuspect, RunEnd, SuspectStanding, TargetRun},
    crate::time::TimePoint,
    std::{collections::VecDeque, time::Duration},
};

/// Time for which a target may go on with a call after its caller has closed the connection.
const ABANDONED_RUN_TIME: Duration = Duration::from_secs(2);
/// Maximum number of unanswered calls that are kept for one process; the oldest one is dropped.
const MAX_UNANSWERED_RUNS: usize = 1_024;

/// What is known about the end of a target process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ProcessFate {
    #[default]
    Running,
    /// It has said that it leaves, so its end is no crash.
    Leaving,
    Crashed {
        at: TimePoint,
    },
}

#[derive(Clone, Copy, Debug)]
struct UnansweredRun {
    run: TargetRun,
    ended_at: TimePoint,
    is_broken: bool,
}

/// Calls that one target process is running, and those that it has not answered.
///
/// A connection that breaks says little by itself. Once it is known that the process has crashed,
/// the calls that it left unanswered are the suspects.
#[derive(Clone, Debug, Default)]
pub struct TargetRuns {
    running: usize,
    running_suspects: usize,
    is_isolated_running: bool,
    unanswered: VecDeque<UnansweredRun>,
    last_answer_at: Option<TimePoint>,
    fate: ProcessFate,
}

impl TargetRuns {
    /// Starts a call; false if it must not run beside the suspects that are running.
    ///
    /// An isolated request runs beside no other suspect, so that a crash can be told to be its own.
    #[must_use]
    pub fn try_start(&mut self, standing: SuspectStanding) -> bool {
        let is_allowed = match standing {
            SuspectStanding::Trusted => true,
            SuspectStanding::Suspect => !self.is_isolated_running,
            SuspectStanding::Isolated => self.running_suspects == 0,
            SuspectStanding::Refused => false,
        };
        if is_allowed {
            self.running += 1;
            self.running_suspects += usize::from(standing != SuspectStanding::Trusted);
            self.is_isolated_running |= standing == SuspectStanding::Isolated;
        }
        is_allowed
    }

    /// Ends a call that [`Self::try_start`] has started. If the process is known to have crashed
    /// under it, returns the call as a suspect.
    pub fn finish(&mut self, now: TimePoint, run: TargetRun, end: RunEnd) -> Option<CrashSuspect> {
        self.running = self.running.saturating_sub(1);
        let is_suspect = run.standing != SuspectStanding::Trusted;
        self.running_suspects -= usize::from(is_suspect).min(self.running_suspects);
        self.is_isolated_running &= run.standing != SuspectStanding::Isolated;
        let is_unanswered = matches!(end, RunEnd::Broken | RunEnd::Abandoned);
        if !is_unanswered || self.fate == ProcessFate::Leaving {
            return None;
        }
        let unanswered = UnansweredRun {
            run,
            ended_at: now,
            is_broken: end == RunEnd::Broken,
        };
        if let ProcessFate::Crashed { at } = self.fate {
            // A call that started later has not reached the process.
            return (run.started_at <= at).then(|| unanswered.suspect());
        }
        if self.unanswered.len() >= MAX_UNANSWERED_RUNS {
            self.unanswered.pop_front();
        }
        self.unanswered.push_back(unanswered);
        None
    }

    /// Number of calls that are running.
    #[must_use]
    pub const fn running(&self) -> usize {
        self.running
    }

    #[must_use]
    pub fn has_crashed(&self) -> bool {
        matches!(self.fate, ProcessFate::Crashed { .. })
    }

    /// Records a response of the process to a call that started at `started_at`: it has survived
    /// the calls that ended well before. True if it was taken for crashed.
    pub fn record_answer(&mut self, now: TimePoint, started_at: TimePoint) -> bool {
        self.last_answer_at = Some(now);
        self.unanswered
            .retain(|unanswered| now.since(unanswered.ended_at) < ABANDONED_RUN_TIME);
        let was_crashed = matches!(self.fate, ProcessFate::Crashed { at } if at < started_at);
        if was_crashed {
            self.fate = ProcessFate::Running;
        }
        was_crashed
    }

    /// Time of the last response to any call.
    #[must_use]
    pub const fn last_answer_at(&self) -> Option<TimePoint> {
        self.last_answer_at
    }

    /// Records that the process is leaving, so that its end is no crash.
    pub fn record_leaving(&mut self) {
        if self.fate == ProcessFate::Running {
            self.fate = ProcessFate::Leaving;
            self.unanswered.clear();
        }
    }

    /// Records that the process has ended; returns the suspects if it was a crash.
    pub fn record_end(&mut self, now: TimePoint) -> Vec<CrashSuspect> {
        if self.fate != ProcessFate::Running {
            return Vec::new();
        }
        self.fate = ProcessFate::Crashed { at: now };
        let unanswered = self.unanswered.drain(..);
        unanswered.map(|unanswered| unanswered.suspect()).collect()
    }
}

impl UnansweredRun {
    fn suspect(&self) -> CrashSuspect {
        CrashSuspect {
            digest: self.run.digest,
            run_time: self.ended_at.since(self.run.started_at),
            is_isolated: self.is_broken && self.run.standing == SuspectStanding::Isolated,
        }
    }
}
