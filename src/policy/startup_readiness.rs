use {
    crate::time::TimePoint,
    std::{net::SocketAddr, time::Duration},
};

/// Peers that must have told their version before a daemon starts without the table service.
pub const STARTUP_PEER_COUNT: usize = 2;
/// Time for which a start waits for peers after the table service has answered.
///
/// A table that was restored from a backup may hold an older version than they enforce.
pub const STARTUP_PEER_WINDOW: Duration = Duration::from_secs(1);
/// Time for which a start waits for a version that it has heard of and cannot fetch.
pub const STARTUP_FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// What a daemon has learned since its start.
#[derive(Clone, Debug, Default)]
pub(super) struct StartupReadiness {
    table_responded_at: Option<TimePoint>,
    reporting_peers: Vec<SocketAddr>,
    peers_with_policy: Vec<SocketAddr>,
    other_members: usize,
}

impl StartupReadiness {
    pub(super) fn record_table_response(&mut self, now: TimePoint) {
        self.table_responded_at.get_or_insert(now);
    }

    /// Other members of the deployment.
    pub(super) fn set_other_members(&mut self, other_members: usize) {
        self.other_members = other_members;
    }

    /// A peer told its version.
    pub(super) fn record_peer_version(&mut self, peer: SocketAddr, version: u64) {
        add_peer(&mut self.reporting_peers, peer);
        if version > 0 {
            add_peer(&mut self.peers_with_policy, peer);
        }
    }

    /// Whether peers are still to be asked.
    pub(super) fn needs_peer_reports(&self) -> bool {
        self.peers_with_policy.len() < self.required_peers()
            && (self.table_responded_at.is_none()
                || self.reporting_peers.len() < self.required_peers())
    }

    /// Whether the daemon knows the version of the deployment; `version` is in force here.
    ///
    /// A peer that has only the built-in policy is no evidence unless the table service answered.
    pub(super) fn is_satisfied(&self, version: u64, now: TimePoint) -> bool {
        let has_peer_policies =
            version > 0 && self.peers_with_policy.len() >= self.required_peers();
        let has_table_response = self.table_responded_at.is_some_and(|responded_at| {
            self.reporting_peers.len() >= self.required_peers()
                || now.since(responded_at) >= STARTUP_PEER_WINDOW
        });
        has_peer_policies || has_table_response
    }

    /// All others if they are fewer; none are known before the first answer of a peer.
    fn required_peers(&self) -> usize {
        match self.other_members {
            0 => STARTUP_PEER_COUNT,
            other_members => STARTUP_PEER_COUNT.min(other_members),
        }
    }
}

fn add_peer(peers: &mut Vec<SocketAddr>, peer: SocketAddr) {
    if peers.len() < STARTUP_PEER_COUNT && !peers.contains(&peer) {
        peers.push(peer);
    }
}
