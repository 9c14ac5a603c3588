use {
    crate::{
        admission::{AdmissionRequest, CompletionKind, DrainState, LoadReport, RefusalReason},
        context::CallPriority,
        time::TimePoint,
    },
    serde::{Deserialize, Serialize},
};

/// One line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceLine<'a> {
    /// Time since the start of the trace, in µs.
    pub at_us: u64,
    #[serde(borrow)]
    pub event: TraceEvent<'a>,
    /// Expected outcomes; not compared if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Vec<CallOutcome>>,
}

impl TraceLine<'_> {
    #[must_use]
    pub fn at(&self) -> TimePoint {
        TimePoint::from_micros(self.at_us)
    }
}

/// Input event or expectation on a trace line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceEvent<'a> {
    /// Creates the guard of a new target.
    #[serde(borrow)]
    Guard(GuardHeader<'a>),
    /// A call arrived at the guard.
    Offer(OfferedCall),
    /// A running call ended, or a queued one was cancelled.
    Finish {
        call: u64,
        kind: CompletionKind,
    },
    /// The periodic tick of the guard.
    Tick,
    /// The target announced another number of slots.
    Slots {
        slots: u32,
    },
    /// The target reported its load.
    Load(LoadReport),
    /// The target started or stopped draining.
    State(DrainState),
    Expect(TraceExpectation),
}

/// Settings of a guard; the queue settings come from the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GuardHeader<'a> {
    pub name: &'a str,
    pub slots: u32,
    pub queue_target_ms: u64,
    pub queue_interval_ms: u64,
}

/// Call that is offered to the guard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OfferedCall {
    /// Call number, unique in the trace.
    pub call: u64,
    /// Numeric value of a [`CallPriority`].
    pub priority: u32,
    /// Depth in the call chain.
    pub depth: u8,
    /// Deadline since the start of the trace, in µs.
    pub deadline_us: u64,
}

impl OfferedCall {
    #[must_use]
    pub fn request(&self) -> AdmissionRequest {
        AdmissionRequest {
            priority: CallPriority::from_u32(self.priority),
            depth: self.depth,
            deadline: TimePoint::from_micros(self.deadline_us),
        }
    }
}

/// Decision of the guard on one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum CallOutcome {
    Start(u64),
    Queue(u64),
    Refuse { call: u64, reason: RefusalReason },
}

/// Bound on the results of all lines before this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceExpectation {
    /// Share of successful calls among those of a class rank that were offered from `since_us` on
    /// and have ended.
    Served {
        rank: u8,
        since_us: u64,
        least_percent: u8,
    },
    /// Number of refused calls among those offered from `since_us` on.
    Refused { since_us: u64, most: u32 },
    /// Share of the slot time since `since_us` that successful and running calls occupied.
    Busy { since_us: u64, least_percent: u8 },
    /// Lowest priority that the guard admits now.
    Threshold { most: u32 },
    /// Largest number of calls running at the same time since the start.
    Running { most: u32 },
}
