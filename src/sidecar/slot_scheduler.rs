use {
    crate::time::{TimePoint, decay_factor},
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// One slot in so many is left free: a target that is nearly full works more slowly.
const RESERVED_SLOT_DIVISOR: u32 = 16;
/// Time over which pressure is averaged.
const PRESSURE_TIME_CONSTANT: Duration = Duration::from_millis(200);
/// Weight of the newest call in the mean service time.
const SERVICE_TIME_SAMPLE_WEIGHT: f64 = 0.05;
/// Weight of the newest call in the share of failures.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.05;
/// Part of the mean service time without which a call can't end before its deadline.
const MIN_SERVICE_TIME_SHARE: f64 = 0.5;
/// Calls that wait at most for each slot; more would only wait for their deadline.
const MAX_QUEUED_PER_SLOT: usize = 32;
/// Time without any ended call after which a target counts as stalled, against the mean service time.
const STALL_SERVICE_TIMES: f64 = 8.0;
const MIN_STALL_TIME: Duration = Duration::from_millis(700);
/// Time between two calls that find out whether a stalled target works again.
const STALL_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Order of waiting calls: higher ranks first, within a rank the request that came first.
///
/// Calls of an old request go before those of a young one, so that trees that have begun are
/// completed before more of them begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueueKey {
    rank: Reverse<u8>,
    root_start: TimePoint,
    sequence: u64,
}

/// How a call on the target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotOutcome {
    Answered,
    /// The target answered by a failure, broke the answer off or refused.
    Failed,
    /// The caller went away or the deadline passed.
    Abandoned,
}

/// What becomes of a call that asks for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotDecision {
    Start,
    Queued(QueueKey),
    /// As many wait as can be served.
    QueueFull,
    /// The target ends no calls; it would only hold this one.
    TargetStalled,
}

/// Load of one target, as it travels back on answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TargetLoad {
    pub running: u32,
    pub waiting: u32,
    pub limit: u32,
    pub service_time: Duration,
    /// Share of calls that the target failed of late.
    pub failure_rate: f64,
    pub is_stalled: bool,
}

/// Gives the slots of one target to the calls that matter most.
///
/// A call that reaches the guard belongs to a request that the front of the chain has admitted, so
/// the guard sheds nothing for load alone; it holds calls until a slot is free, and what it
/// measures makes the fronts admit less.
#[derive(Clone, Debug)]
pub struct SlotScheduler {
    limit: u32,
    running: u32,
    waiting: BTreeMap<QueueKey, TimePoint>,
    sequence: u64,
    pressure: f64,
    pressure_updated_at: TimePoint,
    mean_service_seconds: f64,
    failure_rate: f64,
    last_completion: TimePoint,
    last_stall_probe: TimePoint,
}

impl SlotScheduler {
    #[must_use]
    pub fn new(slots: u32, now: TimePoint) -> Self {
        Self {
            limit: concurrency_limit(slots),
            running: 0,
            waiting: BTreeMap::new(),
            sequence: 0,
            pressure: 0.0,
            pressure_updated_at: now,
            mean_service_seconds: 0.0,
            failure_rate: 0.0,
            last_completion: now,
            last_stall_probe: now,
        }
    }

    pub fn set_slots(&mut self, slots: u32) {
        self.limit = concurrency_limit(slots);
    }

    /// Asks for a slot; a call that waits is started by [`Self::next_ready`].
    pub fn request(
        &mut self,
        now: TimePoint,
        rank: u8,
        root_start: TimePoint,
        deadline: TimePoint,
    ) -> SlotDecision {
        self.update_pressure(now);
        if self.is_stalled(now) {
            if now.since(self.last_stall_probe) < STALL_PROBE_INTERVAL {
                return SlotDecision::TargetStalled;
            }
            self.last_stall_probe = now;
        } else if self.running == 0 {
            self.last_completion = now;
        }
        if self.running < self.limit && self.waiting.is_empty() {
            self.running += 1;
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
        SlotDecision::Queued(key)
    }

    /// The next waiting call that has a slot now, and whether it can still end in time.
    pub fn pop_ready(&mut self, now: TimePoint) -> Option<(QueueKey, bool)> {
        if self.running >= self.limit {
            return None;
        }
        self.update_pressure(now);
        let (key, deadline) = self.waiting.pop_first()?;
        let min_time = Duration::from_secs_f64(self.mean_service_seconds * MIN_SERVICE_TIME_SHARE);
        let can_meet_deadline = now + min_time < deadline;
        if can_meet_deadline {
            self.running += 1;
        }
        Some((key, can_meet_deadline))
    }

    /// Removes a waiting call; false if it does not wait any more.
    pub fn cancel(&mut self, now: TimePoint, key: &QueueKey) -> bool {
        self.update_pressure(now);
        self.waiting.remove(key).is_some()
    }

    /// Ends a running call.
    pub fn finish(&mut self, now: TimePoint, started_at: TimePoint, outcome: SlotOutcome) {
        self.update_pressure(now);
        self.running = self.running.saturating_sub(1);
        if outcome == SlotOutcome::Abandoned {
            return;
        }
        self.last_completion = now;
        let is_failure = f64::from(u8::from(outcome == SlotOutcome::Failed));
        self.failure_rate += (is_failure - self.failure_rate) * FAILURE_SAMPLE_WEIGHT;
        if outcome == SlotOutcome::Answered {
            let seconds = now.since(started_at).as_secs_f64();
            let weight = if self.mean_service_seconds > 0.0 {
                SERVICE_TIME_SAMPLE_WEIGHT
            } else {
                1.0
            };
            self.mean_service_seconds += (seconds - self.mean_service_seconds) * weight;
        }
    }

    /// Calls in the target and waiting for it against its limit, averaged over a short time.
    pub fn pressure(&mut self, now: TimePoint) -> f64 {
        self.update_pressure(now);
        self.pressure
    }

    #[must_use]
    pub fn load(&self, now: TimePoint) -> TargetLoad {
        TargetLoad {
            running: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            limit: self.limit,
            service_time: Duration::from_secs_f64(self.mean_service_seconds),
            failure_rate: self.failure_rate,
            is_stalled: self.is_stalled(now),
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
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let current = f64::from(self.running.saturating_add(waiting)) / f64::from(self.limit);
        self.pressure = self.pressure * decay + current * (1.0 - decay);
        self.pressure_updated_at = now;
    }
}

/// Calls at once that a target of so many slots gets.
fn concurrency_limit(slots: u32) -> u32 {
    (slots - slots / RESERVED_SLOT_DIVISOR).max(1)
}
