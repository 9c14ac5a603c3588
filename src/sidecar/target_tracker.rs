use {
    super::{ReportedState, TargetHeartbeat},
    crate::{context::ServiceName, time::TimePoint},
    std::time::Duration,
    strum::{Display, IntoStaticStr},
};

/// Heartbeats that may be missed before a target counts as lost.
const MISSED_BEATS: u32 = 4;

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TargetChange {
    /// Another start of a target is in use.
    Started,
    /// The target takes calls again or has another number of slots.
    Updated,
    Draining,
    Gone,
    Unchanged,
    /// Of an earlier start, out of order, or of another service.
    PassedOver,
}

/// Whether the target takes calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPhase {
    Serving,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
struct KnownTarget {
    beat: TargetHeartbeat,
    phase: TargetPhase,
    heard: TimePoint,
}

/// Which start of the target is beside the daemon, by what the target says.
///
/// The newest start wins, and of one start the newest heartbeat. What was acknowledged stays: a
/// start that was draining or gone never serves again.
#[derive(Clone, Debug)]
pub struct TargetTracker {
    service: ServiceName,
    beat_interval: Duration,
    known: Option<KnownTarget>,
}

impl TargetTracker {
    #[must_use]
    pub fn new(service: ServiceName, beat_interval: Duration) -> Self {
        Self {
            service,
            beat_interval,
            known: None,
        }
    }

    /// The start in use, whatever its phase.
    #[must_use]
    pub fn current(&self) -> Option<(&TargetHeartbeat, TargetPhase)> {
        self.known.as_ref().map(|known| (&known.beat, known.phase))
    }

    pub fn note_beat(&mut self, now: TimePoint, beat: TargetHeartbeat) -> TargetChange {
        if beat.service != self.service || beat.slots == 0 {
            return TargetChange::PassedOver;
        }
        let phase = match beat.state {
            ReportedState::Ready => TargetPhase::Serving,
            ReportedState::Draining => TargetPhase::Draining,
        };
        let Some(known) = self.known.as_mut() else {
            self.known = Some(KnownTarget {
                beat,
                phase,
                heard: now,
            });
            return TargetChange::Started;
        };
        let is_same_start =
            known.beat.instance == beat.instance && known.beat.started_ms == beat.started_ms;
        if !is_same_start {
            if beat.started_ms < known.beat.started_ms {
                return TargetChange::PassedOver;
            }
            *known = KnownTarget {
                beat,
                phase,
                heard: now,
            };
            return TargetChange::Started;
        }
        if beat.sequence <= known.beat.sequence || known.phase == TargetPhase::Gone {
            return TargetChange::PassedOver;
        }
        known.heard = now;
        let is_resized = known.beat.slots != beat.slots || known.beat.address != beat.address;
        known.beat = beat;
        match (known.phase, phase) {
            (TargetPhase::Serving, TargetPhase::Draining) => {
                known.phase = TargetPhase::Draining;
                TargetChange::Draining
            }
            _ if is_resized => TargetChange::Updated,
            _ => TargetChange::Unchanged,
        }
    }

    pub fn note_leave(&mut self, instance: &str) -> TargetChange {
        let Some(known) = self.known.as_mut() else {
            return TargetChange::PassedOver;
        };
        if known.beat.instance != instance {
            return TargetChange::PassedOver;
        }
        if known.phase == TargetPhase::Gone {
            return TargetChange::Unchanged;
        }
        known.phase = TargetPhase::Gone;
        TargetChange::Gone
    }

    /// Forgets a target that is lost; the next heartbeat brings it back.
    pub fn forget(&mut self) {
        self.known = None;
    }

    /// Whether the target has been silent for so long that it must be lost.
    #[must_use]
    pub fn is_overdue(&self, now: TimePoint) -> bool {
        let patience = self.beat_interval * MISSED_BEATS;
        let known = self.known.as_ref();
        known.is_some_and(|known| now.since(known.heard) > patience)
    }
}
