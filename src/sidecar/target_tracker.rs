use {
    super::{
        ReportedState, TargetHeartbeat, departed_targets::DepartedTargets,
        target_incarnation::TargetIncarnation,
    },
    crate::{context::ServiceName, time::TimePoint},
    std::time::Duration,
    strum::{Display, IntoStaticStr},
};

/// Missed heartbeats after which a target counts as lost.
const MAX_MISSED_HEARTBEATS: u32 = 4;

/// Change that a report causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TargetChange {
    /// Another target process is now tracked.
    Started,
    /// The target has another number of slots or another address.
    Updated,
    Draining,
    Gone,
    Unchanged,
    /// The report is out of order, or from an earlier process or another service.
    #[strum(serialize = "passed-over")]
    Ignored,
    /// A process other than the tracked one is leaving.
    OtherDeparted,
    /// A process that started later has the id of the one that is leaving, so that the tracked
    /// process can't be told from it.
    Ambiguous,
}

impl TargetChange {
    /// Whether the tracked process or its state is another one.
    pub(crate) const fn affects_tracked(self) -> bool {
        !matches!(
            self,
            Self::Unchanged | Self::Ignored | Self::OtherDeparted | Self::Ambiguous
        )
    }
}

/// Whether the target accepts calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetPhase {
    /// It may have left before this sidecar started.
    Unconfirmed,
    Serving,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
struct KnownTarget {
    heartbeat: TargetHeartbeat,
    phase: TargetPhase,
    last_report_at: TimePoint,
}

impl KnownTarget {
    const fn accepts_calls(&self) -> bool {
        matches!(self.phase, TargetPhase::Unconfirmed | TargetPhase::Serving)
    }

    /// Applies a later heartbeat of the same process; its phase stays.
    fn update(&mut self, now: TimePoint, heartbeat: TargetHeartbeat) -> TargetChange {
        if heartbeat.sequence <= self.heartbeat.sequence || self.phase == TargetPhase::Gone {
            return TargetChange::Ignored;
        }
        self.last_report_at = now;
        let is_updated =
            self.heartbeat.slots != heartbeat.slots || self.heartbeat.address != heartbeat.address;
        self.heartbeat = heartbeat;
        if is_updated {
            TargetChange::Updated
        } else {
            TargetChange::Unchanged
        }
    }
}

/// Tracks the current process of the local target from its reports.
///
/// A report of an earlier process or an earlier heartbeat of the same process is ignored. Leaving
/// is final once it is acknowledged: a process that was draining or gone never serves again, whether
/// it was tracked then or not. Processes that left while an earlier process of the sidecar ran are
/// not known at the start, so a target serves only once [`Self::confirm`] has been called.
#[derive(Clone, Debug)]
pub struct TargetTracker {
    service: ServiceName,
    heartbeat_interval: Duration,
    known: Option<KnownTarget>,
    departed: DepartedTargets,
    /// Whether all processes that have left are known.
    is_confirmed: bool,
}

impl TargetTracker {
    #[must_use]
    pub fn new(service: ServiceName, heartbeat_interval: Duration) -> Self {
        Self {
            service,
            heartbeat_interval,
            known: None,
            departed: DepartedTargets::default(),
            is_confirmed: false,
        }
    }

    /// The tracked process, in any phase.
    #[must_use]
    pub fn current(&self) -> Option<(&TargetHeartbeat, TargetPhase)> {
        self.known
            .as_ref()
            .map(|known| (&known.heartbeat, known.phase))
    }

    /// Processes that have said that they are leaving.
    #[must_use]
    pub const fn departed(&self) -> &DepartedTargets {
        &self.departed
    }

    pub(crate) const fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    pub fn record_heartbeat(&mut self, now: TimePoint, heartbeat: TargetHeartbeat) -> TargetChange {
        if heartbeat.service != self.service {
            return TargetChange::Ignored;
        }
        match heartbeat.state {
            ReportedState::Ready if heartbeat.slots == 0 => TargetChange::Ignored,
            ReportedState::Ready => self.record_ready(now, heartbeat),
            ReportedState::Draining => self.record_draining(now, heartbeat),
        }
    }

    fn record_ready(&mut self, now: TimePoint, heartbeat: TargetHeartbeat) -> TargetChange {
        let incarnation = heartbeat.incarnation();
        if let Some(known) = &mut self.known {
            if known.heartbeat.incarnation() == incarnation {
                return known.update(now, heartbeat);
            }
            if incarnation.started_ms < known.heartbeat.started_ms {
                return TargetChange::Ignored;
            }
        }
        if self.departed.contains(&incarnation) {
            return TargetChange::Ignored;
        }
        let phase = if self.is_confirmed {
            TargetPhase::Serving
        } else {
            TargetPhase::Unconfirmed
        };
        self.track(now, heartbeat, phase)
    }

    fn record_draining(&mut self, now: TimePoint, heartbeat: TargetHeartbeat) -> TargetChange {
        let incarnation = heartbeat.incarnation();
        let is_news = !self.departed.contains(&incarnation);
        if let Some(known) = &mut self.known {
            if known.heartbeat.incarnation() == incarnation {
                self.departed.insert(incarnation);
                if known.accepts_calls() {
                    known.phase = TargetPhase::Draining;
                    known.last_report_at = now;
                    return TargetChange::Draining;
                }
                return known.update(now, heartbeat);
            }
            if incarnation.started_ms < known.heartbeat.started_ms {
                if is_news && known.heartbeat.instance == incarnation.instance {
                    return TargetChange::Ambiguous;
                }
                self.departed.insert(incarnation);
                return if is_news {
                    TargetChange::OtherDeparted
                } else {
                    TargetChange::Ignored
                };
            }
        }
        self.departed.insert(incarnation);
        match &self.known {
            Some(_) if !is_news => TargetChange::Ignored,
            _ if heartbeat.slots == 0 => TargetChange::OtherDeparted,
            _ => self.track(now, heartbeat, TargetPhase::Draining),
        }
    }

    fn track(
        &mut self,
        now: TimePoint,
        heartbeat: TargetHeartbeat,
        phase: TargetPhase,
    ) -> TargetChange {
        self.known = Some(KnownTarget {
            heartbeat,
            phase,
            last_report_at: now,
        });
        TargetChange::Started
    }

    /// Records that this process says that it is leaving.
    pub fn record_leaving(&mut self, incarnation: &TargetIncarnation) -> TargetChange {
        match self.known.as_mut() {
            Some(known) if known.heartbeat.incarnation() == *incarnation => {
                self.departed.insert(incarnation.clone());
                if !known.accepts_calls() {
                    return TargetChange::Unchanged;
                }
                known.phase = TargetPhase::Draining;
                TargetChange::Draining
            }
            _ if self.departed.insert(incarnation.clone()) => TargetChange::OtherDeparted,
            _ => TargetChange::Ignored,
        }
    }

    /// The tracked process, if it is leaving or gone.
    pub(crate) fn leaving(&self) -> Option<TargetIncarnation> {
        let known = self.known.as_ref();
        let known = known.filter(|known| !known.accepts_calls())?;
        Some(known.heartbeat.incarnation())
    }

    /// Records that the process with this id shuts down; `left_ms` is the time of its report in
    /// milliseconds since the Unix epoch.
    pub fn record_leave(&mut self, instance: &str, left_ms: u64) -> TargetChange {
        if let Some(known) = &mut self.known
            && known.heartbeat.instance == instance
        {
            self.departed.insert(known.heartbeat.incarnation());
            if known.phase == TargetPhase::Gone {
                return TargetChange::Unchanged;
            }
            known.phase = TargetPhase::Gone;
            return TargetChange::Gone;
        }
        let is_news = self.departed.insert(TargetIncarnation {
            instance: instance.into(),
            started_ms: left_ms,
        });
        if is_news {
            TargetChange::OtherDeparted
        } else {
            TargetChange::Unchanged
        }
    }

    /// Adds processes that have left while an earlier process of the sidecar ran.
    pub fn merge_departed(&mut self, entries: &[TargetIncarnation]) -> TargetChange {
        self.departed.insert_earlier(entries);
        match &mut self.known {
            Some(known)
                if known.accepts_calls()
                    && self.departed.contains(&known.heartbeat.incarnation()) =>
            {
                known.phase = TargetPhase::Draining;
                TargetChange::Draining
            }
            _ => TargetChange::Unchanged,
        }
    }

    /// Records that no process is unknown that has left; a target that waits for this starts to
    /// serve.
    pub fn confirm(&mut self) -> TargetChange {
        self.is_confirmed = true;
        match &mut self.known {
            Some(known) if known.phase == TargetPhase::Unconfirmed => {
                known.phase = TargetPhase::Serving;
                TargetChange::Started
            }
            _ => TargetChange::Unchanged,
        }
    }

    /// Removes a lost target; its next heartbeat registers it again.
    pub fn remove(&mut self) {
        self.known = None;
    }

    /// Whether the target has missed too many heartbeats.
    #[must_use]
    pub fn is_overdue(&self, now: TimePoint) -> bool {
        let timeout = self.heartbeat_interval * MAX_MISSED_HEARTBEATS;
        let known = self.known.as_ref();
        known.is_some_and(|known| now.since(known.last_report_at) > timeout)
    }
}
