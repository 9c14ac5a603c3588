use {super::AttemptOutcome, std::net::SocketAddr};

/// Targets that one call has been sent to, with the outcome at each.
///
/// A call reaches at most as many targets as its route allows. A target that refused it without
/// running it may be tried again, which is the only option left when every target refuses a share
/// of its calls.
#[derive(Clone, Debug, Default)]
pub struct TriedTargets {
    /// The call did not reach the target.
    undelivered: Vec<SocketAddr>,
    /// The target refused the call without running it.
    refused: Vec<SocketAddr>,
    /// The rate limit of the target was exhausted.
    rate_limited: Vec<SocketAddr>,
    /// The target may have run the call.
    possibly_run: Vec<SocketAddr>,
}

impl TriedTargets {
    /// Records the outcome of an attempt at the target of `peer`.
    pub fn record(&mut self, peer: SocketAddr, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::NotSent
            | AttemptOutcome::NoRetries
            | AttemptOutcome::RequestRefused => self.undelivered.push(peer),
            AttemptOutcome::RateLimited => self.rate_limited.push(peer),
            AttemptOutcome::Shed if self.refused.contains(&peer) => {}
            AttemptOutcome::Shed => self.refused.push(peer),
            AttemptOutcome::Unknown
            | AttemptOutcome::TargetError
            | AttemptOutcome::TargetCrashed => {
                self.refused.retain(|refused| *refused != peer);
                self.possibly_run.push(peer);
            }
        }
    }

    /// Whether the call may be sent to the target of `peer` for the first time; it may reach at
    /// most `max_targets` targets.
    #[must_use]
    pub fn allows_first_attempt(&self, peer: SocketAddr, max_targets: u32) -> bool {
        let delivered = self.refused.len() + self.possibly_run.len();
        let tried = [
            &self.undelivered,
            &self.refused,
            &self.rate_limited,
            &self.possibly_run,
        ];
        let was_tried = tried.into_iter().any(|peers| peers.contains(&peer));
        !was_tried && u32::try_from(delivered).is_ok_and(|delivered| delivered < max_targets)
    }

    /// Whether a target has not got the call only for its rate limit.
    #[must_use]
    pub fn has_rate_limited(&self) -> bool {
        !self.rate_limited.is_empty()
    }

    /// Allows a further attempt at the targets whose rate limit was exhausted.
    pub fn clear_rate_limited(&mut self) {
        self.rate_limited.clear();
    }

    /// Whether the call may be sent to the target of `peer` again after it has refused the call.
    #[must_use]
    pub fn allows_retry(&self, peer: SocketAddr) -> bool {
        self.refused.contains(&peer) && !self.undelivered.contains(&peer)
    }
}
