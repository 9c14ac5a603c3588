//! Selection of events from a timeline.

use {
    super::{EventName, EventRecord},
    crate::{context::RequestId, membership::MemberId},
    std::{net::SocketAddr, ops::Range},
};

/// Conditions that an event must meet; a field that is `None` matches every event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EventFilter {
    pub request: Option<RequestId>,
    /// Target or daemon that the event concerns, or daemon that recorded it.
    pub peer: Option<SocketAddr>,
    pub kind: Option<EventName>,
    /// Range of wall times in ms since the Unix epoch.
    pub wall_ms: Option<Range<u64>>,
}

impl EventFilter {
    #[must_use]
    pub fn is_match(&self, process: &MemberId, record: &EventRecord) -> bool {
        let kind = &record.kind;
        let matches_request = self.request.is_none() || self.request == kind.request();
        let matches_peer =
            self.peer.is_none() || self.peer == kind.peer() || self.peer == Some(process.address);
        let matches_kind = self.kind.is_none_or(|name| name == kind.name());
        let matches_time = self
            .wall_ms
            .as_ref()
            .is_none_or(|range| range.contains(&record.stamp.wall_ms));
        matches_request && matches_peer && matches_kind && matches_time
    }
}
