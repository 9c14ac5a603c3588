//! Bounds on retries.
//!
//! Each user request has one counter, held by its root daemon: any daemon that wants to repeat a
//! call of the request asks the root for a permit, so the bound holds for any depth and fan-out.
//! Besides it, each router keeps its retries to one service below a share of its first attempts,
//! so that a general failure is not multiplied.

mod attempt_record;
mod permit_verdict;
mod retry_budget;
mod retry_ratio;
mod root_table;

pub use {
    attempt_record::{AttemptRecord, FailureScope, RunSafety},
    permit_verdict::PermitVerdict,
    retry_budget::RetryBudget,
    retry_ratio::RetryRatio,
    root_table::{MAX_ROOT_REQUESTS, RootTable},
};
