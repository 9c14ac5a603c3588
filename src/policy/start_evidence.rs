use {
    crate::time::TimePoint,
    std::{net::SocketAddr, time::Duration},
};

/// Peers that must have told their version before a daemon starts without the table service.
pub const START_PEERS: usize = 2;
/// Time for which a start waits for peers after the table service has answered.
///
/// A table that was restored from a backup may hold an older version than they enforce.
pub const START_LISTEN: Duration = Duration::from_secs(1);
/// Time for which a start waits for a version that it has heard of and cannot fetch.
pub const START_PATIENCE: Duration = Duration::from_secs(10);

/// What a daemon has learned since its start.
#[derive(Clone, Debug, Default)]
pub(super) struct StartEvidence {
    table_answer: Option<TimePoint>,
    peers: Vec<SocketAddr>,
    accepted_peers: Vec<SocketAddr>,
    others: usize,
}

impl StartEvidence {
    pub(super) fn note_table_answer(&mut self, now: TimePoint) {
        self.table_answer.get_or_insert(now);
    }

    /// Other members of the deployment.
    pub(super) fn set_others(&mut self, others: usize) {
        self.others = others;
    }

    /// A peer told its version.
    pub(super) fn note_peer(&mut self, peer: SocketAddr, version: u64) {
        note(&mut self.peers, peer);
        if version > 0 {
            note(&mut self.accepted_peers, peer);
        }
    }

    /// Whether peers are still to be asked.
    pub(super) fn needs_peers(&self) -> bool {
        self.accepted_peers.len() < self.needed()
            && (self.table_answer.is_none() || self.peers.len() < self.needed())
    }

    /// Whether the daemon knows the version of the deployment; `version` is in force here.
    ///
    /// A peer that has only the built-in policy is no evidence unless the table service answered.
    pub(super) fn is_enough(&self, version: u64, now: TimePoint) -> bool {
        let has_accepted = version > 0 && self.accepted_peers.len() >= self.needed();
        let has_table = self.table_answer.is_some_and(|answered| {
            self.peers.len() >= self.needed() || now.since(answered) >= START_LISTEN
        });
        has_accepted || has_table
    }

    /// All others if they are fewer; none are known before the first answer of a peer.
    fn needed(&self) -> usize {
        match self.others {
            0 => START_PEERS,
            others => START_PEERS.min(others),
        }
    }
}

fn note(peers: &mut Vec<SocketAddr>, peer: SocketAddr) {
    if peers.len() < START_PEERS && !peers.contains(&peer) {
        peers.push(peer);
    }
}
