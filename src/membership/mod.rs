//! Which daemons and targets there are.

mod member_id;
mod member_record;
mod target_announcement;

pub use {
    member_id::MemberId,
    member_record::{MemberRecord, MemberState},
    target_announcement::{TargetAnnouncement, TargetState},
};
