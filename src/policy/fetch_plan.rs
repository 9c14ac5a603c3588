use {
    super::{PeerReport, VersionReport},
    crate::time::TimePoint,
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
};

/// Peers that tell to have the wanted version and are kept to fetch from.
const MAX_HOLDERS: usize = 16;
/// First pause after a peer was asked in vain; it doubles.
const FETCH_PAUSE: Duration = Duration::from_millis(100);
const MAX_FETCH_PAUSE: Duration = Duration::from_secs(4);

/// A fetch from one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PolicyFetch {
    /// Mesh address.
    pub peer: SocketAddr,
    /// What the peer tells to have; absent if it is asked on the chance.
    pub expected: Option<VersionReport>,
}

/// Which peer to fetch from next: those that tell to have the wanted version, then any member.
///
/// Gossip tells a version once, so it stays wanted until it is in force.
#[derive(Clone, Debug)]
pub(super) struct FetchPlan {
    wanted: Option<VersionReport>,
    wanted_since: TimePoint,
    holders: VecDeque<SocketAddr>,
    peers: Vec<SocketAddr>,
    next_peer: usize,
    running: Option<PolicyFetch>,
    pause: Duration,
    rest_until: TimePoint,
}

impl FetchPlan {
    pub(super) const fn new() -> Self {
        Self {
            wanted: None,
            wanted_since: TimePoint::ORIGIN,
            holders: VecDeque::new(),
            peers: Vec::new(),
            next_peer: 0,
            running: None,
            pause: FETCH_PAUSE,
            rest_until: TimePoint::ORIGIN,
        }
    }

    /// The highest version that was heard of and is not in force, and since when.
    pub(super) fn wanted(&self) -> Option<(VersionReport, TimePoint)> {
        self.wanted.map(|wanted| (wanted, self.wanted_since))
    }

    pub(super) fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.peers = peers;
    }

    /// Wants a version that a peer has, if none higher is wanted.
    pub(super) fn want(&mut self, heard: PeerReport, now: TimePoint) {
        let wanted = self.wanted.map_or(0, |wanted| wanted.version);
        if heard.report.version < wanted {
            return;
        }
        if heard.report.version > wanted {
            self.wanted = Some(heard.report);
            self.wanted_since = now;
            self.holders.clear();
            self.pause = FETCH_PAUSE;
            self.rest_until = now;
        }
        self.holders.retain(|holder| *holder != heard.peer);
        if self.holders.len() == MAX_HOLDERS {
            self.holders.pop_front();
        }
        self.holders.push_back(heard.peer);
    }

    /// Drops what is wanted once `version` is in force.
    pub(super) fn enforced(&mut self, version: u64) {
        if self.wanted.is_some_and(|wanted| wanted.version <= version) {
            self.wanted = None;
            self.holders.clear();
        }
    }

    /// Begins a fetch, unless one runs; any member is asked only if `is_curious` or in want.
    pub(super) fn begin(&mut self, now: TimePoint, is_curious: bool) -> Option<PolicyFetch> {
        if self.running.is_some() {
            return None;
        }
        self.running = self.next_holder().or_else(|| {
            let is_due = is_curious || self.wanted.is_some();
            is_due.then(|| self.next_member(now)).flatten()
        });
        self.running
    }

    /// Ends the fetch that runs.
    pub(super) fn end(&mut self) -> Option<PolicyFetch> {
        self.running.take()
    }

    fn next_holder(&mut self) -> Option<PolicyFetch> {
        let expected = self.wanted;
        let peer = self.holders.pop_back()?;
        Some(PolicyFetch { peer, expected })
    }

    fn next_member(&mut self, now: TimePoint) -> Option<PolicyFetch> {
        if now < self.rest_until || self.peers.is_empty() {
            return None;
        }
        let peer = self.peers[self.next_peer % self.peers.len()];
        self.next_peer = self.next_peer.wrapping_add(1);
        self.rest_until = now + self.pause;
        self.pause = MAX_FETCH_PAUSE.min(self.pause * 2);
        Some(PolicyFetch {
            peer,
            expected: None,
        })
    }
}
