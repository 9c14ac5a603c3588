use {
    super::{ClaimLimits, ClaimRow},
    crate::time::TimePoint,
    std::{
        collections::{HashSet, VecDeque},
        time::Duration,
    },
};

/// Maximum time for which the write of a recorded response is delayed to share a transaction with a
/// claim.
const MAX_RECORDING_DELAY: Duration = Duration::from_millis(500);

/// Rows of one service that wait for a transaction. `R` receives the outcome of a row.
///
/// The queue does group commit: rows that arrive while one transaction is in flight are committed
/// by the next one. A token bucket bounds the rate of transactions, so that the batch size grows
/// with the load and the write rate does not. No caller waits for the write of a recorded
/// response, which is therefore delayed to share a transaction with the next claims.
#[derive(Debug)]
pub struct CommitQueue<R> {
    waiting: VecDeque<QueuedRow<R>>,
    is_in_flight: bool,
    /// End of the pause that was requested.
    resume_at: Option<TimePoint>,
    /// Number of waiting rows that are not recorded responses.
    claim_rows: usize,
    /// Earliest time at which the oldest waiting recorded response can have been queued.
    recording_queued_at: TimePoint,
    /// Number of transactions that may start without delay.
    tokens: f64,
    refilled_at: TimePoint,
}

/// Row with the receiver of its outcome.
#[derive(Debug)]
pub struct QueuedRow<R> {
    pub row: ClaimRow,
    pub reply: R,
}

/// Next action for a queue.
#[derive(Debug)]
pub enum QueueStep<R> {
    /// Commit these rows in one transaction, then call [`CommitQueue::on_batch_ended`].
    Commit(Vec<QueuedRow<R>>),
    /// Call [`CommitQueue::on_pause_ended`] after this time, then `step` again.
    Wait(Duration),
    Idle,
}

impl<R> CommitQueue<R> {
    #[must_use]
    pub fn new(limits: &ClaimLimits, now: TimePoint) -> Self {
        Self {
            waiting: VecDeque::new(),
            is_in_flight: false,
            resume_at: None,
            claim_rows: 0,
            recording_queued_at: now,
            tokens: f64::from(limits.commit_burst),
            refilled_at: now,
        }
    }

    /// Adds a row to the queue.
    ///
    /// # Errors
    /// The queue is full; returns the row.
    pub fn push(
        &mut self,
        row: QueuedRow<R>,
        limits: &ClaimLimits,
        now: TimePoint,
    ) -> Result<(), QueuedRow<R>> {
        if self.waiting.len() >= limits.queued_rows {
            return Err(row);
        }
        if self.waiting.is_empty() {
            self.recording_queued_at = now;
        }
        self.claim_rows += usize::from(!row.row.is_recording());
        self.waiting.push_back(row);
        Ok(())
    }

    /// Next action at `now`.
    pub fn step(&mut self, limits: &ClaimLimits, now: TimePoint) -> QueueStep<R> {
        if self.is_in_flight || self.waiting.is_empty() {
            return QueueStep::Idle;
        }
        self.refill(limits, now);
        let pause = self.pause(limits, now);
        if !pause.is_zero() {
            return self.request_pause(now, pause);
        }
        self.tokens -= 1.0;
        self.is_in_flight = true;
        QueueStep::Commit(self.pop_batch(limits.batch_rows, now))
    }

    /// Records the end of the transaction in flight.
    pub fn on_batch_ended(&mut self) {
        self.is_in_flight = false;
    }

    /// Records the end of the pause that was requested.
    pub fn on_pause_ended(&mut self) {
        self.resume_at = None;
    }

    /// Whether no row waits and no transaction is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && !self.is_in_flight
    }

    /// Time until the next transaction may start.
    fn pause(&self, limits: &ClaimLimits, now: TimePoint) -> Duration {
        if self.claim_rows == 0 {
            let due = self.recording_queued_at + MAX_RECORDING_DELAY;
            if now < due {
                return now.until(due);
            }
        }
        let missing = (1.0 - self.tokens).max(0.0);
        Duration::from_secs_f64(missing / f64::from(limits.commits_per_s.max(1)))
    }

    /// Requests a pause, unless a pause that ends no later is pending.
    fn request_pause(&mut self, now: TimePoint, pause: Duration) -> QueueStep<R> {
        let resume_at = now + pause;
        if self.resume_at.is_some_and(|earlier| earlier <= resume_at) {
            return QueueStep::Idle;
        }
        self.resume_at = Some(resume_at);
        QueueStep::Wait(pause)
    }

    fn refill(&mut self, limits: &ClaimLimits, now: TimePoint) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        let tokens = self.tokens + elapsed * f64::from(limits.commits_per_s);
        self.tokens = tokens.min(f64::from(limits.commit_burst.max(1)));
        self.refilled_at = now;
    }

    /// Removes up to `limit` rows with different keys, in order. Further rows of a key stay queued.
    fn pop_batch(&mut self, limit: usize, now: TimePoint) -> Vec<QueuedRow<R>> {
        let mut keys = HashSet::new();
        let mut batch = Vec::new();
        let mut rest = VecDeque::new();
        while let Some(queued) = self.waiting.pop_front() {
            if batch.len() < limit && keys.insert(queued.row.key.clone()) {
                batch.push(queued);
            } else {
                rest.push_back(queued);
            }
        }
        self.waiting = rest;
        let claim_rows = |queued: &&QueuedRow<R>| !queued.row.is_recording();
        self.claim_rows = self.waiting.iter().filter(claim_rows).count();
        self.recording_queued_at = now;
        batch
    }
}
