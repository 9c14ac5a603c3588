use {
    super::{ReportedState, TargetBeat},
    crate::{context::ServiceName, time::TimePoint},
    std::time::Duration,
    strum::{Display, IntoStaticStr},
};

/// Heartbeats that may be missed before a target counts as lost.
const MISSED_BEATS: u32 = 4;

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RegisterChange {
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
    beat: TargetBeat,
    phase: TargetPhase,
    heard: TimePoint,
}

/// Which start of the target is beside the daemon, by what the target says.
///
/// The newest start wins, and of one start the newest heartbeat. What was acknowledged stays: a
/// start that was draining or gone never serves again.
#[derive(Clone, Debug)]
pub struct TargetRegister {
    service: ServiceName,
    beat_interval: Duration,
    known: Option<KnownTarget>,
}

impl TargetRegister {
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
    pub fn current(&self) -> Option<(&TargetBeat, TargetPhase)> {
        self.known.as_ref().map(|known| (&known.beat, known.phase))
    }

    pub fn note_beat(&mut self, now: TimePoint, beat: TargetBeat) -> RegisterChange {
        if beat.service != self.service || beat.slots == 0 {
            return RegisterChange::PassedOver;
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
            return RegisterChange::Started;
        };
        let is_same_start =
            known.beat.instance == beat.instance && known.beat.started_ms == beat.started_ms;
        if !is_same_start {
            if beat.started_ms < known.beat.started_ms {
                return RegisterChange::PassedOver;
            }
            *known = KnownTarget {
                beat,
                phase,
                heard: now,
            };
            return RegisterChange::Started;
        }
        if beat.sequence <= known.beat.sequence || known.phase == TargetPhase::Gone {
            return RegisterChange::PassedOver;
        }
        known.heard = now;
        let is_resized = known.beat.slots != beat.slots || known.beat.address != beat.address;
        known.beat = beat;
        match (known.phase, phase) {
            (TargetPhase::Serving, TargetPhase::Draining) => {
                known.phase = TargetPhase::Draining;
                RegisterChange::Draining
            }
            _ if is_resized => RegisterChange::Updated,
            _ => RegisterChange::Unchanged,
        }
    }

    pub fn note_leave(&mut self, instance: &str) -> RegisterChange {
        let Some(known) = self.known.as_mut() else {
            return RegisterChange::PassedOver;
        };
        if known.beat.instance != instance {
            return RegisterChange::PassedOver;
        }
        if known.phase == TargetPhase::Gone {
            return RegisterChange::Unchanged;
        }
        known.phase = TargetPhase::Gone;
        RegisterChange::Gone
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
