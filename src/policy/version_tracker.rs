use {
    super::{
        ActivePolicy, PolicyFetch, PolicyHash, START_PATIENCE, VersionedPolicy,
        fetch_plan::FetchPlan, start_evidence::StartEvidence,
    },
    crate::{jsonc::FieldError, time::TimePoint},
    std::{net::SocketAddr, sync::Arc},
};

/// Decides which version of the policy is in force: only ever a higher one.
#[derive(Clone, Debug)]
pub struct VersionTracker {
    current: Arc<ActivePolicy>,
    plan: FetchPlan,
    clash: Option<VersionReport>,
    start: StartEvidence,
    is_ready: bool,
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

impl VersionTracker {
    /// Starts from the built-in policy.
    #[must_use]
    pub fn new() -> Self {
        Self {
            current: Arc::new(ActivePolicy::initial()),
            plan: FetchPlan::new(),
            clash: None,
            start: StartEvidence::default(),
            is_ready: false,
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
            let report = VersionReport::of(&policy);
            return if report.hash == current.hash {
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
        self.plan.enforced(policy.version);
        self.current = Arc::new(policy);
        OfferVerdict::Enforced(Arc::clone(&self.current))
    }

    /// Takes in the version that a peer has; returns a clash the first time that it is seen.
    pub fn hear(&mut self, heard: PeerReport, now: TimePoint) -> Option<VersionReport> {
        let report = heard.report;
        self.start.note_peer(heard.peer, report.version);
        if report.version > self.current.version {
            self.plan.want(heard, now);
        }
        let is_same = report.version == self.current.version && report.hash == self.current.hash;
        if report.version != self.current.version || is_same || self.clash == Some(report) {
            return None;
        }
        self.clash = Some(report);
        self.clash
    }

    /// Begins a fetch from a peer if there is cause; `None` while one runs.
    pub fn begin_fetch(&mut self, now: TimePoint) -> Option<PolicyFetch> {
        let is_curious = !self.is_ready && self.start.needs_peers();
        self.plan.begin(now, is_curious)
    }

    /// Ends the fetch that runs.
    ///
    /// A document that does not have the hash that was told for its version is not applied.
    pub fn end_fetch(&mut self, fetched: Option<VersionedPolicy>) -> Option<OfferVerdict> {
        let fetch = self.plan.end()?;
        let policy = fetched?;
        self.start.note_peer(fetch.peer, policy.version);
        let wanted = self.plan.wanted().map(|(wanted, _)| wanted);
        let report = VersionReport::of(&policy);
        let is_clash = [fetch.expected, wanted]
            .iter()
            .flatten()
            .any(|told| told.version == report.version && told.hash != report.hash);
        if is_clash {
            return Some(OfferVerdict::HashClash(report));
        }
        Some(self.offer(policy))
    }

    /// The table service answered, with a policy or without one.
    pub fn note_table_answer(&mut self, now: TimePoint) {
        self.start.note_table_answer(now);
    }

    /// Mesh addresses of some other members, `others` in all.
    pub fn set_peers(&mut self, peers: Vec<SocketAddr>, others: usize) {
        self.plan.set_peers(peers);
        self.start.set_others(others);
    }

    /// Whether the daemon knows enough to take work; once true it stays so.
    pub fn is_ready(&mut self, now: TimePoint) -> bool {
        let is_patient = self
            .plan
            .wanted()
            .is_some_and(|(_, since)| now.since(since) < START_PATIENCE);
        self.is_ready |= !is_patient && self.start.is_enough(self.current.version, now);
        self.is_ready
    }
}

impl VersionReport {
    fn of(policy: &VersionedPolicy) -> Self {
        Self {
            version: policy.version,
            hash: policy.hash(),
        }
    }
}

impl Default for VersionTracker {
    fn default() -> Self {
        Self::new()
    }
}
