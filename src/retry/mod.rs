//! Bounds on retries.
//!
//! Each user request has one counter, held by its root daemon: any daemon that wants to repeat a
//! call of the request asks the root for a permit, so the bound holds for any depth and fan-out.
//! Besides it, each router keeps its retries to one service below a share of its first attempts,
//! so that a general failure is not multiplied.

mod attempt_history;
mod budget_table;
mod permit_decision;
mod retry_bucket;
mod retry_budget;

pub use {
    attempt_history::{AttemptHistory, FailureScope, RetrySafety},
    budget_table::{BudgetTable, MAX_OPEN_BUDGETS},
    permit_decision::PermitDecision,
    retry_bucket::RetryBucket,
    retry_budget::RetryBudget,
};
