//! Choice of the target that a call goes to.
//!
//! The router learns targets from membership and their load from the answers they give. It takes
//! two random candidates and the less loaded of them, in its own data centre while there is room,
//! then in its region, then anywhere. A target that fails is ejected for a while, within a cap.

mod call_end;
mod load_note;
mod pick_verdict;
mod target_entry;
mod target_table;

pub use {
    call_end::CallEnd,
    load_note::LoadNote,
    pick_verdict::PickVerdict,
    target_entry::{EjectionChange, TargetEntry, TargetKey},
    target_table::{RouterPlace, TargetTable},
};
