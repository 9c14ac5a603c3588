//! Events of one process and the time line over all of them.
//!
//! Each process keeps its decisions of note in a bounded ring, [`EventLog`], and stamps them with a
//! hybrid logical clock, so that events of processes that exchange stamps sort by cause even when
//! their wall clocks differ. A reader fetches an [`EventPage`] from each process and merges them
//! into a [`EventTimeline`]: a first pass sorts the events and builds the tree of calls in a flat
//! vector, then a pull iterator hands out borrowed events in order.
//!
//! Events hold identities, addresses and reasons. They never hold headers, bodies, idempotency
//! keys or secrets.

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
