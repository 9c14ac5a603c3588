//! Requests that crash the targets that run them.
//!
//! Such a request (a *query of death*, or *poison request*) takes a target down each time it is
//! run, and it comes again: from the same caller, with the same path and body, at any daemon. No
//! single attempt shows it. Equal requests are recognized by their [`RequestDigest`], and the
//! daemon beside a target keeps the calls that the process runs or has left unanswered
//! ([`TargetRuns`]). When the process crashes, these calls are the suspects; at most one of them is
//! the cause.
//!
//! [`SuspectTable`] holds the suspects of all targets and decides what follows. An answer clears a
//! request. One under which several targets have crashed since its last answer runs *in isolation*:
//! on one target of the service at a time ([`choose_isolation_target`]) and beside no other
//! suspect. A request under which a target crashes in isolation is refused.
//!
//! The code here uses neither clocks nor sockets. Times that daemons exchange are wall-clock times.

mod answered_requests;
mod crash_mark;
mod crash_report;
mod digest_key;
mod isolation_target;
mod process_digest;
mod request_digest;
mod request_refusal;
mod request_view;
mod suspect_entry;
mod suspect_record;
mod suspect_standing;
mod suspect_table;
mod target_run;
mod target_runs;

pub use {
    answered_requests::AnsweredRequests,
    crash_mark::{CrashEvidence, CrashMark},
    crash_report::{CrashReport, CrashSuspect},
    digest_key::DigestKey,
    isolation_target::choose_isolation_target,
    process_digest::ProcessDigest,
    request_digest::{InvalidDigest, RequestDigest},
    request_refusal::{FIRST_REFUSAL_TIME, MAX_REFUSAL_TIME, RequestRefusal},
    request_view::RequestView,
    suspect_entry::{
        CLEARED_RETENTION, FAMILIAR_ISOLATION_CRASHES, ISOLATION_CRASHES, MARK_RETENTION,
        MAX_CRASHES, SHARED_REFUSAL_CRASHES, SuspectEntry,
    },
    suspect_record::{RecordScope, SuspectRecord},
    suspect_standing::SuspectStanding,
    suspect_table::{MAX_EXCHANGED_RECORDS, MAX_SUSPECTS, SuspectTable},
    target_run::{RunEnd, TargetRun},
    target_runs::TargetRuns,
};

use std::time::Duration;

fn as_millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
