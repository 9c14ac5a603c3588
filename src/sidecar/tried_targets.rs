use {super::AttemptOutcome, std::net::SocketAddr};

/// Targets that one call was offered to, and what each may still get of it.
///
/// A call reaches at most as many targets as its route allows. One that refused it unrun may be
/// asked again, which is all that is left where every target refuses a part of what it gets.
#[derive(Clone, Debug, Default)]
pub struct TriedTargets {
    /// Did not take the call; it did not reach the target.
    closed: Vec<SocketAddr>,
    /// Refused the call unrun.
    refused: Vec<SocketAddr>,
    /// May have run the call.
    ran: Vec<SocketAddr>,
}

impl TriedTargets {
    /// Takes the end of an offer to the target beside the sidecar at `mesh`.
    pub fn note(&mut self, mesh: SocketAddr, end: AttemptOutcome) {
        match end {
            AttemptOutcome::NotSent | AttemptOutcome::NoRepeats => self.closed.push(mesh),
            AttemptOutcome::Shed if self.refused.contains(&mesh) => {}
            AttemptOutcome::Shed => self.refused.push(mesh),
            AttemptOutcome::Unknown | AttemptOutcome::FailedRun => {
                self.refused.retain(|refused| *refused != mesh);
                self.ran.push(mesh);
            }
        }
    }

    /// Whether the call may go to a target that it has not been offered to.
    #[must_use]
    pub fn allows_new(&self, mesh: SocketAddr, max_targets: u32) -> bool {
        let reached = self.refused.len() + self.ran.len();
        let is_known = [&self.closed, &self.refused, &self.ran]
            .into_iter()
            .any(|meshes| meshes.contains(&mesh));
        !is_known && u32::try_from(reached).is_ok_and(|reached| reached < max_targets)
    }

    /// Whether the call may go again to a target that refused it.
    #[must_use]
    pub fn allows_again(&self, mesh: SocketAddr) -> bool {
        self.refused.contains(&mesh) && !self.closed.contains(&mesh)
    }
}
