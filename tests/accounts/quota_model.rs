//! Model of a fleet whose sidecars share the limits of accounts.
//!
//! Requests come at random times to random sidecars. A message between two sidecars that reach each
//! other takes no time, one between others is lost. [`QuotaPolicy`] is the way in which the limits
//! are shared.

use {
    banyantrestle::{
        accounts::{
            AccountLimit, CreditGrant, CreditLedger, CreditPurse, CreditStep, OwnerReach,
            QuotaTolerance, choose_quota_owners, quota_candidates, quota_owner_count,
        },
        time::TimePoint,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::HashMap,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
};

const STEP_MS: u64 = 10;
/// Time at which the requests begin; the sidecars start at 0.
const TRAFFIC_START_MS: u64 = 10_000;
pub const RUN_MS: u64 = 20_000;
/// Time from which a member that can't be reached is missing from the views of others.
const DETECTION_MS: u64 = 3_000;
/// Time from which a sidecar that reaches neither the store nor the others refuses keys.
const PROOF_MS: u64 = 4_500;
/// Time that a gossiped count takes to all sidecars.
const GOSSIP_DELAY_MS: u64 = 600;
/// Share of what an account may send that it sends in the mean.
const USUAL_SHARE: f64 = 1.0 / 1.6;
/// Requests per second at each sidecar.
const RATE_PER_FRONT: f64 = 22.0;

pub const TOLERANCE: QuotaTolerance = QuotaTolerance {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

/// What happens in a run; times count from the start of the requests.
#[derive(Clone, Copy, Debug)]
pub enum FleetEvent {
    /// One account sends this many times its usual.
    Hot {
        account: usize,
        factor: f64,
        from_ms: u64,
        to_ms: u64,
    },
    /// A share of the sidecars can't reach the others.
    Cut {
        share: f64,
        from_ms: u64,
        to_ms: u64,
    },
    /// A share of the processes is killed and starts again.
    Restart {
        share: f64,
        at_ms: u64,
        down_ms: u64,
    },
    /// The limits of all accounts are multiplied.
    Limit { factor: f64, at_ms: u64 },
}

/// Which sidecars run and reach each other.
pub struct FleetNetwork {
    pub size: usize,
    running: Vec<bool>,
    side: Vec<bool>,
    cut_since: Option<u64>,
}

impl FleetNetwork {
    fn reaches(&self, from: usize, to: usize) -> bool {
        self.running[from] && self.running[to] && self.side[from] == self.side[to]
    }

    /// Whether a sidecar that is cut off has no proof of its configuration any more.
    fn refuses_keys(&self, now_ms: u64, front: usize) -> bool {
        let is_cut = |since: u64| !self.side[front] && now_ms >= since + PROOF_MS;
        self.cut_since.is_some_and(is_cut)
    }

    /// Members in the view of a sidecar.
    fn view(&self, now_ms: u64, from: usize) -> Vec<usize> {
        let is_detected = self
            .cut_since
            .is_some_and(|since| now_ms >= since + DETECTION_MS);
        let is_listed = |member: &usize| !is_detected || self.side[*member] == self.side[from];
        (0..self.size).filter(is_listed).collect()
    }
}

/// Way in which the sidecars share the limits.
pub trait QuotaPolicy {
    fn restart(&mut self, now: TimePoint, front: usize);

    fn change_view(&mut self, now: TimePoint, front: usize, view: &[usize], has_lost: bool);

    fn admits(
        &mut self,
        network: &FleetNetwork,
        now: TimePoint,
        front: usize,
        account: usize,
        limit: AccountLimit,
    ) -> bool;

    /// Messages sent so far.
    fn messages(&self) -> u64;
}

/// Quota owners that hand out credits: the way that is in use.
pub struct OwnerCredits {
    ledgers: Vec<CreditLedger>,
    purses: Vec<HashMap<usize, CreditPurse>>,
    /// Which owners answer, as each sidecar knows it.
    reach: Vec<OwnerReach>,
    /// Members that may be owners, by the view of each sidecar.
    views: Vec<Vec<SocketAddr>>,
    /// Owners of the accounts by the view of each sidecar.
    owners: Vec<HashMap<usize, Vec<SocketAddr>>>,
    messages: u64,
}

fn address(front: usize) -> SocketAddr {
    let [.., high, low] = u32::try_from(front).expect("a small fleet").to_be_bytes();
    SocketAddr::new(Ipv4Addr::new(10, 0, high, low).into(), 7_000)
}

fn front_of(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [.., high, low] = ip.octets();
            usize::from(high) * 256 + usize::from(low)
        }
        IpAddr::V6(_) => unreachable!("all members have IPv4 addresses"),
    }
}

fn name(account: usize) -> Arc<str> {
    format!("account-{account}").into()
}

impl OwnerCredits {
    pub fn new(size: usize) -> Self {
        let view: Vec<_> = (0..size).map(address).collect();
        let view = quota_candidates(&view);
        Self {
            ledgers: vec![CreditLedger::new(TimePoint::ORIGIN); size],
            purses: vec![HashMap::new(); size],
            reach: vec![OwnerReach::default(); size],
            views: vec![view; size],
            owners: vec![HashMap::new(); size],
            messages: 0,
        }
    }

    fn owners_of(&mut self, front: usize, account: usize, count: usize) -> Vec<SocketAddr> {
        let view = &self.views[front];
        let owners = self.owners[front].entry(account).or_default();
        if owners.len() != count.min(view.len()) {
            *owners = choose_quota_owners(&name(account), count, view.iter().copied());
        }
        owners.clone()
    }

    /// Asks an owner and records its answer.
    fn ask(
        &mut self,
        network: &FleetNetwork,
        (now, front, account, limit): (TimePoint, usize, usize, AccountLimit),
        purse: &mut CreditPurse,
        owner: SocketAddr,
        wanted: u32,
    ) {
        self.messages += 2;
        let owner_front = front_of(owner);
        let answer = network
            .reaches(front, owner_front)
            .then(|| self.grant(now, owner_front, account, limit, wanted));
        self.reach[front].record(now, now, owner, answer.is_some());
        purse.record_answer(now, now, owner, wanted, answer);
    }

    fn grant(
        &mut self,
        now: TimePoint,
        owner: usize,
        account: usize,
        limit: AccountLimit,
        wanted: u32,
    ) -> CreditGrant {
        let name = name(account);
        let count = quota_owner_count(&limit);
        let owners = self.owners_of(owner, account, count);
        if !owners.contains(&address(owner)) {
            self.ledgers[owner].remove(&name);
            return CreditGrant::NotOwner;
        }
        self.ledgers[owner].grant(now, &name, TOLERANCE.divide(limit, owners.len()), wanted)
    }
}

impl QuotaPolicy for OwnerCredits {
    fn restart(&mut self, now: TimePoint, front: usize) {
        self.ledgers[front] = CreditLedger::new(now);
        self.purses[front].clear();
        self.reach[front] = OwnerReach::default();
    }

    fn change_view(&mut self, now: TimePoint, front: usize, view: &[usize], has_lost: bool) {
        let view: Vec<_> = view.iter().copied().map(address).collect();
        self.views[front] = quota_candidates(&view);
        self.owners[front].clear();
        if has_lost {
            self.ledgers[front].record_lost_member(now, false);
        }
    }

    fn admits(
        &mut self,
        network: &FleetNetwork,
        now: TimePoint,
        front: usize,
        account: usize,
        limit: AccountLimit,
    ) -> bool {
        let count = quota_owner_count(&limit);
        let owners = self.owners_of(front, account, count);
        let mut purse = self.purses[front].remove(&account).unwrap_or_default();
        purse.set_owners(&owners, (front + account) % owners.len().max(1));
        purse.record_request(now);
        if let Some(owner) = self.reach[front].start_probe(now, purse.owners()) {
            let wanted = purse.start_request(now);
            self.ask(
                network,
                (now, front, account, limit),
                &mut purse,
                owner,
                wanted,
            );
        }
        let is_admitted = loop {
            match purse.next_step(now, &self.reach[front]) {
                CreditStep::Pass { .. } => break true,
                CreditStep::LimitReached(_) | CreditStep::NoOwner => break false,
                CreditStep::Ask { owner, wanted } => {
                    self.ask(
                        network,
                        (now, front, account, limit),
                        &mut purse,
                        owner,
                        wanted,
                    );
                }
            }
        };
        self.purses[front].insert(account, purse);
        is_admitted
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// Token bucket of the other ways.
#[derive(Clone, Copy, Default)]
struct LocalBucket {
    level: f64,
    filled_at: TimePoint,
}

impl LocalBucket {
    fn take(&mut self, now: TimePoint, limit: AccountLimit) -> bool {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.level = (self.level + limit.rate * elapsed).min(limit.burst.max(1.0));
        self.filled_at = now;
        let has_token = self.level >= 1.0;
        self.level -= f64::from(u8::from(has_token));
        has_token
    }
}

/// An equal part of each limit at each sidecar, without messages.
pub struct EqualShares {
    buckets: Vec<HashMap<usize, LocalBucket>>,
}

impl EqualShares {
    pub fn new(size: usize) -> Self {
        Self {
            buckets: vec![HashMap::new(); size],
        }
    }
}

impl QuotaPolicy for EqualShares {
    fn restart(&mut self, now: TimePoint, front: usize) {
        for bucket in self.buckets[front].values_mut() {
            *bucket = LocalBucket {
                level: 0.0,
                filled_at: now,
            };
        }
    }

    fn change_view(&mut self, _: TimePoint, _: usize, _: &[usize], _: bool) {}

    fn admits(
        &mut self,
        network: &FleetNetwork,
        now: TimePoint,
        front: usize,
        account: usize,
        limit: AccountLimit,
    ) -> bool {
        let part = TOLERANCE.divide(limit, network.size);
        self.buckets[front]
            .entry(account)
            .or_default()
            .take(now, part)
    }

    fn messages(&self) -> u64 {
        0
    }
}

/// Counts that all sidecars gossip; each admits by the sum of what it knows.
pub struct GossipedCounts {
    /// Requests of each account by sidecar, with their times.
    admitted: HashMap<usize, Vec<(TimePoint, usize)>>,
    messages: u64,
}

impl GossipedCounts {
    pub fn new() -> Self {
        Self {
            admitted: HashMap::new(),
            messages: 0,
        }
    }
}

impl QuotaPolicy for GossipedCounts {
    fn restart(&mut self, _: TimePoint, _: usize) {}

    fn change_view(&mut self, _: TimePoint, _: usize, _: &[usize], _: bool) {}

    fn admits(
        &mut self,
        network: &FleetNetwork,
        now: TimePoint,
        front: usize,
        account: usize,
        limit: AccountLimit,
    ) -> bool {
        // Each sidecar sends its counts to three others five times a second.
        let elapsed_ms = now.as_millis() - TRAFFIC_START_MS;
        self.messages = elapsed_ms / 200 * 3 * u64::try_from(network.size).unwrap_or(0);
        let admitted = self.admitted.entry(account).or_default();
        let window = TOLERANCE.window;
        let delay = Duration::from_millis(GOSSIP_DELAY_MS);
        let is_known = |entry: &&(TimePoint, usize)| {
            let (time, other) = **entry;
            let is_old = now.since(time) >= delay;
            now.since(time) < window && (other == front || is_old && network.reaches(front, other))
        };
        let known = admitted.iter().rev().take(20_000).filter(is_known).count();
        let allowed = limit.rate * window.as_secs_f64() + limit.burst;
        let is_admitted = f64::from(u32::try_from(known).unwrap_or(u32::MAX)) < allowed;
        if is_admitted {
            admitted.push((now, front));
        }
        is_admitted
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct QuotaResult {
    /// Most requests of one account in one window beyond the bound.
    pub overshoot: f64,
    /// Share of the requests within the limits that were refused, of the accounts that keep within
    /// them.
    pub refused_share: f64,
    /// Messages a second and sidecar.
    pub messages: f64,
}

/// Plays a fleet; accounts have limits skewed as on a sheet with few large ones.
pub fn play<P: QuotaPolicy>(
    mut policy: P,
    size: usize,
    accounts: usize,
    events: &[FleetEvent],
    seed: u64,
) -> QuotaResult {
    let mut rng = StdRng::seed_from_u64(seed);
    let weights: Vec<f64> = (1..=accounts)
        .map(|rank| 1.0 / index(rank).sqrt())
        .collect();
    let total_weight: f64 = weights.iter().sum();
    let total_rate = RATE_PER_FRONT * index(size);
    let usual: Vec<f64> = weights
        .iter()
        .map(|weight| total_rate * weight / total_weight)
        .collect();
    let limit = |account: usize, factor: f64| {
        let rate = (usual[account] / USUAL_SHARE).ceil() * factor;
        AccountLimit { rate, burst: rate }
    };
    let mut network = FleetNetwork {
        size,
        running: vec![true; size],
        side: vec![true; size],
        cut_since: None,
    };
    let mut ideal = vec![LocalBucket::default(); accounts];
    let mut admitted: Vec<Vec<u64>> = vec![Vec::new(); accounts];
    let (mut owed, mut served, mut limit_factor) = (0_u64, vec![0_u64; accounts], 1.0);
    let mut ideal_counts = vec![0_u64; accounts];
    let mut lower_limit_from = 0;
    for step in 0..RUN_MS / STEP_MS {
        let time_ms = step * STEP_MS;
        let now = TimePoint::from_millis(TRAFFIC_START_MS + time_ms);
        apply_events(&mut policy, &mut network, events, time_ms, now, &mut rng);
        for event in events {
            if let FleetEvent::Limit { factor, at_ms } = *event
                && at_ms == time_ms
            {
                limit_factor = factor;
                lower_limit_from = time_ms + 5_000;
            }
        }
        for account in 0..accounts {
            let rate = usual[account] * demand_factor(events, account, time_ms);
            let expected = rate * 0.001 * f64::from(u32::try_from(STEP_MS).unwrap_or(0));
            for _ in 0..poisson(&mut rng, expected) {
                let front = rng.random_range(0..size);
                if !network.running[front] || network.refuses_keys(time_ms, front) {
                    continue;
                }
                let limit = limit(account, limit_factor);
                if ideal[account].take(now, limit) && !is_hot(events, account) {
                    ideal_counts[account] += 1;
                    owed += 1;
                }
                if policy.admits(&network, now, front, account, limit) {
                    served[account] += 1;
                    admitted[account].push(time_ms);
                }
            }
        }
    }
    let missing: u64 = ideal_counts
        .iter()
        .zip(&served)
        .map(|(ideal, served)| ideal.saturating_sub(*served))
        .sum();
    let overshoot = (0..accounts).map(|account| {
        let bound = TOLERANCE.bound(limit(account, limit_factor));
        largest_window(&admitted[account], lower_limit_from) - bound
    });
    let seconds = 0.001 * f64::from(u32::try_from(RUN_MS).unwrap_or(1));
    QuotaResult {
        overshoot: overshoot.fold(f64::MIN, f64::max).max(0.0),
        refused_share: count(missing) / count(owed.max(1)),
        messages: count(policy.messages()) / seconds / index(size),
    }
}

fn apply_events<P: QuotaPolicy>(
    policy: &mut P,
    network: &mut FleetNetwork,
    events: &[FleetEvent],
    time_ms: u64,
    now: TimePoint,
    rng: &mut StdRng,
) {
    let size = network.size;
    for event in events {
        match *event {
            FleetEvent::Cut { share, from_ms, .. } if from_ms == time_ms => {
                for side in &mut network.side {
                    *side = !rng.random_bool(share);
                }
                network.cut_since = Some(time_ms);
            }
            FleetEvent::Cut { from_ms, .. } if from_ms + DETECTION_MS == time_ms => {
                for front in 0..size {
                    policy.change_view(now, front, &network.view(time_ms, front), true);
                }
            }
            FleetEvent::Cut { to_ms, .. } if to_ms == time_ms => {
                network.side = vec![true; size];
                network.cut_since = None;
                let all: Vec<_> = (0..size).collect();
                for front in 0..size {
                    policy.change_view(now, front, &all, false);
                }
            }
            FleetEvent::Restart { share, at_ms, .. } if at_ms == time_ms => {
                for running in &mut network.running {
                    *running = !rng.random_bool(share);
                }
            }
            FleetEvent::Restart { at_ms, down_ms, .. } if at_ms + down_ms == time_ms => {
                for front in 0..size {
                    if !network.running[front] {
                        network.running[front] = true;
                        policy.restart(now, front);
                    }
                }
            }
            _ => {}
        }
    }
}

fn demand_factor(events: &[FleetEvent], hot: usize, time_ms: u64) -> f64 {
    let factors = events.iter().filter_map(|event| match *event {
        FleetEvent::Hot {
            account,
            factor,
            from_ms,
            to_ms,
        } if account == hot && (from_ms..to_ms).contains(&time_ms) => Some(factor),
        _ => None,
    });
    factors.fold(1.0, f64::max)
}

fn is_hot(events: &[FleetEvent], account: usize) -> bool {
    let is_hot = |event: &FleetEvent| matches!(event, FleetEvent::Hot { account: hot, .. } if *hot == account);
    events.iter().any(is_hot)
}

/// Largest number of requests in a window that begins at `from_ms` or later.
fn largest_window(times: &[u64], from_ms: u64) -> f64 {
    let window = u64::try_from(TOLERANCE.window.as_millis()).unwrap_or(u64::MAX);
    let mut most = 0;
    let mut first = 0;
    for (last, time) in times.iter().enumerate() {
        while times[first] + window <= *time || times[first] < from_ms && first < last {
            first += 1;
        }
        if times[first] >= from_ms {
            most = most.max(last + 1 - first);
        }
    }
    index(most)
}

fn poisson(rng: &mut StdRng, mean: f64) -> u32 {
    let mut product: f64 = rng.random();
    let limit = (-mean).exp();
    let mut events = 0;
    while product > limit {
        product *= rng.random::<f64>();
        events += 1;
    }
    events
}

fn index(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

fn count(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
