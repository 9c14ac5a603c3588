use {
    super::shared_guard::SharedGuard,
    crate::{
        admission::{AdmissionGuard, GradientLimit, GuardSettings},
        membership::{MembershipHandle, TargetAnnouncement, TargetState},
        net::TargetPool,
        time::{ProcessClock, TimePoint},
    },
    std::{
        sync::{Arc, Mutex, PoisonError, RwLock},
        time::Duration,
    },
};

/// Time without an announcement after which the target is withdrawn.
pub(crate) const ANNOUNCE_EXPIRY: Duration = Duration::from_secs(5);
/// Time for which a draining target still accepts calls, since routers may not know yet that it
/// drains.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// The concurrency limit that daemons use.
pub(crate) type DaemonLimit = GradientLimit;

/// The target beside the daemon.
#[derive(Debug)]
pub(crate) struct LocalTarget {
    pub(crate) announcement: TargetAnnouncement,
    pub(crate) pool: Arc<TargetPool>,
    pub(crate) guard: Arc<SharedGuard<DaemonLimit>>,
    last_announced_at: Mutex<TimePoint>,
    draining_since: Option<TimePoint>,
}

/// The target beside the daemon, if one is announced.
#[derive(Debug)]
pub(crate) struct TargetRegistration {
    clock: ProcessClock,
    membership: MembershipHandle,
    target: RwLock<Option<Arc<LocalTarget>>>,
}

/// Change that an announcement causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnnounceChange {
    /// The same announcement as before.
    Renewed,
    New,
    Draining,
}

impl LocalTarget {
    /// Whether the target accepts a call that arrives now.
    pub(crate) fn accepts_calls(&self, now: TimePoint) -> bool {
        self.draining_since
            .is_none_or(|since| now.since(since) < DRAIN_GRACE)
    }
}

impl TargetRegistration {
    pub(crate) fn new(clock: ProcessClock, membership: MembershipHandle) -> Self {
        Self {
            clock,
            membership,
            target: RwLock::default(),
        }
    }

    pub(crate) fn get(&self) -> Option<Arc<LocalTarget>> {
        let target = self.target.read().unwrap_or_else(PoisonError::into_inner);
        target.clone()
    }

    /// Applies an announcement. A new target gets a guard with `settings`.
    pub(crate) fn announce(
        &self,
        announcement: &TargetAnnouncement,
        settings: GuardSettings,
    ) -> AnnounceChange {
        let now = self.clock.now();
        let mut registered = self.target.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(target) = registered.as_ref() {
            *target
                .last_announced_at
                .lock()
                .unwrap_or_else(PoisonError::into_inner) = now;
            if target.announcement == *announcement {
                return AnnounceChange::Renewed;
            }
        }
        let target = match registered.as_ref() {
            Some(earlier) if is_same_target(&earlier.announcement, announcement) => {
                Self::updated_target(earlier, announcement, now)
            }
            _ => self.new_target(announcement, settings, now),
        };
        let change = match announcement.state {
            TargetState::Serving => AnnounceChange::New,
            TargetState::Draining => AnnounceChange::Draining,
        };
        *registered = Some(Arc::new(target));
        self.membership.set_target(Some(announcement.clone()));
        change
    }

    /// Removes the target. Its running calls continue.
    pub(crate) fn withdraw(&self) -> Option<Arc<LocalTarget>> {
        let mut registered = self.target.write().unwrap_or_else(PoisonError::into_inner);
        self.remove(&mut registered)
    }

    /// Removes the target if it has not announced itself for [`ANNOUNCE_EXPIRY`].
    pub(crate) fn expire(&self, now: TimePoint) -> Option<Arc<LocalTarget>> {
        let mut registered = self.target.write().unwrap_or_else(PoisonError::into_inner);
        let last_announced_at = *registered
            .as_ref()?
            .last_announced_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if now.since(last_announced_at) < ANNOUNCE_EXPIRY {
            return None;
        }
        self.remove(&mut registered)
    }

    fn remove(&self, registered: &mut Option<Arc<LocalTarget>>) -> Option<Arc<LocalTarget>> {
        let removed = registered.take()?;
        self.membership.set_target(None);
        Some(removed)
    }

    fn updated_target(
        earlier: &LocalTarget,
        announcement: &TargetAnnouncement,
        now: TimePoint,
    ) -> LocalTarget {
        earlier
            .guard
            .adjust(|guard, now| guard.set_slots(now, announcement.slots));
        LocalTarget {
            announcement: announcement.clone(),
            pool: earlier.pool.clone(),
            guard: earlier.guard.clone(),
            last_announced_at: Mutex::new(now),
            draining_since: draining_since(announcement, earlier.draining_since, now),
        }
    }

    fn new_target(
        &self,
        announcement: &TargetAnnouncement,
        settings: GuardSettings,
        now: TimePoint,
    ) -> LocalTarget {
        let guard = AdmissionGuard::new(settings, now);
        LocalTarget {
            announcement: announcement.clone(),
            pool: TargetPool::new(announcement.address, announcement.connections),
            guard: SharedGuard::new(self.clock, guard),
            last_announced_at: Mutex::new(now),
            draining_since: draining_since(announcement, None, now),
        }
    }
}

fn is_same_target(earlier: &TargetAnnouncement, later: &TargetAnnouncement) -> bool {
    earlier.service == later.service
        && earlier.address == later.address
        && earlier.connections == later.connections
}

fn draining_since(
    announcement: &TargetAnnouncement,
    earlier: Option<TimePoint>,
    now: TimePoint,
) -> Option<TimePoint> {
    match announcement.state {
        TargetState::Serving => None,
        TargetState::Draining => earlier.or(Some(now)),
    }
}
