//! Replays recorded traces and compares the decisions with the recorded outcomes.
//!
//! A trace is a file of JSON lines, one [`TraceLine`] each: the time, an input event, and the
//! outcome that the admission guard must produce. A line without an outcome is applied but not
//! compared. An `expect` line sets a bound on the results of all lines before it, such as the share
//! of a class that was served.
//!
//! ```json
//! {"at_us":0,"event":{"guard":{"name":"surge","slots":4,"queue_target_ms":20,"queue_interval_ms":100}}}
//! {"at_us":900,"event":{"offer":{"call":1,"priority":262144,"depth":0,"deadline_us":2000900}},"outcome":[{"start":1}]}
//! {"at_us":41200,"event":{"finish":{"call":1,"kind":"success"}},"outcome":[]}
//! {"at_us":50000,"event":"tick","outcome":[]}
//! {"at_us":50000,"event":{"expect":{"served":{"rank":4,"since_us":0,"least_percent":99}}}}
//! ```
//!
//! A trace for another component than the admission guard needs further variants of [`TraceEvent`]
//! and [`CallOutcome`].

mod call_history;
mod guard_replay;
mod replay_error;
mod replay_report;
mod trace_line;
mod trace_reader;
mod trace_replay;

pub use {
    replay_error::ReplayError,
    replay_report::{ReplayMismatch, ReplayReport},
    trace_line::{CallOutcome, GuardHeader, OfferedCall, TraceEvent, TraceExpectation, TraceLine},
    trace_reader::{MAX_LINE_BYTES, MAX_LINES},
    trace_replay::{replay_files, replay_trace},
};
