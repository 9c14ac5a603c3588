use {
    crate::time::TimePoint,
    rand::{Rng, RngExt},
    std::{ops::Range, time::Duration},
};

/// Age from which a newer proof is requested from another sidecar.
const PEER_AGE: Duration = Duration::from_secs(1);
/// Interval between these requests.
const PEER_INTERVAL: Duration = Duration::from_millis(200);
/// Age from which some sidecar asks the store on behalf of all.
const STORE_AGE: Duration = Duration::from_millis(1_300);
/// Sidecars of the whole fleet that ask the store in one step then, in the mean.
const ASKING_SIDECARS: f64 = 0.3;
/// Age from which a sidecar asks the store for itself, since it learns of no other's proof.
const ALONE_AGE: Duration = Duration::from_millis(2_500);
/// Bounds of the delay between attempts to ask the store.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);
/// Random factors of this delay.
const RETRY_JITTER: Range<f64> = 0.7..1.3;

/// What a sidecar does next for its proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofStep {
    Wait,
    AskPeer,
    AskStore,
}

/// Decides when to ask other sidecars and the store for a newer proof of the configuration.
///
/// Proofs spread between the sidecars much faster than they age, so one answer of the store serves
/// all of them: of a fleet of any size, a few sidecars a second ask the store.
#[derive(Clone, Copy, Debug)]
pub struct ProofSchedule {
    peer_asked_at: Option<TimePoint>,
    store_retry_at: TimePoint,
    retry_delay: Duration,
}

impl Default for ProofSchedule {
    fn default() -> Self {
        Self {
            peer_asked_at: None,
            store_retry_at: TimePoint::ORIGIN,
            retry_delay: MIN_RETRY_DELAY,
        }
    }
}

impl ProofSchedule {
    /// Time between two steps.
    pub const STEP_INTERVAL: Duration = Duration::from_millis(100);

    /// Chooses the step for a proof of this age in a fleet of `members` sidecars.
    pub fn next_step<R: Rng>(
        &mut self,
        now: TimePoint,
        age: Option<Duration>,
        members: usize,
        rng: &mut R,
    ) -> ProofStep {
        let age = age.unwrap_or(Duration::MAX);
        let members = f64::from(u32::try_from(members.max(1)).unwrap_or(u32::MAX));
        let asks_store = age >= ALONE_AGE
            || age >= STORE_AGE && rng.random_bool((ASKING_SIDECARS / members).min(1.0));
        if asks_store && now >= self.store_retry_at {
            return ProofStep::AskStore;
        }
        let may_ask_peer = self
            .peer_asked_at
            .is_none_or(|asked_at| now.since(asked_at) >= PEER_INTERVAL);
        if age >= PEER_AGE && may_ask_peer {
            self.peer_asked_at = Some(now);
            return ProofStep::AskPeer;
        }
        ProofStep::Wait
    }

    /// Records whether the store has answered.
    pub fn record_store<R: Rng>(&mut self, now: TimePoint, has_answered: bool, rng: &mut R) {
        if has_answered {
            self.retry_delay = MIN_RETRY_DELAY;
            self.store_retry_at = now;
        } else {
            let jitter = rng.random_range(RETRY_JITTER);
            self.store_retry_at = now + self.retry_delay.mul_f64(jitter);
            self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        }
    }
}
