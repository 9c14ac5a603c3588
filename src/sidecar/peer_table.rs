use {
    super::{
        QueuePressure, TargetLoad, TriedTargets, call_pace::CallPace, peer_subset::choose_subset,
    },
    crate::{
        context::ServiceName,
        membership::{MemberRecord, MemberState, MemberView},
        time::TimePoint,
    },
    rand::{Rng, RngExt},
    rapidhash::v3::rapidhash_v3,
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Number of targets that are drawn at random and compared for one call.
const CANDIDATE_SAMPLES: usize = 3;
/// Latency added to the estimate for a target in another data centre, for the network and for the
/// cost of the traffic.
const REMOTE_PENALTY: Duration = Duration::from_millis(4);
/// Weight of queueing time relative to service time; above 1, so that a slower target with a free
/// slot is preferred to a faster one with a queue.
const QUEUEING_WEIGHT: f64 = 3.0;
/// Assumed service time of a target that has reported none.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(30);
/// Age from which a reported load is ignored.
const LOAD_EXPIRY: Duration = Duration::from_millis(600);
/// Bounds of the exponential backoff for a peer that can't be reached.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Backoff for a target that refused a call because it is draining or stalled.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(300);
/// Weight of the newest call in a peer's failure rate.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.1;
/// Exponent of the success rate in a target's weight.
const RELIABILITY_EXPONENT: i32 = 3;
/// Lower bound of the success rate in the estimates.
const MIN_RELIABILITY: f64 = 0.05;
/// Share of its weight that a new target starts with (slow start), and the time until it has all of
/// it.
const MIN_SLOW_START_FACTOR: f64 = 0.25;
const SLOW_START_TIME: Duration = Duration::from_secs(3);
/// Success rate from which a target with a rate limit is preferred while it takes calls.
const MIN_GRANT_RELIABILITY: f64 = 0.5;
/// Relative increase of the service time of a target whose concurrency limit is reached.
const FULL_LOAD_SLOWDOWN: f64 = 0.25;

/// What a call says about the target that it was sent to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerOutcome {
    /// The target responded; an error that a child call caused does not count against it.
    Responded,
    /// The target failed or the response was cut off.
    Failed,
    /// Refused before it ran because the target is draining, gone, stalled or accepts no
    /// connection.
    Refused,
    /// The target's sidecar can't be reached, or the connection to it broke.
    Unreachable,
    /// Refused before it ran because the rate limit of the target is exhausted.
    RateLimited,
    /// The caller cancelled the call, or it was refused for a reason that does not count against
    /// the target.
    Inconclusive,
}

/// State of the target beside one peer.
#[derive(Clone, Debug)]
struct PeerEntry {
    address: SocketAddr,
    is_same_data_centre: bool,
    is_suspect: bool,
    slots: u32,
    known_since: TimePoint,
    load: Option<TargetLoad>,
    /// `None` while the target has no rate limit.
    pace: Option<CallPace>,
    pace_seed: u64,
    load_received_at: TimePoint,
    /// Calls of this sidecar in flight.
    in_flight: u32,
    /// The same number at the time of the last load report.
    in_flight_at_report: u32,
    failure_rate: f64,
    backoff: Duration,
    backoff_until: TimePoint,
}

/// The targets of one service.
#[derive(Clone, Debug, Default)]
struct ServicePeers {
    /// Targets that this sidecar calls.
    entries: Vec<PeerEntry>,
    /// Number of all targets of the service, and the sum of their slots.
    target_count: usize,
    total_slots: u32,
}

/// Load balancer that draws some targets at random and chooses the one with the lowest expected
/// latency.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own_address: SocketAddr,
    data_centre: Arc<str>,
    services: HashMap<ServiceName, ServicePeers>,
    /// Number of sidecars, each of which may call each target.
    callers: usize,
}

impl PeerTable {
    /// Creates the table of the sidecar whose mesh address is `own_address`.
    #[must_use]
    pub fn new(own_address: SocketAddr, data_centre: Arc<str>) -> Self {
        Self {
            own_address,
            data_centre,
            services: HashMap::new(),
            callers: 1,
        }
    }

    /// Applies a membership view; the state of targets that remain is kept.
    pub fn update(&mut self, now: TimePoint, view: &MemberView) {
        let mut known = std::mem::take(&mut self.services);
        let is_first_view = known.is_empty();
        self.callers = view.members.len().max(1);
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
            let mut previous = known.remove(service).unwrap_or_default().entries;
            let target_count = records.len();
            let total_slots = records.iter().filter_map(|record| record.target.as_ref());
            let total_slots = total_slots.map(|target| target.slots).sum();
            let subset = choose_subset(self.own_address, &self.data_centre, records);
            let entries = subset.into_iter().map(|record| {
                let index = previous
                    .iter()
                    .position(|entry| entry.address == record.mesh);
                let previous = index.map(|index| previous.swap_remove(index));
                let fresh = || {
                    PeerEntry::new(
                        record,
                        self.own_address,
                        &self.data_centre,
                        now,
                        is_first_view,
                    )
                };
                let mut entry = previous.unwrap_or_else(fresh);
                entry.slots = record.target.as_ref().map_or(0, |target| target.slots);
                entry.is_suspect = record.state == MemberState::Suspect;
                entry
            });
            let peers = ServicePeers {
                entries: entries.collect(),
                target_count,
                total_slots,
            };
            self.services.insert(service.clone(), peers);
        }
    }

    /// Number of targets of a service, whether this sidecar calls them or not.
    #[must_use]
    pub fn target_count(&self, service: &ServiceName) -> usize {
        self.services
            .get(service)
            .map_or(0, |peers| peers.target_count)
    }

    /// Whether this sidecar calls the target of `peer`.
    #[must_use]
    pub fn contains(&self, peer: SocketAddr) -> bool {
        let mut entries = self.services.values().flat_map(|peers| &peers.entries);
        entries.any(|entry| entry.address == peer)
    }

    /// Calls that all targets of a service may run at once, extrapolated from the limits of those
    /// that this sidecar calls.
    #[must_use]
    pub fn total_concurrency_limit(&self, service: &ServiceName) -> f64 {
        let Some(peers) = self.services.get(service) else {
            return 0.0;
        };
        let entries = &peers.entries;
        let limit: f64 = entries.iter().map(PeerEntry::concurrency_limit).sum();
        let slots: u32 = entries.iter().map(|entry| entry.slots.max(1)).sum();
        limit * f64::from(peers.total_slots) / f64::from(slots)
    }

    /// Running and queued calls of a service against its concurrency limits; `None` unless most
    /// targets have reported recently.
    ///
    /// All targets count, since a fast target may have a queue while slow ones have none.
    #[must_use]
    pub fn pressure(&self, now: TimePoint, service: &ServiceName) -> Option<QueuePressure> {
        let entries = &self.services.get(service)?.entries;
        let fresh = entries.iter().filter_map(|entry| entry.fresh_load(now));
        let (mut count, mut calls, mut urgent_calls, mut limit) = (0, 0.0, 0.0, 0.0);
        for load in fresh {
            count += 1;
            calls += f64::from(load.running.saturating_add(load.waiting));
            urgent_calls += f64::from(load.running.saturating_add(load.urgent_waiting));
            limit += load.capacity();
        }
        (count * 2 > entries.len()).then(|| QueuePressure {
            total: calls / limit,
            urgent: urgent_calls / limit,
        })
    }

    /// Chooses a target that the call may still be sent to and counts the call as in flight there.
    ///
    /// Targets that the call has not been sent to come first; those that are suspect, stalled or in
    /// backoff are chosen only if no other is left.
    pub fn choose<R: Rng>(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        tried: &TriedTargets,
        max_targets: u32,
        rng: &mut R,
    ) -> Option<SocketAddr> {
        let entries = &mut self.services.get_mut(service)?.entries;
        let is_untried = |entry: &PeerEntry| tried.allows_first_attempt(entry.address, max_targets);
        let has_untried = entries.iter().any(is_untried);
        let is_allowed = |entry: &&mut PeerEntry| {
            if has_untried {
                is_untried(entry)
            } else {
                tried.allows_retry(entry.address)
            }
        };
        let mut candidates: Vec<&mut PeerEntry> = entries.iter_mut().filter(is_allowed).collect();
        if candidates.iter().any(|entry| entry.is_usable(now)) {
            candidates.retain(|entry| entry.is_usable(now));
        }
        // A target in need gets what it grants, and the others get the rest.
        let granting = candidates.iter_mut().position(|entry| entry.has_grant(now));
        if let Some(index) = granting {
            return Some(candidates.swap_remove(index).start_call());
        }
        if candidates.iter().any(|entry| entry.pace.is_none()) {
            candidates.retain(|entry| entry.pace.is_none());
        }
        let weights: Vec<f64> = candidates.iter().map(|entry| entry.weight(now)).collect();
        let total: f64 = weights.iter().sum();
        let mut best: Option<(usize, f64)> = None;
        for _ in 0..CANDIDATE_SAMPLES {
            let index = sample_weighted(&weights, total, rng)?;
            let latency = candidates[index].expected_latency_seconds(now);
            if best.is_none_or(|(_, lowest)| latency < lowest) {
                best = Some((index, latency));
            }
        }
        Some(candidates.swap_remove(best?.0).start_call())
    }

    /// Whether [`Self::choose`] finds a target that is not avoided at present.
    #[must_use]
    pub fn has_usable(
        &self,
        now: TimePoint,
        service: &ServiceName,
        tried: &TriedTargets,
        max_targets: u32,
    ) -> bool {
        let peers = self.services.get(service);
        let mut entries = peers.into_iter().flat_map(|peers| &peers.entries);
        entries.any(|entry| {
            let is_allowed = tried.allows_first_attempt(entry.address, max_targets)
                || tried.allows_retry(entry.address);
            is_allowed && entry.is_usable(now)
        })
    }

    /// Counts a call as in flight at a target that was not chosen by [`Self::choose`].
    pub fn start_call(&mut self, service: &ServiceName, peer: SocketAddr) {
        let peers = self.services.get_mut(service);
        let mut entries = peers.into_iter().flat_map(|peers| &mut peers.entries);
        if let Some(entry) = entries.find(|entry| entry.address == peer) {
            entry.start_call();
        }
    }

    /// Time until a target of the service takes a call, if all of them have rate limits that this
    /// sidecar has used up; `None` if one takes calls now.
    pub fn rate_limit_delay(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        is_urgent: bool,
    ) -> Option<Duration> {
        let entries = &mut self.services.get_mut(service)?.entries;
        let mut shortest: Option<Duration> = None;
        for entry in entries.iter_mut().filter(|entry| entry.is_usable(now)) {
            let delay = entry.pace.as_mut()?.delay(now, is_urgent);
            shortest = Some(shortest.map_or(delay, |shortest| shortest.min(delay)));
        }
        shortest.filter(|delay| !delay.is_zero())
    }

    /// Records the outcome of a call that [`Self::choose`] has counted.
    pub fn record_outcome(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        peer: SocketAddr,
        outcome: PeerOutcome,
        load: Option<TargetLoad>,
    ) {
        let callers = self.callers;
        if let Some(entry) = self.entry_mut(service, peer) {
            entry.record_outcome(now, outcome, load, callers);
        }
    }

    /// Records that nothing is received from a peer while calls wait for it.
    pub(crate) fn record_silence(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        peer: SocketAddr,
    ) {
        if let Some(entry) = self.entry_mut(service, peer) {
            entry.back_off(now);
        }
    }

    fn entry_mut(&mut self, service: &ServiceName, peer: SocketAddr) -> Option<&mut PeerEntry> {
        let mut entries = self.services.get_mut(service)?.entries.iter_mut();
        entries.find(|entry| entry.address == peer)
    }
}

impl PeerEntry {
    fn new(
        record: &MemberRecord,
        own_address: SocketAddr,
        data_centre: &str,
        now: TimePoint,
        is_first_view: bool,
    ) -> Self {
        Self {
            address: record.mesh,
            is_same_data_centre: *record.data_centre == *data_centre,
            is_suspect: false,
            slots: 0,
            // Targets that this sidecar finds at its start need no slow start.
            known_since: if is_first_view {
                TimePoint::ORIGIN
            } else {
                now
            },
            load: None,
            pace: None,
            pace_seed: rapidhash_v3(format!("{own_address}/{}", record.mesh).as_bytes()),
            load_received_at: now,
            in_flight: 0,
            in_flight_at_report: 0,
            failure_rate: 0.0,
            backoff: Duration::ZERO,
            backoff_until: TimePoint::ORIGIN,
        }
    }

    fn is_usable(&self, now: TimePoint) -> bool {
        let is_stalled = self.fresh_load(now).is_some_and(|load| load.is_stalled);
        now >= self.backoff_until && !self.is_suspect && !is_stalled
    }

    /// Whether the target has a rate limit, takes a call of this sidecar now and mostly succeeds.
    fn has_grant(&mut self, now: TimePoint) -> bool {
        self.pace.as_mut().is_some_and(|pace| pace.is_ready(now))
            && self.reliability(now) >= MIN_GRANT_RELIABILITY
    }

    /// Counts a call as in flight; returns the address to send it to.
    fn start_call(&mut self) -> SocketAddr {
        self.in_flight += 1;
        if let Some(pace) = &mut self.pace {
            pace.record_call();
        }
        self.address
    }

    fn fresh_load(&self, now: TimePoint) -> Option<&TargetLoad> {
        let is_fresh = now.since(self.load_received_at) < LOAD_EXPIRY;
        self.load.as_ref().filter(|_| is_fresh)
    }

    fn service_time(&self) -> Duration {
        let reported = self.load.as_ref().map(|load| load.service_time);
        let known = reported.filter(|time| !time.is_zero());
        known.unwrap_or(DEFAULT_SERVICE_TIME)
    }

    fn concurrency_limit(&self) -> f64 {
        let reported = self.load.as_ref().map(TargetLoad::capacity);
        reported.unwrap_or_else(|| f64::from(self.slots.max(1)))
    }

    fn reliability(&self, now: TimePoint) -> f64 {
        let reported = self.fresh_load(now).map_or(0.0, |load| load.failure_rate);
        (1.0 - self.failure_rate.max(reported)).max(MIN_RELIABILITY)
    }

    /// Sampling weight: calls that the target completes per second, reduced for failures and during
    /// the slow start.
    fn weight(&self, now: TimePoint) -> f64 {
        let rate = self.concurrency_limit() / self.service_time().as_secs_f64();
        let age = now.since(self.known_since).as_secs_f64() / SLOW_START_TIME.as_secs_f64();
        let slow_start = age.clamp(MIN_SLOW_START_FACTOR, 1.0);
        rate * slow_start * self.reliability(now).powi(RELIABILITY_EXPONENT)
    }

    /// Expected latency of one more call, in seconds, scaled up for unreliable targets.
    fn expected_latency_seconds(&self, now: TimePoint) -> f64 {
        let reported = self
            .fresh_load(now)
            .map_or(0, |load| load.running + load.waiting);
        let sent_since_report = self.in_flight.saturating_sub(self.in_flight_at_report);
        let calls_ahead = f64::from(
            reported
                .saturating_add(sent_since_report)
                .max(self.in_flight),
        );
        let service = self.service_time().as_secs_f64();
        let wait = (calls_ahead + 1.0 - self.concurrency_limit()).max(0.0) * service
            / self.concurrency_limit();
        // A target close to its limit works more slowly and frees its slots later.
        let utilization_factor =
            1.0 + FULL_LOAD_SLOWDOWN * (calls_ahead / self.concurrency_limit()).min(1.0);
        let penalty = if self.is_same_data_centre {
            0.0
        } else {
            REMOTE_PENALTY.as_secs_f64()
        };
        (wait * QUEUEING_WEIGHT + service * utilization_factor + penalty) / self.reliability(now)
    }

    fn record_outcome(
        &mut self,
        now: TimePoint,
        outcome: PeerOutcome,
        load: Option<TargetLoad>,
        callers: usize,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(load) = load {
            match (load.rate_limit, &mut self.pace) {
                (Some(limit), Some(pace)) => pace.set_limit(limit, callers),
                (Some(limit), pace) => {
                    *pace = Some(CallPace::new(now, limit, callers, self.pace_seed));
                }
                (None, pace) => *pace = None,
            }
            self.load = Some(load);
            self.load_received_at = now;
            self.in_flight_at_report = self.in_flight;
        }
        match outcome {
            PeerOutcome::Responded => {
                if let Some(pace) = &mut self.pace {
                    pace.record_acceptance();
                }
                self.failure_rate -= self.failure_rate * FAILURE_SAMPLE_WEIGHT;
                self.backoff = Duration::ZERO;
            }
            PeerOutcome::Failed => {
                self.failure_rate += (1.0 - self.failure_rate) * FAILURE_SAMPLE_WEIGHT;
            }
            PeerOutcome::Refused => self.backoff_until = now + REFUSAL_BACKOFF,
            PeerOutcome::Unreachable => self.back_off(now),
            PeerOutcome::RateLimited => {
                if let Some(pace) = &mut self.pace {
                    pace.record_refusal();
                }
            }
            PeerOutcome::Inconclusive => {}
        }
    }

    fn back_off(&mut self, now: TimePoint) {
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.backoff_until = now + self.backoff;
    }
}

/// Draws an index with a probability proportional to its weight.
fn sample_weighted<R: Rng>(weights: &[f64], total: f64, rng: &mut R) -> Option<usize> {
    let mut point = rng.random::<f64>() * total;
    for (index, weight) in weights.iter().enumerate() {
        point -= weight;
        if point < 0.0 {
            return Some(index);
        }
    }
    weights.len().checked_sub(1)
}
