use {
    super::{LoadFeedback, TargetOutcome},
    crate::{
        context::{CallPriority, ServiceName},
        membership::MemberId,
        time::TimePoint,
    },
    slotmap::new_key_type,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

new_key_type! {
    /// Key of a target in a [`TargetTable`](super::TargetTable).
    pub struct TargetKey;
}

/// Consecutive broken responses that eject a target.
const EJECTION_FAILURES: u32 = 3;
/// Duration of a first ejection; it doubles with each further one without a response in between.
const MIN_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Maximum number of doublings, which keeps their factor within a `u32`; the duration reaches
/// [`MAX_EJECTION`] earlier.
const MAX_EJECTION_DOUBLINGS: u32 = 8;
/// Age from which a reported load is ignored.
const LOAD_EXPIRY: Duration = Duration::from_millis(500);
/// Time in which the share of calls that a new target is sent grows to its full value.
const RAMP_DURATION: Duration = Duration::from_secs(5);
/// Share of calls that a target is sent at first, relative to the full value.
const MIN_RAMP_SHARE: f64 = 0.1;

/// Whether another target of a service may be ejected for broken responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EjectionAllowance {
    Available,
    /// The maximum share of targets is ejected.
    Exhausted,
}

/// Change of a target's ejection after a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionChange {
    /// The router sends no calls to the target until the ejection expires.
    Ejected,
    /// The target responded again after an ejection.
    Restored,
}

/// State of one target, as known to the router.
#[derive(Clone, Debug)]
pub struct TargetEntry {
    pub(super) member: MemberId,
    pub(super) service: ServiceName,
    pub(super) mesh: SocketAddr,
    pub(super) region: Arc<str>,
    pub(super) data_centre: Arc<str>,
    pub(super) slots: u32,
    pub(super) known_since: TimePoint,
    in_flight: u32,
    load: LoadFeedback,
    load_updated_at: TimePoint,
    /// Consecutive broken responses.
    failures: u32,
    /// Ejections since the target last responded.
    ejections: u32,
    ejected_until: TimePoint,
}

impl TargetEntry {
    pub(super) fn new(
        member: MemberId,
        service: ServiceName,
        mesh: SocketAddr,
        region: Arc<str>,
        data_centre: Arc<str>,
        slots: u32,
        known_since: TimePoint,
    ) -> Self {
        Self {
            member,
            service,
            mesh,
            region,
            data_centre,
            slots,
            known_since,
            in_flight: 0,
            load: LoadFeedback::default(),
            load_updated_at: TimePoint::ORIGIN,
            failures: 0,
            ejections: 0,
            ejected_until: TimePoint::ORIGIN,
        }
    }

    /// Member id of the daemon beside the target.
    #[must_use]
    pub fn member(&self) -> MemberId {
        self.member
    }

    /// Mesh address of the daemon beside the target.
    #[must_use]
    pub fn mesh(&self) -> SocketAddr {
        self.mesh
    }

    #[must_use]
    pub fn service(&self) -> &ServiceName {
        &self.service
    }

    /// Calls from this router that have not finished.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn start_call(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn finish_call(
        &mut self,
        now: TimePoint,
        outcome: TargetOutcome,
        allowance: EjectionAllowance,
    ) -> Option<EjectionChange> {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            TargetOutcome::Responded(load) => self.record_response(now, load),
            TargetOutcome::Unreachable => self.eject(now),
            TargetOutcome::Broken => self.record_failure(now, allowance),
            TargetOutcome::Abandoned => None,
        }
    }

    fn record_response(
        &mut self,
        now: TimePoint,
        load: Option<LoadFeedback>,
    ) -> Option<EjectionChange> {
        let was_ejected = self.ejections > 0;
        self.failures = 0;
        self.ejections = 0;
        if let Some(load) = load {
            self.load = load;
            self.load_updated_at = now;
        }
        was_ejected.then_some(EjectionChange::Restored)
    }

    fn record_failure(
        &mut self,
        now: TimePoint,
        allowance: EjectionAllowance,
    ) -> Option<EjectionChange> {
        self.failures += 1;
        if self.failures < EJECTION_FAILURES || allowance == EjectionAllowance::Exhausted {
            return None;
        }
        self.eject(now)
    }

    fn eject(&mut self, now: TimePoint) -> Option<EjectionChange> {
        if self.is_ejected(now) {
            return None;
        }
        let factor = 1_u32 << self.ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = now + (MIN_EJECTION * factor).min(MAX_EJECTION);
        self.ejections += 1;
        self.failures = 0;
        Some(EjectionChange::Ejected)
    }

    pub(super) fn is_ejected(&self, now: TimePoint) -> bool {
        now < self.ejected_until
    }

    /// Lowest priority that the target admits by its last report, unless that has expired.
    pub(super) fn threshold(&self, now: TimePoint) -> CallPriority {
        if self.is_load_fresh(now) {
            self.load.threshold
        } else {
            CallPriority::LOWEST
        }
    }

    /// Load score; lower is better. It is this router's calls per slot plus the reported
    /// utilization, divided by the share of calls that a new target is sent.
    pub(super) fn score(&self, now: TimePoint) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let own_utilization = f64::from(self.in_flight) / slots;
        (own_utilization + self.reported_utilization(now)) / self.ramp_share(now)
    }

    /// Whether all slots of the target are in use.
    pub(super) fn is_full(&self, now: TimePoint) -> bool {
        self.reported_utilization(now) >= 1.0 || self.in_flight >= self.slots
    }

    fn reported_utilization(&self, now: TimePoint) -> f64 {
        if self.is_load_fresh(now) {
            f64::from(self.load.utilization_percent) / 100.0
        } else {
            0.0
        }
    }

    fn ramp_share(&self, now: TimePoint) -> f64 {
        let age = now.since(self.known_since);
        (age.as_secs_f64() / RAMP_DURATION.as_secs_f64()).clamp(MIN_RAMP_SHARE, 1.0)
    }

    fn is_load_fresh(&self, now: TimePoint) -> bool {
        self.load_updated_at > TimePoint::ORIGIN && now.since(self.load_updated_at) < LOAD_EXPIRY
    }
}
