use {
    super::{
        CallEnd, EjectionChange, RoutingDecision, TargetEntry, TargetKey,
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

/// Share of a service's targets beyond which none is ejected for broken answers, in %.
const MAX_EJECTED_PERCENT: usize = 50;
/// Services that are remembered after their last target has gone.
const MAX_SEEN_SERVICES: usize = 1_024;
/// Earliest return of a call that every target sheds.
const SHED_RETRY_MIN_MS: u64 = 250;
const SHED_RETRY_MAX_MS: u64 = 1_000;

/// Where the router itself stands.
#[derive(Clone, Debug)]
pub struct RouterLocation {
    pub region: Arc<str>,
    pub data_centre: Arc<str>,
}

/// Targets of all services as one router knows them.
#[derive(Debug)]
pub struct TargetTable {
    location: RouterLocation,
    targets: SlotMap<TargetKey, TargetEntry>,
    by_service: HashMap<ServiceName, Vec<TargetKey>>,
    by_member: HashMap<MemberId, TargetKey>,
    /// Services that a target was announced of, up to a bound.
    seen: HashSet<ServiceName>,
}

impl TargetTable {
    #[must_use]
    pub fn new(location: RouterLocation) -> Self {
        Self {
            location,
            targets: SlotMap::with_key(),
            by_service: HashMap::new(),
            by_member: HashMap::new(),
            seen: HashSet::new(),
        }
    }

    /// Takes in the members that are known now; what is gone or leaving gets nothing more.
    pub fn update<'a, I>(&mut self, now: TimePoint, records: I)
    where
        I: IntoIterator<Item = &'a MemberRecord>,
    {
        let mut kept = HashSet::new();
        self.by_service.clear();
        for record in records {
            if let Some(key) = self.take_in(now, record) {
                kept.insert(key);
            }
        }
        self.targets.retain(|key, _| kept.contains(&key));
        self.by_member.retain(|_, key| kept.contains(key));
    }

    /// Chooses a target for a call, none of `tried`.
    pub fn pick<R: Rng>(
        &self,
        now: TimePoint,
        service: &ServiceName,
        priority: CallPriority,
        tried: &[TargetKey],
        rng: &mut R,
    ) -> RoutingDecision {
        let able = self.able_targets(now, service, tried);
        if able.is_empty() {
            return RoutingDecision::NoTarget;
        }
        let admitting: Vec<TargetKey> = able
            .into_iter()
            .filter(|key| self.targets[*key].threshold(now) <= priority)
            .collect();
        if admitting.is_empty() {
            return RoutingDecision::Shed {
                retry_after: shed_retry(rng),
            };
        }
        let near = self.nearest_with_room(now, &admitting);
        RoutingDecision::Target(self.better_of_two(now, &near, rng))
    }

    /// Notes that a call went to a target.
    pub fn start(&mut self, key: TargetKey) {
        if let Some(entry) = self.targets.get_mut(key) {
            entry.start();
        }
    }

    /// Notes how a call to a target ended.
    pub fn end(&mut self, now: TimePoint, key: TargetKey, end: CallEnd) -> Option<EjectionChange> {
        let room = self.ejection_room(now, key);
        self.targets.get_mut(key)?.end(now, end, room)
    }

    #[must_use]
    pub fn get(&self, key: TargetKey) -> Option<&TargetEntry> {
        self.targets.get(key)
    }

    /// A target of the service is announced, or was.
    #[must_use]
    pub fn is_known(&self, service: &ServiceName) -> bool {
        self.seen.contains(service)
    }

    fn take_in(&mut self, now: TimePoint, record: &MemberRecord) -> Option<TargetKey> {
        let target = record.target.as_ref()?;
        if self.seen.len() < MAX_SEEN_SERVICES && !self.seen.contains(&target.service) {
            self.seen.insert(target.service.clone());
        }
        let is_present = matches!(record.state, MemberState::Alive | MemberState::Suspect);
        if !is_present || target.state == TargetState::Draining {
            return None;
        }
        let known = self.by_member.get(&record.id).copied();
        let known = known.filter(|key| self.targets[*key].service == target.service);
        let key = match known {
            Some(key) => key,
            None => self.add(now, record, target),
        };
        self.targets[key].slots = target.slots;
        let keys = self.by_service.entry(target.service.clone()).or_default();
        keys.push(key);
        Some(key)
    }

    fn add(
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

    /// Targets that are not ejected; all of them if every one is.
    fn able_targets(
        &self,
        now: TimePoint,
        service: &ServiceName,
        tried: &[TargetKey],
    ) -> Vec<TargetKey> {
        let Some(keys) = self.by_service.get(service) else {
            return Vec::new();
        };
        let is_untried = |key: &TargetKey| !tried.contains(key);
        let is_able = |key: &TargetKey| is_untried(key) && !self.targets[*key].is_ejected(now);
        let able: Vec<TargetKey> = keys.iter().copied().filter(is_able).collect();
        if !able.is_empty() {
            return able;
        }
        keys.iter().copied().filter(is_untried).collect()
    }

    /// Broken answers may come from the calls rather than the targets, so they eject only a part.
    fn ejection_room(&self, now: TimePoint, key: TargetKey) -> EjectionAllowance {
        let Some(entry) = self.targets.get(key) else {
            return EjectionAllowance::Full;
        };
        let Some(keys) = self.by_service.get(&entry.service) else {
            return EjectionAllowance::Full;
        };
        let ejected = keys
            .iter()
            .filter(|key| self.targets[**key].is_ejected(now))
            .count();
        if (ejected + 1) * 100 > keys.len() * MAX_EJECTED_PERCENT {
            EjectionAllowance::Full
        } else {
            EjectionAllowance::Free
        }
    }

    fn nearest_with_room(&self, now: TimePoint, keys: &[TargetKey]) -> Vec<TargetKey> {
        let is_in_data_centre =
            |entry: &TargetEntry| entry.data_centre == self.location.data_centre;
        let in_data_centre = self.with_room(now, keys, is_in_data_centre);
        if !in_data_centre.is_empty() {
            return in_data_centre;
        }
        let in_region = self.with_room(now, keys, |entry| entry.region == self.location.region);
        if !in_region.is_empty() {
            return in_region;
        }
        keys.to_vec()
    }

    fn with_room<F>(&self, now: TimePoint, keys: &[TargetKey], is_near: F) -> Vec<TargetKey>
    where
        F: Fn(&TargetEntry) -> bool,
    {
        let is_candidate = |key: &TargetKey| {
            let entry = &self.targets[*key];
            is_near(entry) && !entry.is_full(now)
        };
        keys.iter().copied().filter(is_candidate).collect()
    }

    fn better_of_two<R: Rng>(&self, now: TimePoint, keys: &[TargetKey], rng: &mut R) -> TargetKey {
        let first = keys[rng.random_range(0..keys.len())];
        let second = keys[rng.random_range(0..keys.len())];
        let is_first_better = self.targets[first].score(now) <= self.targets[second].score(now);
        if is_first_better { first } else { second }
    }
}

fn shed_retry<R: Rng>(rng: &mut R) -> Duration {
    Duration::from_millis(rng.random_range(SHED_RETRY_MIN_MS..=SHED_RETRY_MAX_MS))
}
