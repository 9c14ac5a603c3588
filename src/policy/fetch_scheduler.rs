use {
    super::{PeerReport, VersionReport},
    crate::time::TimePoint,
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
};

/// Maximum number of peers stored as having reported the wanted version.
const MAX_REPORTING_PEERS: usize = 16;
/// Delay after the first fetch from a fallback peer; it doubles with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(4);

/// A fetch from one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyFetch {
    /// Mesh address.
    pub peer: SocketAddr,
    /// Version that the peer reported; absent for a peer that reported none.
    pub expected: Option<VersionReport>,
}

/// Selects the peer to fetch from: first those that reported the wanted version, then any member.
///
/// Gossip reports a version only once, so a version remains wanted until it is in force.
#[derive(Clone, Debug)]
pub(super) struct FetchScheduler {
    wanted: Option<VersionReport>,
    wanted_since: TimePoint,
    reporting_peers: VecDeque<SocketAddr>,
    fallback_peers: Vec<SocketAddr>,
    next_fallback_index: usize,
    in_flight: Option<PolicyFetch>,
    retry_delay: Duration,
    next_fallback_at: TimePoint,
}

impl FetchScheduler {
    pub(super) const fn new() -> Self {
        Self {
            wanted: None,
            wanted_since: TimePoint::ORIGIN,
            reporting_peers: VecDeque::new(),
            fallback_peers: Vec::new(),
            next_fallback_index: 0,
            in_flight: None,
            retry_delay: INITIAL_RETRY_DELAY,
            next_fallback_at: TimePoint::ORIGIN,
        }
    }

    /// Returns the highest reported version that is not in force, and the time of its first report.
    pub(super) fn wanted(&self) -> Option<(VersionReport, TimePoint)> {
        self.wanted.map(|wanted| (wanted, self.wanted_since))
    }

    pub(super) fn set_fallback_peers(&mut self, fallback_peers: Vec<SocketAddr>) {
        self.fallback_peers = fallback_peers;
    }

    /// Records that a peer has a version; ignored if a higher version is wanted.
    pub(super) fn record_report(&mut self, peer_report: PeerReport, now: TimePoint) {
        let wanted = self.wanted.map_or(0, |wanted| wanted.version);
        if peer_report.report.version < wanted {
            return;
        }
        if peer_report.report.version > wanted {
            self.wanted = Some(peer_report.report);
            self.wanted_since = now;
            self.reporting_peers.clear();
            self.retry_delay = INITIAL_RETRY_DELAY;
            self.next_fallback_at = now;
        }
        self.reporting_peers
            .retain(|reporting_peer| *reporting_peer != peer_report.peer);
        if self.reporting_peers.len() == MAX_REPORTING_PEERS {
            self.reporting_peers.pop_front();
        }
        self.reporting_peers.push_back(peer_report.peer);
    }

    /// Clears the wanted version if `version`, now in force, is at least as high.
    pub(super) fn clear_enforced(&mut self, version: u64) {
        if self.wanted.is_some_and(|wanted| wanted.version <= version) {
            self.wanted = None;
            self.reporting_peers.clear();
        }
    }

    /// Starts a fetch unless one is in flight.
    ///
    /// A fallback peer is used only if a version is wanted or `needs_peer_reports` is set.
    pub(super) fn start_fetch(
        &mut self,
        now: TimePoint,
        needs_peer_reports: bool,
    ) -> Option<PolicyFetch> {
        if self.in_flight.is_some() {
            return None;
        }
        self.in_flight = self.pop_reporting_peer().or_else(|| {
            let uses_fallback = needs_peer_reports || self.wanted.is_some();
            uses_fallback
                .then(|| self.next_fallback_peer(now))
                .flatten()
        });
        self.in_flight
    }

    /// Ends the fetch in flight and returns it.
    pub(super) fn finish_fetch(&mut self) -> Option<PolicyFetch> {
        self.in_flight.take()
    }

    fn pop_reporting_peer(&mut self) -> Option<PolicyFetch> {
        let expected = self.wanted;
        let peer = self.reporting_peers.pop_back()?;
        Some(PolicyFetch { peer, expected })
    }

    fn next_fallback_peer(&mut self, now: TimePoint) -> Option<PolicyFetch> {
        if now < self.next_fallback_at || self.fallback_peers.is_empty() {
            return None;
        }
        let peer = self.fallback_peers[self.next_fallback_index % self.fallback_peers.len()];
        self.next_fallback_index = self.next_fallback_index.wrapping_add(1);
        self.next_fallback_at = now + self.retry_delay;
        self.retry_delay = MAX_RETRY_DELAY.min(self.retry_delay * 2);
        Some(PolicyFetch {
            peer,
            expected: None,
        })
    }
}
