use {
    super::target_incarnation::TargetIncarnation,
    crate::time::TimePoint,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Time for which a leaving target is remembered; it exits long before.
const MEMORY_TIME: Duration = Duration::from_secs(600);
/// Maximum number of targets that are remembered; the oldest one is dropped.
const MAX_TARGETS: usize = 4_096;

/// Targets that have said in responses that they are leaving, by the sidecar beside them.
///
/// A sidecar that restarts beside such a target learns of it from the calls of those that remember.
#[derive(Debug, Default)]
pub(crate) struct LeavingPeers {
    targets: Mutex<HashMap<SocketAddr, (TargetIncarnation, TimePoint)>>,
}

impl LeavingPeers {
    /// Records what the sidecar at `peer` says of its target; true if it is news.
    pub(crate) fn record(
        &self,
        now: TimePoint,
        peer: SocketAddr,
        incarnation: &TargetIncarnation,
    ) -> bool {
        let mut targets = self.targets();
        targets.retain(|_, (_, recorded_at)| now.since(*recorded_at) < MEMORY_TIME);
        if targets.len() >= MAX_TARGETS && !targets.contains_key(&peer) {
            let oldest = targets
                .iter()
                .min_by_key(|(_, (_, recorded_at))| *recorded_at);
            if let Some(oldest) = oldest.map(|(peer, _)| *peer) {
                targets.remove(&oldest);
            }
        }
        let previous = targets.insert(peer, (incarnation.clone(), now));
        previous.is_none_or(|(previous, _)| previous != *incarnation)
    }

    /// Last target of `peer` that was leaving.
    pub(crate) fn get(&self, peer: SocketAddr) -> Option<TargetIncarnation> {
        let targets = self.targets();
        targets
            .get(&peer)
            .map(|(incarnation, _)| incarnation.clone())
    }

    fn targets(&self) -> MutexGuard<'_, HashMap<SocketAddr, (TargetIncarnation, TimePoint)>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
