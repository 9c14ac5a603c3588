//! Event log of a process and the merged timeline of several processes.
//!
//! Each process records its important decisions in a bounded ring buffer, [`EventLog`], and stamps
//! them with a hybrid logical clock. Events of processes that exchange stamps therefore sort in
//! causal order even if their wall clocks differ. A reader fetches an [`EventPage`] from each
//! process and merges them into an [`EventTimeline`], which sorts the events, builds the tree of
//! calls in a flat vector and iterates over borrowed events in order.
//!
//! Events contain identities, addresses and reasons. They never contain headers, bodies,
//! idempotency keys or secrets.

mod call_tree;
mod event_filter;
mod event_kind;
mod event_log;
mod event_page;
mod event_reason;
mod event_record;
mod event_timeline;
mod hybrid_clock;
mod hybrid_stamp;

pub use {
    call_tree::{CallIndex, CallIter, CallNode, CallTree},
    event_filter::EventFilter,
    event_kind::{EventKind, EventName, EventNameError},
    event_log::EventLog,
    event_page::{EventPage, MAX_PAGE_BYTES, MAX_PAGE_EVENTS, PageError},
    event_reason::{EventReason, MAX_REASON_LENGTH},
    event_record::EventRecord,
    event_timeline::{EventTimeline, TimelineEntry, TimelineIter},
    hybrid_clock::{HybridClock, MAX_CLOCK_DRIFT},
    hybrid_stamp::{HybridStamp, MAX_STAMP_LENGTH, STAMP_HEADER},
};
