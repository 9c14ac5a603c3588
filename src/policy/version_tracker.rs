use {
    super::{ActivePolicy, PolicyHash, VersionedPolicy},
    crate::{jsonc::FieldError, time::TimePoint},
    std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration},
};

/// Peers that must have told their version before a daemon starts without the table service.
pub const START_PEERS: usize = 2;
/// Time for which a start waits for a version that it has heard of and cannot fetch.
pub const START_PATIENCE: Duration = Duration::from_secs(10);

/// Peers with a higher version that are kept to fetch from.
const MAX_REPORTS: usize = 16;

/// Decides which version of the policy is in force: only ever a higher one.
#[derive(Clone, Debug)]
pub struct VersionTracker {
    current: Arc<ActivePolicy>,
    reports: VecDeque<PeerReport>,
    fetch: Option<PeerReport>,
    clash: Option<VersionReport>,
    start: StartEvidence,
}

/// A version and its hash, as another place tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionReport {
    pub version: u64,
    pub hash: PolicyHash,
}

/// A version that a peer tells to have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// Mesh address.
    pub peer: SocketAddr,
    pub report: VersionReport,
}

/// What became of a policy that was offered.
#[derive(Clone, Debug)]
pub enum OfferVerdict {
    /// It is in force from now on.
    Enforced(Arc<ActivePolicy>),
    /// It is in force already.
    Same,
    /// A higher version is in force.
    Older,
    /// Another document has the same version; the one in force stays.
    HashClash(VersionReport),
    /// Its values are out of bounds; the one in force stays.
    Invalid(Vec<FieldError>),
}

#[derive(Clone, Debug, Default)]
struct StartEvidence {
    has_table_answer: bool,
    peers: Vec<SocketAddr>,
    members: usize,
    highest: u64,
    highest_since: TimePoint,
    is_ready: bool,
}

impl VersionTracker {
    /// Starts from the built-in policy.
    #[must_use]
    pub fn new() -> Self {
        Self {
            current: Arc::new(ActivePolicy::initial()),
            reports: VecDeque::new(),
            fetch: None,
            clash: None,
            start: StartEvidence::default(),
        }
    }

    /// The policy in force.
    #[must_use]
    pub const fn current(&self) -> &Arc<ActivePolicy> {
        &self.current
    }

    /// Takes in a policy from the table service, a peer or an operator.
    pub fn offer(&mut self, policy: VersionedPolicy) -> OfferVerdict {
        let current = &self.current;
        if policy.version < current.version {
            return OfferVerdict::Older;
        }
        if policy.version == current.version {
            let hash = policy.hash();
            let report = VersionReport {
                version: policy.version,
                hash,
            };
            return if hash == current.hash {
                OfferVerdict::Same
            } else {
                OfferVerdict::HashClash(report)
            };
        }
        match ActivePolicy::compile(policy) {
            Ok(policy) => self.enforce(policy),
            Err(errors) => OfferVerdict::Invalid(errors),
        }
    }

    fn enforce(&mut self, policy: ActivePolicy) -> OfferVerdict {
        let version = policy.version;
        self.current = Arc::new(policy);
        self.reports.retain(|known| known.report.version > version);
        OfferVerdict::Enforced(Arc::clone(&self.current))
    }

    /// Takes in the version that a peer has; returns a clash the first time that it is seen.
    pub fn hear(&mut self, heard: PeerReport, now: TimePoint) -> Option<VersionReport> {
        self.start.hear(heard, now);
        let report = heard.report;
        if report.version > self.current.version {
            self.remember(heard);
        }
        let is_same = report.version == self.current.version && report.hash == self.current.hash;
        if report.version != self.current.version || is_same || self.clash == Some(report) {
            return None;
        }
        self.clash = Some(report);
        self.clash
    }

    fn remember(&mut self, heard: PeerReport) {
        self.reports.retain(|known| known.peer != heard.peer);
        if self.reports.len() == MAX_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back(heard);
    }

    /// The peer to fetch from next, of those with the highest version; `None` while a fetch runs.
    pub fn begin_fetch(&mut self) -> Option<PeerReport> {
        if self.fetch.is_some() {
            return None;
        }
        let best = self.reports.iter().max_by_key(|known| known.report.version);
        self.fetch = best.copied();
        self.fetch
    }

    /// Ends the fetch that runs; a failed peer is asked again once it is heard again.
    ///
    /// A document that does not have the hash that its peer told is not applied.
    pub fn end_fetch(&mut self, fetched: Option<VersionedPolicy>) -> Option<OfferVerdict> {
        let asked = self.fetch.take()?;
        self.reports.retain(|known| known.peer != asked.peer);
        let policy = fetched?;
        let report = VersionReport {
            version: policy.version,
            hash: policy.hash(),
        };
        let is_clash = report.version == asked.report.version && report.hash != asked.report.hash;
        if is_clash {
            return Some(OfferVerdict::HashClash(report));
        }
        Some(self.offer(policy))
    }

    /// The table service answered, with a policy or without one.
    pub fn note_table_answer(&mut self) {
        self.start.has_table_answer = true;
    }

    /// Members of the deployment, this one included.
    pub fn set_members(&mut self, members: usize) {
        self.start.members = members;
    }

    /// Whether the daemon knows enough to take work; once true it stays so.
    ///
    /// Without the table service it needs a policy that was accepted at some time, and the
    /// versions of [`START_PEERS`] peers, or of all others if they are fewer.
    pub fn is_ready(&mut self, now: TimePoint) -> bool {
        let start = &self.start;
        let is_current = self.current.version >= start.highest
            || now.since(start.highest_since) >= START_PATIENCE;
        let others = start.members.saturating_sub(1);
        let needed = START_PEERS.min(others).max(1);
        let has_peers = self.current.version > 0 && start.peers.len() >= needed;
        let is_known = start.has_table_answer || has_peers;
        self.start.is_ready |= is_current && is_known;
        self.start.is_ready
    }
}

impl Default for VersionTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl StartEvidence {
    /// A peer that has only the built-in policy is no evidence.
    fn hear(&mut self, heard: PeerReport, now: TimePoint) {
        if self.is_ready || heard.report.version == 0 {
            return;
        }
        if self.peers.len() < START_PEERS && !self.peers.contains(&heard.peer) {
            self.peers.push(heard.peer);
        }
        if heard.report.version > self.highest {
            self.highest = heard.report.version;
            self.highest_since = now;
        }
    }
}
