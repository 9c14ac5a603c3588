//! Selection of a target for each call.
//!
//! The router receives the targets from membership and their load on responses. It picks the less
//! loaded of two random candidates, first in its own data centre while that has capacity, then in
//! its region, then anywhere. A target that fails is ejected: it is sent no calls for a limited
//! time. Broken responses eject at most half of a service's targets.

mod load_feedback;
mod routing_decision;
mod target_entry;
mod target_outcome;
mod target_table;

pub use {
    load_feedback::LoadFeedback,
    routing_decision::RoutingDecision,
    target_entry::{EjectionChange, TargetEntry, TargetKey},
    target_outcome::TargetOutcome,
    target_table::{RouterLocation, TargetTable},
};
