//! Merged timeline of the events of several processes.

use {
    super::{CallIndex, CallTree, EventFilter, EventPage, EventRecord},
    crate::membership::MemberId,
};

/// Events of several processes in the order of their stamps, with the tree of their calls.
#[derive(Clone, Debug, Default)]
pub struct EventTimeline {
    processes: Vec<MemberId>,
    events: Vec<TimelineEvent>,
    tree: CallTree,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ProcessIndex(usize);

#[derive(Clone, Debug)]
struct TimelineEvent {
    process: ProcessIndex,
    call: Option<CallIndex>,
    record: EventRecord,
}

impl EventTimeline {
    /// Merges pages; an event that occurs in several pages is kept once.
    #[must_use]
    pub fn build(pages: Vec<EventPage>) -> Self {
        let mut timeline = Self::default();
        for page in pages {
            let process = timeline.find_or_insert_process(page.process);
            let timeline_events = page.events.into_iter().map(|record| TimelineEvent {
                process,
                call: None,
                record,
            });
            timeline.events.extend(timeline_events);
        }
        timeline.events.sort_by_key(|event| {
            let record = &event.record;
            (record.stamp, event.process.0, record.seq)
        });
        timeline.events.dedup_by_key(|event| {
            let record = &event.record;
            (record.stamp, event.process.0, record.seq)
        });
        for event in &mut timeline.events {
            event.call = timeline.tree.add_call(&event.record.kind);
        }
        timeline
    }

    /// Iterates in order over the events that match `filter`.
    #[must_use]
    pub fn events<'a>(&'a self, filter: &'a EventFilter) -> TimelineIter<'a> {
        TimelineIter {
            timeline: self,
            filter,
            position: 0,
        }
    }

    #[must_use]
    pub const fn tree(&self) -> &CallTree {
        &self.tree
    }

    fn find_or_insert_process(&mut self, process: MemberId) -> ProcessIndex {
        let known = self.processes.iter().position(|known| *known == process);
        let position = known.unwrap_or_else(|| {
            self.processes.push(process);
            self.processes.len() - 1
        });
        ProcessIndex(position)
    }
}

/// One event of a timeline.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimelineEntry<'a> {
    /// Process that recorded the event.
    pub process: &'a MemberId,
    /// Depth of the event's call in its call chain; 0 for the first call, or without a call.
    pub depth: usize,
    pub record: &'a EventRecord,
}

/// Iterator over the events that match a filter.
#[derive(Clone, Debug)]
pub struct TimelineIter<'a> {
    timeline: &'a EventTimeline,
    filter: &'a EventFilter,
    position: usize,
}

impl<'a> Iterator for TimelineIter<'a> {
    type Item = TimelineEntry<'a>;

    fn next(&mut self) -> Option<TimelineEntry<'a>> {
        loop {
            let event = self.timeline.events.get(self.position)?;
            self.position += 1;
            let process = &self.timeline.processes[event.process.0];
            if self.filter.is_match(process, &event.record) {
                return Some(TimelineEntry {
                    process,
                    depth: event.call.map_or(0, |call| self.timeline.tree.depth(call)),
                    record: &event.record,
                });
            }
        }
    }
}
