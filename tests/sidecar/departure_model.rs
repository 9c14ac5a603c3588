//! All orders of the reports of two target processes, restarts of their sidecar and store access.
//!
//! The model keeps what the daemon keeps: a tracker in memory, and the departures that the store
//! holds. A report of a leaving target is acknowledged once the store holds it.

use {
    banyantrestle::{
        context::ServiceName,
        sidecar::{ReportedState, TargetHeartbeat, TargetIncarnation, TargetPhase, TargetTracker},
        time::TimePoint,
    },
    std::time::Duration,
};

/// Number of events in each order.
const MAX_EVENTS: u32 = 6;
/// Target processes that start one after the other at one address.
const TARGETS: usize = 2;
/// Start time of processes that report none.
const NO_START_TIME: u64 = 0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// A heartbeat that its process has sent before it left; it may arrive at any time.
    Ready(usize),
    Draining(usize),
    Leave(usize),
    /// Another sidecar says that the process is leaving.
    PeerWord(usize),
    /// The store performs the write of the departures.
    Store,
    /// The sidecar reads its row, which it does after each start.
    Read,
    /// The sidecar forgets a target whose heartbeats are overdue.
    Expire,
    Restart,
}

/// Which parts of the design the model has.
#[derive(Clone, Copy, Debug)]
struct Design {
    is_stored: bool,
    waits_for_read: bool,
}

const DESIGN: Design = Design {
    is_stored: true,
    waits_for_read: true,
};

#[derive(Clone, Debug)]
struct Model {
    design: Design,
    tracker: TargetTracker,
    stored: Vec<TargetIncarnation>,
    /// Processes whose leaving awaits the store, and those whose leaving was acknowledged.
    unacknowledged: Vec<usize>,
    acknowledged: Vec<usize>,
    next_sequence: u64,
}

fn new_tracker(design: Design) -> TargetTracker {
    let service = ServiceName::new("a").expect("a valid name");
    let mut tracker = TargetTracker::new(service, Duration::from_millis(1_500));
    if !design.waits_for_read {
        tracker.confirm();
    }
    tracker
}

fn instance(target: usize) -> String {
    format!("i-{target}")
}

impl Model {
    fn new(design: Design) -> Self {
        let mut tracker = new_tracker(design);
        tracker.confirm();
        Self {
            design,
            tracker,
            stored: Vec::new(),
            unacknowledged: Vec::new(),
            acknowledged: Vec::new(),
            next_sequence: 1,
        }
    }

    fn heartbeat(&mut self, target: usize, state: ReportedState) -> TargetHeartbeat {
        self.next_sequence += 1;
        TargetHeartbeat {
            instance: instance(target),
            started_ms: NO_START_TIME,
            sequence: self.next_sequence,
            service: ServiceName::new("a").expect("a valid name"),
            address: "10.0.0.1:80".parse().expect("an address"),
            slots: 8,
            state,
        }
    }

    fn apply(&mut self, event: Event) {
        let now = TimePoint::ORIGIN;
        match event {
            Event::Ready(target) => {
                let heartbeat = self.heartbeat(target, ReportedState::Ready);
                self.tracker.record_heartbeat(now, heartbeat);
            }
            Event::Draining(target) => {
                let heartbeat = self.heartbeat(target, ReportedState::Draining);
                self.tracker.record_heartbeat(now, heartbeat);
                self.await_acknowledgement(target);
            }
            Event::Leave(target) => {
                self.tracker.record_leave(&instance(target), 1_000);
                self.await_acknowledgement(target);
            }
            Event::PeerWord(target) => {
                self.tracker.record_leaving(&TargetIncarnation {
                    instance: instance(target),
                    started_ms: NO_START_TIME,
                });
            }
            Event::Store => {
                self.tracker.merge_departed(&self.stored);
                self.stored = self.tracker.departed().entries().to_vec();
                self.acknowledged.append(&mut self.unacknowledged);
            }
            Event::Read => {
                self.tracker.merge_departed(&self.stored);
                self.tracker.confirm();
            }
            Event::Expire => self.tracker.remove(),
            Event::Restart => {
                self.tracker = new_tracker(self.design);
                self.unacknowledged.clear();
            }
        }
    }

    fn await_acknowledgement(&mut self, target: usize) {
        if self.design.is_stored {
            self.unacknowledged.push(target);
        } else {
            self.acknowledged.push(target);
        }
    }

    /// A process that serves though its leaving was acknowledged.
    fn violation(&self) -> Option<usize> {
        let (heartbeat, phase) = self.tracker.current()?;
        let is_serving = phase == TargetPhase::Serving;
        let mut acknowledged = self.acknowledged.iter().copied();
        acknowledged.find(|target| is_serving && instance(*target) == heartbeat.instance)
    }

    /// Whether a process that has not left serves once its sidecar has read its row and heard it.
    fn serves_next(&self) -> bool {
        let mut model = self.clone();
        model.apply(Event::Read);
        model.apply(Event::Ready(TARGETS));
        let current = model.tracker.current();
        current.is_some_and(|(heartbeat, phase)| {
            heartbeat.instance == instance(TARGETS) && phase == TargetPhase::Serving
        })
    }
}

fn all_events() -> Vec<Event> {
    let of_targets = (0..TARGETS).flat_map(|target| {
        [
            Event::Ready(target),
            Event::Draining(target),
            Event::Leave(target),
        ]
    });
    let others = [
        Event::PeerWord(0),
        Event::Store,
        Event::Read,
        Event::Expire,
        Event::Restart,
    ];
    of_targets.chain(others).collect()
}

/// Plays all orders of events; returns the first one that breaks a promise.
fn find_violation(
    model: &Model,
    events: &[Event],
    left: u32,
    order: &mut Vec<Event>,
) -> Option<Vec<Event>> {
    if model.violation().is_some() || !model.serves_next() {
        return Some(order.clone());
    }
    if left == 0 {
        return None;
    }
    for event in events {
        let mut next = model.clone();
        next.apply(*event);
        order.push(*event);
        let found = find_violation(&next, events, left - 1, order);
        order.pop();
        if found.is_some() {
            return found;
        }
    }
    None
}

#[test]
fn no_order_of_events_brings_a_departed_target_back() {
    let model = Model::new(DESIGN);
    let found = find_violation(&model, &all_events(), MAX_EVENTS, &mut Vec::new());
    assert_eq!(found, None);
}

/// Without either part of the design, the model finds an order of events that breaks the promise.
#[test]
fn model_finds_departures_that_are_forgotten() {
    let designs = [
        Design {
            is_stored: false,
            ..DESIGN
        },
        Design {
            waits_for_read: false,
            ..DESIGN
        },
    ];
    for design in designs {
        let model = Model::new(design);
        let found = find_violation(&model, &all_events(), MAX_EVENTS, &mut Vec::new());
        assert!(found.is_some(), "{design:?}");
    }
}
