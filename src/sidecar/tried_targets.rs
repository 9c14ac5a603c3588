use {super::AttemptOutcome, std::net::SocketAddr};

/// Targets that one call was offered to, and what each may still get of it.
///
/// A call reaches at most as many targets as its route allows. One that refused it unrun may be
/// asked again, which is all that is left where every target refuses a part of what it gets.
#[derive(Clone, Debug, Default)]
pub struct TriedTargets {
    /// Did not take the call; it did not reach the target.
    undelivered: Vec<SocketAddr>,
    /// Refused the call unrun.
    refused: Vec<SocketAddr>,
    /// May have run the call.
    possibly_run: Vec<SocketAddr>,
}

impl TriedTargets {
    /// Takes the end of an offer to the target beside the sidecar at `mesh`.
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

    /// Whether the call may go to a target that it has not been offered to.
    #[must_use]
    pub fn allows_first_try(&self, peer: SocketAddr, max_targets: u32) -> bool {
        let delivered = self.refused.len() + self.possibly_run.len();
        let was_tried = [&self.undelivered, &self.refused, &self.possibly_run]
            .into_iter()
            .any(|peers| peers.contains(&peer));
        !was_tried && u32::try_from(delivered).is_ok_and(|delivered| delivered < max_targets)
    }

    /// Whether the call may go again to a target that refused it.
    #[must_use]
    pub fn allows_retry(&self, peer: SocketAddr) -> bool {
        self.refused.contains(&peer) && !self.undelivered.contains(&peer)
    }
}
