//! Requests that crash the targets that run them.
//!
//! Such a request (a *query of death*, or *poison request*) takes a target down each time it is run,
//! and it comes again: from the same caller, with the same path and body, at any daemon. No single
//! attempt shows it. Equal requests are recognized by their [`RequestDigest`], and the daemon beside a
//! target keeps the calls that the process runs or has left unanswered ([`TargetRuns`]). When the
//! process crashes, these calls are the suspects; at most one of them is the cause.
//!
//! The code here uses neither clocks nor sockets. Times that daemons exchange are wall-clock times.

mod crash_report;
mod request_digest;
mod suspect_standing;
mod target_runs;

pub use {
    crash_report::{CrashReport, CrashSuspect},
    request_digest::{DigestKey, InvalidDigest, ProcessDigest, RequestDigest, RequestView},
    suspect_standing::SuspectStanding,
    target_runs::{RunEnd, TargetRun, TargetRuns},
};
