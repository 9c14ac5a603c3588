use {
    super::{RateStatement, rate_bucket::RateBucket},
    crate::time::{TimePoint, decay_factor},
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// One slot in this many is left free, rounded up, since a nearly full target works more slowly.
const RESERVED_SLOT_DIVISOR: u32 = 16;
/// One slot in this many is left free at most; a target with few slots would lose too much.
const MAX_RESERVED_SLOT_DIVISOR: u32 = 10;
/// Time constant of the moving average of the pressure.
const PRESSURE_TIME_CONSTANT: Duration = Duration::from_millis(200);
/// Weight of the newest call in the mean service time.
const SERVICE_TIME_SAMPLE_WEIGHT: f64 = 0.05;
/// Weight of the newest call in the failure rate.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.05;
/// Share of the mean service time that must remain until the deadline for a call to start.
const MIN_SERVICE_TIME_SHARE: f64 = 0.5;
/// Maximum queued calls per slot; more would only wait until their deadline.
const MAX_QUEUED_PER_SLOT: usize = 32;
/// Time without a completed call after which a target counts as stalled, as a multiple of the mean
/// service time, and its minimum.
const STALL_SERVICE_TIMES: f64 = 8.0;
const MIN_STALL_TIME: Duration = Duration::from_millis(700);
/// Interval between the calls that probe whether a stalled target works again.
const STALL_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time that calls wait at most for the rate limit of the target.
const MAX_RATE_WAIT: Duration = Duration::from_millis(50);
/// Calls that may run until the first response has said whether the target has a rate limit.
const UNKNOWN_RATE_CALLS: u32 = 3;

/// Position in the queue: higher ranks first, then older root requests.
///
/// Calls of older root requests come first, so that started call trees are completed before new
/// ones start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    rank: Reverse<u8>,
    root_start: TimePoint,
    sequence: u64,
}

/// Outcome of a call that held a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotOutcome {
    /// The target responded completely and without a server error.
    Responded,
    /// The target responded with a failure, cut the response off, or refused the call.
    Failed,
    /// The caller cancelled the call or its deadline passed.
    Abandoned,
}

/// Decision on a call that requests a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    Start,
    Queued(QueueKey),
    /// The queue is full.
    QueueFull,
    /// The target completes no calls and would only hold this one.
    TargetStalled,
}

/// Load of one target, as reported on responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLoad {
    pub running: u32,
    pub waiting: u32,
    /// Waiting calls of ranks above the lowest that the target has been called with.
    pub urgent_waiting: u32,
    /// Maximum number of running calls.
    pub limit: u32,
    /// Mean service time.
    pub service_time: Duration,
    /// Moving average of the share of calls that the target failed.
    pub failure_rate: f64,
    pub is_stalled: bool,
    /// Calls per second that the target takes from all callers together, if it names a limit.
    pub rate_limit: Option<f64>,
}

impl TargetLoad {
    /// Calls that may run at once in the long run, by the slots and the rate limit; it may be below
    /// one.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let slots = f64::from(self.limit.max(1));
        match self.rate_limit {
            Some(rate) if !self.service_time.is_zero() => {
                slots.min(rate * self.service_time.as_secs_f64())
            }
            _ => slots,
        }
    }
}

/// A call that is removed from the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueuedCall {
    /// It has got a slot.
    Ready(QueueKey),
    /// It can no longer meet its deadline and takes no slot.
    DeadlineTooNear(QueueKey),
    /// The calls before it take all that the rate limit of the target allows for some time.
    RateLimited(QueueKey),
}

/// Assigns the slots of one target by rank and age of the request.
///
/// An ingress sidecar has admitted the request of each call here, so no call is shed for load
/// alone: calls wait until a slot is free, and the measured pressure makes the ingress sidecars
/// admit fewer requests.
#[derive(Clone, Debug)]
pub struct SlotScheduler {
    limit: u32,
    running: u32,
    waiting: BTreeMap<QueueKey, TimePoint>,
    urgent_waiting: u32,
    lowest_rank: u8,
    sequence: u64,
    pressure: f64,
    pressure_updated_at: TimePoint,
    mean_service_seconds: f64,
    failure_rate: f64,
    last_completion: TimePoint,
    last_stall_probe: TimePoint,
    /// Rate limit that the target has named last.
    rate: Option<RateBucket>,
    /// See [`Self::is_rate_unknown`].
    is_rate_unknown: bool,
}

impl SlotScheduler {
    #[must_use]
    pub fn new(slots: u32, now: TimePoint) -> Self {
        Self {
            limit: concurrency_limit(slots),
            running: 0,
            waiting: BTreeMap::new(),
            urgent_waiting: 0,
            lowest_rank: u8::MAX,
            sequence: 0,
            pressure: 0.0,
            pressure_updated_at: now,
            mean_service_seconds: 0.0,
            failure_rate: 0.0,
            last_completion: now,
            last_stall_probe: now,
            rate: None,
            is_rate_unknown: false,
        }
    }

    /// Lets few calls run until [`Self::record_rate`]: the target may have named a rate limit
    /// before the sidecar started.
    #[must_use]
    pub fn with_unknown_rate(mut self) -> Self {
        self.is_rate_unknown = true;
        self
    }

    /// Applies what a response says of the target's rate limit.
    pub fn record_rate(&mut self, now: TimePoint, statement: RateStatement) {
        self.is_rate_unknown = false;
        match (statement, &mut self.rate) {
            (RateStatement::Limit(limit), Some(bucket)) => bucket.set_limit(now, limit),
            (RateStatement::Limit(limit), rate) => *rate = Some(RateBucket::new(now, limit)),
            (RateStatement::Unlimited, rate) => *rate = None,
            (RateStatement::Malformed, _) => {}
        }
    }

    /// Whether no response has said yet if the target has a rate limit.
    #[must_use]
    pub fn is_rate_unknown(&self) -> bool {
        self.is_rate_unknown
    }

    /// Calls per second that the target gets at most; `None` without a limit.
    #[must_use]
    pub fn rate_limit(&self) -> Option<f64> {
        self.rate.as_ref().map(RateBucket::rate)
    }

    pub fn set_slots(&mut self, slots: u32) {
        self.limit = concurrency_limit(slots);
    }

    /// Requests a slot; a queued call is started by [`Self::pop_ready`].
    pub fn request(
        &mut self,
        now: TimePoint,
        rank: u8,
        root_start: TimePoint,
        deadline: TimePoint,
    ) -> SlotDecision {
        self.update_pressure(now);
        self.note_rank(rank);
        if self.is_stalled(now) {
            if now.since(self.last_stall_probe) < STALL_PROBE_INTERVAL {
                return SlotDecision::TargetStalled;
            }
            self.last_stall_probe = now;
        } else if self.running == 0 {
            self.last_completion = now;
        }
        if self.waiting.is_empty() && self.try_start(now) {
            return SlotDecision::Start;
        }
        if self.waiting.len() >= self.limit as usize * MAX_QUEUED_PER_SLOT {
            return SlotDecision::QueueFull;
        }
        self.sequence += 1;
        let key = QueueKey {
            rank: Reverse(rank),
            root_start,
            sequence: self.sequence,
        };
        self.waiting.insert(key, deadline);
        self.urgent_waiting += u32::from(rank > self.lowest_rank);
        SlotDecision::Queued(key)
    }

    /// Lowers the lowest rank; calls that wait with the previous one are urgent then.
    fn note_rank(&mut self, rank: u8) {
        if rank < self.lowest_rank {
            self.lowest_rank = rank;
            self.urgent_waiting = waiting_count(&self.waiting);
        }
    }

    fn remove_waiting(&mut self, key: &QueueKey) -> Option<TimePoint> {
        let deadline = self.waiting.remove(key)?;
        self.urgent_waiting -= u32::from(key.rank.0 > self.lowest_rank);
        Some(deadline)
    }

    /// Takes a slot, and a token of the rate limit, if both are free.
    fn try_start(&mut self, now: TimePoint) -> bool {
        let limit = if self.is_rate_unknown {
            self.limit.min(UNKNOWN_RATE_CALLS)
        } else {
            self.limit
        };
        let rate = &mut self.rate;
        let can_start =
            self.running < limit && rate.as_mut().is_none_or(|bucket| bucket.try_take(now));
        self.running += u32::from(can_start);
        can_start
    }

    /// Removes the next queued call that starts now or has to be refused.
    pub fn pop_ready(&mut self, now: TimePoint) -> Option<QueuedCall> {
        self.update_pressure(now);
        if self.is_rate_queue_exceeded() {
            let key = *self.waiting.last_key_value()?.0;
            self.remove_waiting(&key)?;
            return Some(QueuedCall::RateLimited(key));
        }
        if self.running >= self.limit {
            return None;
        }
        let (key, deadline) = self.waiting.first_key_value()?;
        let key = *key;
        let min_time = Duration::from_secs_f64(self.mean_service_seconds * MIN_SERVICE_TIME_SHARE);
        let can_meet_deadline = now + min_time < *deadline;
        if can_meet_deadline && !self.try_start(now) {
            return None;
        }
        self.remove_waiting(&key)?;
        Some(if can_meet_deadline {
            QueuedCall::Ready(key)
        } else {
            QueuedCall::DeadlineTooNear(key)
        })
    }

    /// Whether the last queued call would wait too long for the rate limit.
    fn is_rate_queue_exceeded(&self) -> bool {
        self.rate.as_ref().is_some_and(|bucket| {
            let max_waiting = bucket.rate() * MAX_RATE_WAIT.as_secs_f64();
            f64::from(waiting_count(&self.waiting)) > max_waiting
        })
    }

    /// Removes a queued call; false if it is no longer queued.
    pub fn cancel(&mut self, now: TimePoint, key: &QueueKey) -> bool {
        self.update_pressure(now);
        self.remove_waiting(key).is_some()
    }

    /// Records the end of a running call and frees its slot.
    pub fn finish(&mut self, now: TimePoint, started_at: TimePoint, outcome: SlotOutcome) {
        self.update_pressure(now);
        self.running = self.running.saturating_sub(1);
        if outcome == SlotOutcome::Abandoned {
            return;
        }
        self.last_completion = now;
        let failure_sample = f64::from(u8::from(outcome == SlotOutcome::Failed));
        self.failure_rate += (failure_sample - self.failure_rate) * FAILURE_SAMPLE_WEIGHT;
        if outcome == SlotOutcome::Responded {
            let seconds = now.since(started_at).as_secs_f64();
            let weight = if self.mean_service_seconds > 0.0 {
                SERVICE_TIME_SAMPLE_WEIGHT
            } else {
                1.0
            };
            self.mean_service_seconds += (seconds - self.mean_service_seconds) * weight;
        }
    }

    /// Running and queued calls divided by the concurrency limit, as a moving average.
    pub fn pressure(&mut self, now: TimePoint) -> f64 {
        self.update_pressure(now);
        self.pressure
    }

    #[must_use]
    pub fn load(&self, now: TimePoint) -> TargetLoad {
        TargetLoad {
            running: self.running,
            waiting: waiting_count(&self.waiting),
            urgent_waiting: self.urgent_waiting,
            limit: self.limit,
            service_time: Duration::from_secs_f64(self.mean_service_seconds),
            failure_rate: self.failure_rate,
            is_stalled: self.is_stalled(now),
            rate_limit: self.rate_limit(),
        }
    }

    fn is_stalled(&self, now: TimePoint) -> bool {
        let max_service_time =
            Duration::from_secs_f64(self.mean_service_seconds * STALL_SERVICE_TIMES);
        self.running > 0 && now.since(self.last_completion) > max_service_time.max(MIN_STALL_TIME)
    }

    fn update_pressure(&mut self, now: TimePoint) {
        let elapsed = now.since(self.pressure_updated_at).as_secs_f64();
        let decay = decay_factor(elapsed, PRESSURE_TIME_CONSTANT);
        let waiting = waiting_count(&self.waiting);
        let current = f64::from(self.running.saturating_add(waiting)) / f64::from(self.limit);
        self.pressure = self.pressure * decay + current * (1.0 - decay);
        self.pressure_updated_at = now;
    }
}

fn waiting_count(waiting: &BTreeMap<QueueKey, TimePoint>) -> u32 {
    u32::try_from(waiting.len()).unwrap_or(u32::MAX)
}

/// Concurrency limit of a target with this number of slots.
fn concurrency_limit(slots: u32) -> u32 {
    let reserved = slots.div_ceil(RESERVED_SLOT_DIVISOR);
    let reserved = reserved.min(slots / MAX_RESERVED_SLOT_DIVISOR);
    (slots - reserved).max(1)
}
