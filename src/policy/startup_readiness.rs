use {
    crate::time::TimePoint,
    std::{net::SocketAddr, time::Duration},
};

/// Peers whose version must be known before a daemon becomes ready without the table service.
pub const STARTUP_PEER_COUNT: usize = 2;
/// Time for which a starting daemon waits for peers after the table service has responded.
///
/// A table restored from a backup may hold an older version than the peers enforce.
pub const STARTUP_PEER_WINDOW: Duration = Duration::from_secs(1);
/// The same while the member table lists other daemons. They may live and still take longer to
/// respond, for example on a busy VM.
pub const STARTUP_LISTED_PEER_WINDOW: Duration = Duration::from_secs(10);
/// Time for which a starting daemon waits for a reported version that it cannot fetch.
pub const STARTUP_FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Decides whether a starting daemon knows the version in force in the deployment.
#[derive(Clone, Debug, Default)]
pub(super) struct StartupReadiness {
    table_responded_at: Option<TimePoint>,
    reporting_peers: Vec<SocketAddr>,
    peers_with_policy: Vec<SocketAddr>,
    other_members: usize,
    listed_members: usize,
}

impl StartupReadiness {
    pub(super) fn record_table_response(&mut self, now: TimePoint) {
        self.table_responded_at.get_or_insert(now);
    }

    /// Sets the number of other members of the deployment.
    pub(super) fn set_other_members(&mut self, other_members: usize) {
        self.other_members = other_members;
    }

    /// Sets the number of other daemons that the member table lists.
    pub(super) fn set_listed_members(&mut self, listed_members: usize) {
        self.listed_members = listed_members;
    }

    /// Records the version of a peer; version 0 is the built-in policy.
    pub(super) fn record_peer_version(&mut self, peer: SocketAddr, version: u64) {
        add_peer(&mut self.reporting_peers, peer);
        if version > 0 {
            add_peer(&mut self.peers_with_policy, peer);
        }
    }

    /// Whether the versions of more peers are needed.
    pub(super) fn needs_peer_reports(&self) -> bool {
        self.peers_with_policy.len() < self.required_peers()
            && (self.table_responded_at.is_none()
                || self.reporting_peers.len() < self.required_peers())
    }

    /// Whether the daemon knows the version in force in the deployment.
    ///
    /// `version` is in force at this daemon. Peers that have only the built-in policy count only
    /// after the table service has responded.
    pub(super) fn is_satisfied(&self, version: u64, now: TimePoint) -> bool {
        let has_peer_policies =
            version > 0 && self.peers_with_policy.len() >= self.required_peers();
        let has_table_response = self.table_responded_at.is_some_and(|responded_at| {
            self.reporting_peers.len() >= self.required_peers()
                || now.since(responded_at) >= self.peer_window()
        });
        has_peer_policies || has_table_response
    }

    /// Time for which the versions of peers are waited for after the table service has responded.
    fn peer_window(&self) -> Duration {
        if self.listed_members > 0 {
            STARTUP_LISTED_PEER_WINDOW
        } else {
            STARTUP_PEER_WINDOW
        }
    }

    /// Number of peers required: [`STARTUP_PEER_COUNT`], or all other members if they are fewer.
    ///
    /// The other members are unknown, and thus 0, until a peer has responded.
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
