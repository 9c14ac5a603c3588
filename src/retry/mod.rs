//! Limits on retries.
//!
//! Each user request has one retry budget, which its root daemon keeps, the daemon where the request
//! entered. Before a daemon retries a call of the request, it needs a permit from the root, so that
//! the budget bounds the retries at any depth and fan-out of the call chain. In addition, each router
//! limits its retries to one service to a share of its first attempts, so that retries do not
//! multiply the load during a general failure.

mod attempt_history;
mod budget_table;
mod permit_decision;
mod retry_bucket;
mod retry_budget;

pub use {
    attempt_history::{AttemptHistory, FailureScope, RetrySafety},
    budget_table::{BudgetTable, MAX_BUDGETS},
    permit_decision::PermitDecision,
    retry_bucket::RetryBucket,
    retry_budget::RetryBudget,
};
