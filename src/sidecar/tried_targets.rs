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
    /// The target may have run the call.
    possibly_run: Vec<SocketAddr>,
}

impl TriedTargets {
    /// Records the outcome of an attempt at the target of `peer`.
    pub fn record(&mut self, peer: SocketAddr, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::NotSent | AttemptOutcome::NoRetries => self.undelivered.push(peer),
            AttemptOutcome::Shed if self.refused.contains(&peer) => {}
            AttemptOutcome::Shed => self.refused.push(peer),
            AttemptOutcome::Unknown | AttemptOutcome::TargetError => {
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
        let was_tried = [&self.undelivered, &self.refused, &self.possibly_run]
            .into_iter()
            .any(|peers| peers.contains(&peer));
        !was_tried && u32::try_from(delivered).is_ok_and(|delivered| delivered < max_targets)
    }

    /// Whether the call may be sent to the target of `peer` again after it has refused the call.
    #[must_use]
    pub fn allows_retry(&self, peer: SocketAddr) -> bool {
        self.refused.contains(&peer) && !self.undelivered.contains(&peer)
    }
}
