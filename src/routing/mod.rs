//! Choice of the target that a call goes to.
//!
//! The router learns targets from membership and their load from the answers they give. It takes
//! two random candidates and the less loaded of them, in its own data centre while there is room,
//! then in its region, then anywhere. A target that fails is ejected for a while, within a cap.

mod call_end;
mod load_feedback;
mod routing_decision;
mod target_entry;
mod target_table;

pub use {
    call_end::CallEnd,
    load_feedback::LoadFeedback,
    routing_decision::RoutingDecision,
    target_entry::{EjectionChange, TargetEntry, TargetKey},
    target_table::{RouterLocation, TargetTable},
};
