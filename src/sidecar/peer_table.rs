use {
    super::{TargetLoad, TriedTargets, peer_subset::choose_subset},
    crate::{
        context::ServiceName,
        membership::{MemberRecord, MemberState, MemberView},
        time::TimePoint,
    },
    rand::{Rng, RngExt},
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Targets that are compared for one call.
const SAMPLES: usize = 3;
/// Time that a call to another data centre takes longer, with the cost of its bytes.
const REMOTE_PENALTY: Duration = Duration::from_millis(4);
/// Weight of waiting against service: a free slot is worth a slower target.
const WAIT_WEIGHT: f64 = 3.0;
/// Service time of a target that has reported none.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(30);
/// Age from which a reported load no longer counts.
const LOAD_EXPIRY: Duration = Duration::from_millis(600);
/// Time for which a peer that can't be reached is passed over.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);
const LAST_BACKOFF: Duration = Duration::from_secs(4);
/// Time for which a target that has refused calls as leaving or stalled is passed over.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(300);
/// Weight of the newest call in a peer's share of failures.
const FAILURE_WEIGHT: f64 = 0.1;
/// Power of the share of answered calls that a target's weight goes by.
const RELIABILITY_POWER: i32 = 3;
const LEAST_RELIABILITY: f64 = 0.05;
/// Part of its weight that a target has at its first call, and the time until it has all of it.
const FIRST_WEIGHT: f64 = 0.25;
const RAMP_SPAN: Duration = Duration::from_secs(3);

/// How a call to a peer ended, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerOutcome {
    Answered,
    /// The target failed or the answer broke off.
    Failed,
    /// Refused before it ran, since the target is leaving, gone or stalled.
    Refused,
    /// The daemon of the target can't be reached.
    Unreachable,
    /// The caller went away.
    Abandoned,
}

/// What is known of the target beside one peer.
#[derive(Clone, Debug)]
struct PeerEntry {
    mesh: SocketAddr,
    is_local_zone: bool,
    is_suspect: bool,
    slots: u32,
    known_since: TimePoint,
    load: Option<TargetLoad>,
    load_at: TimePoint,
    /// Own calls that are out, and those that were when the load was reported.
    in_flight: u32,
    in_flight_reported: u32,
    failure_share: f64,
    backoff: Duration,
    passed_over_until: TimePoint,
}

/// The targets of one service.
#[derive(Clone, Debug, Default)]
struct ServicePeers {
    /// Those that are called from here.
    entries: Vec<PeerEntry>,
    /// Targets in all, and their slots.
    targets: usize,
    slots: u32,
}

/// Chooses the target that is expected to end a call first.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own: SocketAddr,
    data_centre: Arc<str>,
    services: HashMap<ServiceName, ServicePeers>,
}

impl PeerTable {
    /// A table of the daemon whose mesh address is `own`.
    #[must_use]
    pub fn new(own: SocketAddr, data_centre: Arc<str>) -> Self {
        Self {
            own,
            data_centre,
            services: HashMap::new(),
        }
    }

    /// Takes the members as they are now; what is known of targets that stay is kept.
    pub fn update(&mut self, now: TimePoint, view: &MemberView) {
        let mut known = std::mem::take(&mut self.services);
        let is_first = known.is_empty();
        let mut services: HashMap<&ServiceName, Vec<&MemberRecord>> = HashMap::new();
        for record in view
            .members
            .iter()
            .filter(|record| record.accepts_new_calls())
        {
            if let Some(target) = &record.target {
                services.entry(&target.service).or_default().push(record);
            }
        }
        for (service, records) in services {
            let mut kept = known.remove(service).unwrap_or_default().entries;
            let targets = records.len();
            let slots = records.iter().filter_map(|record| record.target.as_ref());
            let slots = slots.map(|target| target.slots).sum();
            let subset = choose_subset(self.own, &self.data_centre, records);
            let entries = subset.into_iter().map(|record| {
                let index = kept.iter().position(|entry| entry.mesh == record.mesh);
                let kept = index.map(|index| kept.swap_remove(index));
                let fresh = || PeerEntry::new(record, &self.data_centre, now, is_first);
                let mut entry = kept.unwrap_or_else(fresh);
                entry.slots = record.target.as_ref().map_or(0, |target| target.slots);
                entry.is_suspect = record.state == MemberState::Suspect;
                entry
            });
            let peers = ServicePeers {
                entries: entries.collect(),
                targets,
                slots,
            };
            self.services.insert(service.clone(), peers);
        }
    }

    /// Targets of a service, whether they are called from here or not.
    #[must_use]
    pub fn count(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, |peers| peers.targets)
    }

    /// Whether a target beside the sidecar at `mesh` is called from here.
    #[must_use]
    pub fn calls(&self, mesh: SocketAddr) -> bool {
        let mut entries = self.services.values().flat_map(|peers| &peers.entries);
        entries.any(|entry| entry.mesh == mesh)
    }

    /// Calls that all targets of a service run at once, by the limits of those that are called from
    /// here.
    #[must_use]
    pub fn total_limit(&self, service: &ServiceName) -> f64 {
        let Some(peers) = self.services.get(service) else {
            return 0.0;
        };
        let entries = &peers.entries;
        let limit: f64 = entries.iter().map(PeerEntry::limit).sum();
        let slots: u32 = entries.iter().map(|entry| entry.slots.max(1)).sum();
        limit * f64::from(peers.slots) / f64::from(slots)
    }

    /// Calls in the targets of a service and before them, against their limits; `None` unless most
    /// of them have reported of late.
    ///
    /// A fast target has a queue while slow ones have none, so a single one says little.
    #[must_use]
    pub fn pressure(&self, now: TimePoint, service: &ServiceName) -> Option<f64> {
        let entries = &self.services.get(service)?.entries;
        let fresh = entries.iter().filter_map(|entry| entry.fresh_load(now));
        let (mut count, mut calls, mut limit) = (0, 0.0, 0.0);
        for load in fresh {
            count += 1;
            calls += f64::from(load.running.saturating_add(load.waiting));
            limit += f64::from(load.limit);
        }
        (count * 2 > entries.len()).then(|| calls / limit)
    }

    /// Chooses a target that the trail of the call leaves and counts the call as out.
    pub fn choose<R: Rng>(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        trail: &TriedTargets,
        max_targets: u32,
        rng: &mut R,
    ) -> Option<SocketAddr> {
        let entries = &mut self.services.get_mut(service)?.entries;
        let is_new = |entry: &PeerEntry| trail.allows_new(entry.mesh, max_targets);
        let has_new = entries.iter().any(is_new);
        let is_left = |entry: &&mut PeerEntry| {
            if has_new {
                is_new(entry)
            } else {
                trail.allows_again(entry.mesh)
            }
        };
        let mut candidates: Vec<&mut PeerEntry> = entries.iter_mut().filter(is_left).collect();
        if candidates.iter().any(|entry| entry.is_usable(now)) {
            candidates.retain(|entry| entry.is_usable(now));
        }
        let weights: Vec<f64> = candidates.iter().map(|entry| entry.weight(now)).collect();
        let total: f64 = weights.iter().sum();
        let mut best: Option<(usize, f64)> = None;
        for _ in 0..SAMPLES {
            let index = sample(&weights, total, rng)?;
            let finish = candidates[index].expected_finish(now);
            if best.is_none_or(|(_, least)| finish < least) {
                best = Some((index, finish));
            }
        }
        let entry = candidates.swap_remove(best?.0);
        entry.in_flight += 1;
        Some(entry.mesh)
    }

    /// Ends a call that [`Self::choose`] has counted.
    pub fn finish(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        mesh: SocketAddr,
        end: PeerOutcome,
        load: Option<TargetLoad>,
    ) {
        let peers = self.services.get_mut(service);
        let entry = peers.and_then(|peers| {
            let mut entries = peers.entries.iter_mut();
            entries.find(|entry| entry.mesh == mesh)
        });
        if let Some(entry) = entry {
            entry.finish(now, end, load);
        }
    }
}

impl PeerEntry {
    fn new(record: &MemberRecord, data_centre: &str, now: TimePoint, is_first: bool) -> Self {
        Self {
            mesh: record.mesh,
            is_local_zone: *record.data_centre == *data_centre,
            is_suspect: false,
            slots: 0,
            // Targets that were there before this daemon need no ramp.
            known_since: if is_first { TimePoint::ORIGIN } else { now },
            load: None,
            load_at: now,
            in_flight: 0,
            in_flight_reported: 0,
            failure_share: 0.0,
            backoff: Duration::ZERO,
            passed_over_until: TimePoint::ORIGIN,
        }
    }

    fn is_usable(&self, now: TimePoint) -> bool {
        let is_stalled = self.fresh_load(now).is_some_and(|load| load.is_stalled);
        now >= self.passed_over_until && !self.is_suspect && !is_stalled
    }

    fn fresh_load(&self, now: TimePoint) -> Option<&TargetLoad> {
        let is_fresh = now.since(self.load_at) < LOAD_EXPIRY;
        self.load.as_ref().filter(|_| is_fresh)
    }

    fn service_time(&self) -> Duration {
        let reported = self.load.as_ref().map(|load| load.service_time);
        let known = reported.filter(|span| !span.is_zero());
        known.unwrap_or(DEFAULT_SERVICE_TIME)
    }

    fn limit(&self) -> f64 {
        let reported = self.load.as_ref().map(|load| load.limit);
        f64::from(reported.unwrap_or(self.slots).max(1))
    }

    fn reliability(&self, now: TimePoint) -> f64 {
        let reported = self.fresh_load(now).map_or(0.0, |load| load.failure_share);
        (1.0 - self.failure_share.max(reported)).max(LEAST_RELIABILITY)
    }

    /// Calls that the target ends in a second, less where it fails or is new.
    fn weight(&self, now: TimePoint) -> f64 {
        let rate = self.limit() / self.service_time().as_secs_f64();
        let age = now.since(self.known_since).as_secs_f64() / RAMP_SPAN.as_secs_f64();
        let ramp = age.clamp(FIRST_WEIGHT, 1.0);
        rate * ramp * self.reliability(now).powi(RELIABILITY_POWER)
    }

    /// Seconds until one more call is expected to end.
    fn expected_finish(&self, now: TimePoint) -> f64 {
        let reported = self
            .fresh_load(now)
            .map_or(0, |load| load.running + load.waiting);
        let since = self.in_flight.saturating_sub(self.in_flight_reported);
        let ahead = f64::from(reported.saturating_add(since).max(self.in_flight));
        let service = self.service_time().as_secs_f64();
        let wait = (ahead + 1.0 - self.limit()).max(0.0) * service / self.limit();
        // Nearly full targets work more slowly and their slots free late.
        let crowding = 1.0 + 0.25 * (ahead / self.limit()).min(1.0);
        let penalty = if self.is_local_zone {
            0.0
        } else {
            REMOTE_PENALTY.as_secs_f64()
        };
        (wait * WAIT_WEIGHT + service * crowding + penalty) / self.reliability(now)
    }

    fn finish(&mut self, now: TimePoint, end: PeerOutcome, load: Option<TargetLoad>) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = load {
            self.load = Some(load);
            self.load_at = now;
            self.in_flight_reported = self.in_flight;
        }
        match end {
            PeerOutcome::Answered => {
                self.failure_share -= self.failure_share * FAILURE_WEIGHT;
                self.backoff = Duration::ZERO;
            }
            PeerOutcome::Failed => {
                self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT
            }
            PeerOutcome::Refused => self.passed_over_until = now + REFUSAL_BACKOFF,
            PeerOutcome::Unreachable => {
                self.backoff = (self.backoff * 2).clamp(FIRST_BACKOFF, LAST_BACKOFF);
                self.passed_over_until = now + self.backoff;
            }
            PeerOutcome::Abandoned => {}
        }
    }
}

/// An index, each as likely as its weight says.
fn sample<R: Rng>(weights: &[f64], total: f64, rng: &mut R) -> Option<usize> {
    let mut point = rng.random::<f64>() * total;
    for (index, weight) in weights.iter().enumerate() {
        point -= weight;
        if point < 0.0 {
            return Some(index);
        }
    }
    weights.len().checked_sub(1)
}
