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
    /// What the logic must come to; not compared if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Vec<CallOutcome>>,
}

impl TraceLine<'_> {
    #[must_use]
    pub fn at(&self) -> TimePoint {
        TimePoint::from_micros(self.at_us)
    }
}

/// What was met.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceEvent<'a> {
    /// A guard before a new target.
    #[serde(borrow)]
    Guard(GuardHeader<'a>),
    Offer(OfferedCall),
    /// A running call ended, or a queued one was cancelled.
    Finish {
        call: u64,
        kind: CompletionKind,
    },
    Tick,
    /// The target announced other slots.
    Slots {
        slots: u32,
    },
    Load(LoadReport),
    State(DrainState),
    Expect(TraceExpectation),
}

/// Settings of a guard; the policy gives the queue's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GuardHeader<'a> {
    pub name: &'a str,
    pub slots: u32,
    pub queue_target_ms: u64,
    pub queue_interval_ms: u64,
}

/// A call as it is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OfferedCall {
    /// Unique in the trace.
    pub call: u64,
    pub priority: u32,
    pub depth: u8,
    /// Since the start of the trace, in µs.
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

/// What the logic decides of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum CallOutcome {
    Start(u64),
    Queue(u64),
    Refuse { call: u64, reason: RefusalReason },
}

/// What must hold of the trace so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum TraceExpectation {
    /// Share of the calls of a class rank, offered and ended since then, that ended well.
    Served {
        rank: u8,
        since_us: u64,
        least_percent: u8,
    },
    /// Calls refused since then.
    Refused { since_us: u64, most: u32 },
    /// Time of the slots that calls which ended well took up since then.
    Busy { since_us: u64, least_percent: u8 },
    /// Lowest priority that is admitted now.
    Threshold { most: u32 },
    /// Calls running at once since the start.
    Running { most: u32 },
}
