//! Limits on retries.
//!
//! Each user request has one retry budget, held by its root daemon. A daemon that wants to repeat a
//! call of the request asks the root for a permit, so the budget holds for any depth and fan-out.
//! In addition, each router limits its retries to one service to a share of its first attempts, so
//! that retries do not multiply the load during a general failure.

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
