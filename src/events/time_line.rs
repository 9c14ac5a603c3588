use {
    super::{CallIndex, CallTree, EventFilter, EventPage, EventRecord},
    crate::membership::MemberId,
};

/// Events of several processes in the order of their stamps, with the tree of their calls.
#[derive(Clone, Debug, Default)]
pub struct TimeLine {
    processes: Vec<MemberId>,
    events: Vec<PlacedEvent>,
    tree: CallTree,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ProcessIndex(usize);

#[derive(Clone, Debug)]
struct PlacedEvent {
    process: ProcessIndex,
    call: Option<CallIndex>,
    record: EventRecord,
}

impl TimeLine {
    /// Merges pages; an event that stands in several pages is kept once.
    #[must_use]
    pub fn build(pages: Vec<EventPage>) -> Self {
        let mut line = Self::default();
        for page in pages {
            let process = line.place(page.process);
            let placed = page.events.into_iter().map(|record| PlacedEvent {
                process,
                call: None,
                record,
            });
            line.events.extend(placed);
        }
        line.events.sort_by_key(|event| {
            let record = &event.record;
            (record.stamp, event.process.0, record.seq)
        });
        line.events.dedup_by_key(|event| {
            let record = &event.record;
            (record.stamp, event.process.0, record.seq)
        });
        for event in &mut line.events {
            event.call = line.tree.add(&event.record.kind);
        }
        line
    }

    /// Events that pass `filter`, in order.
    #[must_use]
    pub fn events<'a>(&'a self, filter: &'a EventFilter) -> TimeWalk<'a> {
        TimeWalk {
            line: self,
            filter,
            position: 0,
        }
    }

    #[must_use]
    pub const fn tree(&self) -> &CallTree {
        &self.tree
    }

    fn place(&mut self, process: MemberId) -> ProcessIndex {
        let known = self.processes.iter().position(|known| *known == process);
        let position = known.unwrap_or_else(|| {
            self.processes.push(process);
            self.processes.len() - 1
        });
        ProcessIndex(position)
    }
}

/// One event of a time line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeEntry<'a> {
    /// The process that recorded it.
    pub process: &'a MemberId,
    /// Depth of its call below the edge.
    pub depth: usize,
    pub record: &'a EventRecord,
}

/// Pull iterator over the events that pass a filter.
#[derive(Clone, Debug)]
pub struct TimeWalk<'a> {
    line: &'a TimeLine,
    filter: &'a EventFilter,
    position: usize,
}

impl<'a> Iterator for TimeWalk<'a> {
    type Item = TimeEntry<'a>;

    fn next(&mut self) -> Option<TimeEntry<'a>> {
        loop {
            let event = self.line.events.get(self.position)?;
            self.position += 1;
            let process = &self.line.processes[event.process.0];
            if self.filter.is_match(process, &event.record) {
                return Some(TimeEntry {
                    process,
                    depth: event.call.map_or(0, |call| self.line.tree.depth(call)),
                    record: &event.record,
                });
            }
        }
    }
}
