use {
    super::{
        EjectionChange, RoutingDecision, TargetEntry, TargetKey, TargetOutcome,
        target_entry::EjectionAllowance,
    },
    crate::{
        context::{CallPriority, ServiceName},
        membership::{MemberId, MemberRecord, MemberState, TargetAnnouncement, TargetState},
        time::TimePoint,
    },
    rand::{Rng, RngExt},
    slotmap::SlotMap,
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
};

/// Maximum share of a service's targets that are ejected for broken responses, in percent.
const MAX_EJECTED_PERCENT: usize = 50;
/// Maximum number of services that are kept as known, including those without targets.
const MAX_ANNOUNCED_SERVICES: usize = 1_024;
/// Minimum retry delay of a call that is below the threshold of every target.
const MIN_SHED_RETRY_MS: u64 = 250;
const MAX_SHED_RETRY_MS: u64 = 1_000;

/// Region and data centre of the router itself.
#[derive(Clone, Debug)]
pub struct RouterLocation {
    pub region: Arc<str>,
    pub data_centre: Arc<str>,
}

/// Targets of all services, as known to one router.
#[derive(Debug)]
pub struct TargetTable {
    location: RouterLocation,
    targets: SlotMap<TargetKey, TargetEntry>,
    by_service: HashMap<ServiceName, Vec<TargetKey>>,
    by_member: HashMap<MemberId, TargetKey>,
    /// Services for which a target has been announced, up to [`MAX_ANNOUNCED_SERVICES`].
    announced_services: HashSet<ServiceName>,
}

impl TargetTable {
    #[must_use]
    pub fn new(location: RouterLocation) -> Self {
        Self {
            location,
            targets: SlotMap::with_key(),
            by_service: HashMap::new(),
            by_member: HashMap::new(),
            announced_services: HashSet::new(),
        }
    }

    /// Replaces the targets with those of `records`. Targets that are absent, leaving or draining
    /// are sent no more calls.
    pub fn update<'a, I>(&mut self, now: TimePoint, records: I)
    where
        I: IntoIterator<Item = &'a MemberRecord>,
    {
        let mut kept = HashSet::new();
        self.by_service.clear();
        for record in records {
            if let Some(key) = self.upsert(now, record) {
                kept.insert(key);
            }
        }
        self.targets.retain(|key, _| kept.contains(&key));
        self.by_member.retain(|_, key| kept.contains(key));
    }

    /// Picks a target for a call, other than those in `tried`.
    pub fn pick<R: Rng>(
        &self,
        now: TimePoint,
        service: &ServiceName,
        priority: CallPriority,
        tried: &[TargetKey],
        rng: &mut R,
    ) -> RoutingDecision {
        let available = self.available_targets(now, service, tried);
        if available.is_empty() {
            return RoutingDecision::NoTarget;
        }
        let admitting: Vec<TargetKey> = available
            .into_iter()
            .filter(|key| self.targets[*key].threshold(now) <= priority)
            .collect();
        if admitting.is_empty() {
            return RoutingDecision::Shed {
                retry_after: shed_retry_delay(rng),
            };
        }
        let candidates = self.nearest_with_capacity(now, &admitting);
        RoutingDecision::Target(self.least_loaded_of_two(now, &candidates, rng))
    }

    /// Records that a call was sent to a target.
    pub fn start_call(&mut self, key: TargetKey) {
        if let Some(entry) = self.targets.get_mut(key) {
            entry.start_call();
        }
    }

    /// Records the outcome of a call to a target.
    pub fn finish_call(
        &mut self,
        now: TimePoint,
        key: TargetKey,
        outcome: TargetOutcome,
    ) -> Option<EjectionChange> {
        let allowance = self.ejection_allowance(now, key);
        self.targets
            .get_mut(key)?
            .finish_call(now, outcome, allowance)
    }

    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.targets.get(key)
    }

    /// Whether a target of the service has ever been announced.
    #[must_use]
    pub fn is_known(&self, service: &ServiceName) -> bool {
        self.announced_services.contains(service)
    }

    fn upsert(&mut self, now: TimePoint, record: &MemberRecord) -> Option<TargetKey> {
        let target = record.target.as_ref()?;
        if self.announced_services.len() < MAX_ANNOUNCED_SERVICES
            && !self.announced_services.contains(&target.service)
        {
            self.announced_services.insert(target.service.clone());
        }
        let is_present = matches!(record.state, MemberState::Alive | MemberState::Suspect);
        if !is_present || target.state == TargetState::Draining {
            return None;
        }
        let known = self.by_member.get(&record.id).copied();
        let known = known.filter(|key| self.targets[*key].service == target.service);
        let key = match known {
            Some(key) => key,
            None => self.insert(now, record, target),
        };
        self.targets[key].slots = target.slots;
        let keys = self.by_service.entry(target.service.clone()).or_default();
        keys.push(key);
        Some(key)
    }

    fn insert(
        &mut self,
        now: TimePoint,
        record: &MemberRecord,
        target: &TargetAnnouncement,
    ) -> TargetKey {
        let entry = TargetEntry::new(
            record.id,
            target.service.clone(),
            record.mesh,
            record.region.clone(),
            record.data_centre.clone(),
            target.slots,
            now,
        );
        let key = self.targets.insert(entry);
        self.by_member.insert(record.id, key);
        key
    }

    /// Untried targets that are not ejected, or all untried ones if every one is ejected.
    fn available_targets(
        &self,
        now: TimePoint,
        service: &ServiceName,
        tried: &[TargetKey],
    ) -> Vec<TargetKey> {
        let Some(keys) = self.by_service.get(service) else {
            return Vec::new();
        };
        let is_untried = |key: &TargetKey| !tried.contains(key);
        let is_available = |key: &TargetKey| is_untried(key) && !self.targets[*key].is_ejected(now);
        let available: Vec<TargetKey> = keys.iter().copied().filter(is_available).collect();
        if !available.is_empty() {
            return available;
        }
        keys.iter().copied().filter(is_untried).collect()
    }

    /// Whether `key` may be ejected for broken responses. The calls rather than the targets may be
    /// the cause, so only a limited share of the targets is ejected.
    fn ejection_allowance(&self, now: TimePoint, key: TargetKey) -> EjectionAllowance {
        let Some(entry) = self.targets.get(key) else {
            return EjectionAllowance::Exhausted;
        };
        let Some(keys) = self.by_service.get(&entry.service) else {
            return EjectionAllowance::Exhausted;
        };
        let ejected = keys
            .iter()
            .filter(|key| self.targets[**key].is_ejected(now))
            .count();
        if (ejected + 1) * 100 > keys.len() * MAX_EJECTED_PERCENT {
            EjectionAllowance::Exhausted
        } else {
            EjectionAllowance::Available
        }
    }

    /// Targets with free slots in the own data centre, else those in the own region, else all.
    fn nearest_with_capacity(&self, now: TimePoint, keys: &[TargetKey]) -> Vec<TargetKey> {
        let is_in_data_centre =
            |entry: &TargetEntry| entry.data_centre == self.location.data_centre;
        let in_data_centre = self.targets_with_capacity(now, keys, is_in_data_centre);
        if !in_data_centre.is_empty() {
            return in_data_centre;
        }
        let in_region =
            self.targets_with_capacity(now, keys, |entry| entry.region == self.location.region);
        if !in_region.is_empty() {
            return in_region;
        }
        keys.to_vec()
    }

    fn targets_with_capacity<F>(
        &self,
        now: TimePoint,
        keys: &[TargetKey],
        is_near: F,
    ) -> Vec<TargetKey>
    where
        F: Fn(&TargetEntry) -> bool,
    {
        let is_candidate = |key: &TargetKey| {
            let entry = &self.targets[*key];
            is_near(entry) && !entry.is_full(now)
        };
        keys.iter().copied().filter(is_candidate).collect()
    }

    fn least_loaded_of_two<R: Rng>(
        &self,
        now: TimePoint,
        keys: &[TargetKey],
        rng: &mut R,
    ) -> TargetKey {
        let first = keys[rng.random_range(0..keys.len())];
        let second = keys[rng.random_range(0..keys.len())];
        let is_first_less_loaded =
            self.targets[first].score(now) <= self.targets[second].score(now);
        if is_first_less_loaded { first } else { second }
    }
}

fn shed_retry_delay<R: Rng>(rng: &mut R) -> Duration {
    Duration::from_millis(rng.random_range(MIN_SHED_RETRY_MS..=MAX_SHED_RETRY_MS))
}
