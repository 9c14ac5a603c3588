use {
    super::{
        ActivePolicy, PolicyFetch, PolicyHash, STARTUP_FETCH_TIMEOUT, VersionedPolicy,
        fetch_scheduler::FetchScheduler, startup_readiness::StartupReadiness,
    },
    crate::{jsonc::FieldError, time::TimePoint},
    std::{net::SocketAddr, sync::Arc},
};

/// Decides which version of the policy is in force: only ever a higher one.
#[derive(Clone, Debug)]
pub struct VersionTracker {
    current: Arc<ActivePolicy>,
    scheduler: FetchScheduler,
    reported_mismatch: Option<VersionReport>,
    startup: StartupReadiness,
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
pub enum EnforceOutcome {
    /// It is in force from now on.
    Enforced(Arc<ActivePolicy>),
    /// It is in force already.
    AlreadyEnforced,
    /// A higher version is in force.
    Outdated,
    /// Another document has the same version; the one in force stays.
    HashMismatch(VersionReport),
    /// Its values are out of bounds; the one in force stays.
    Invalid(Vec<FieldError>),
}

impl VersionTracker {
    /// Starts from the built-in policy.
    #[must_use]
    pub fn new() -> Self {
        Self {
            current: Arc::new(ActivePolicy::built_in()),
            scheduler: FetchScheduler::new(),
            reported_mismatch: None,
            startup: StartupReadiness::default(),
            is_ready: false,
        }
    }

    /// The policy in force.
    #[must_use]
    pub const fn current(&self) -> &Arc<ActivePolicy> {
        &self.current
    }

    /// Takes in a policy from the table service, a peer or an operator.
    pub fn try_enforce(&mut self, policy: VersionedPolicy) -> EnforceOutcome {
        let current = &self.current;
        if policy.version < current.version {
            return EnforceOutcome::Outdated;
        }
        if policy.version == current.version {
            let report = VersionReport::of(&policy);
            return if report.hash == current.hash {
                EnforceOutcome::AlreadyEnforced
            } else {
                EnforceOutcome::HashMismatch(report)
            };
        }
        match ActivePolicy::compile(policy) {
            Ok(policy) => self.enforce(policy),
            Err(errors) => EnforceOutcome::Invalid(errors),
        }
    }

    fn enforce(&mut self, policy: ActivePolicy) -> EnforceOutcome {
        self.scheduler.clear_enforced(policy.version);
        self.current = Arc::new(policy);
        EnforceOutcome::Enforced(Arc::clone(&self.current))
    }

    /// Takes in the version that a peer has; returns a clash the first time that it is seen.
    pub fn record_report(
        &mut self,
        peer_report: PeerReport,
        now: TimePoint,
    ) -> Option<VersionReport> {
        let report = peer_report.report;
        self.startup
            .record_peer_version(peer_report.peer, report.version);
        if report.version > self.current.version {
            self.scheduler.record_report(peer_report, now);
        }
        let is_enforced =
            report.version == self.current.version && report.hash == self.current.hash;
        if report.version != self.current.version
            || is_enforced
            || self.reported_mismatch == Some(report)
        {
            return None;
        }
        self.reported_mismatch = Some(report);
        self.reported_mismatch
    }

    /// Begins a fetch from a peer if there is cause; `None` while one runs.
    pub fn start_fetch(&mut self, now: TimePoint) -> Option<PolicyFetch> {
        let needs_any_peer = !self.is_ready && self.startup.needs_peer_reports();
        self.scheduler.start_fetch(now, needs_any_peer)
    }

    /// Ends the fetch that runs.
    ///
    /// A document that does not have the hash that was told for its version is not applied.
    pub fn finish_fetch(&mut self, fetched: Option<VersionedPolicy>) -> Option<EnforceOutcome> {
        let fetch = self.scheduler.finish_fetch()?;
        let policy = fetched?;
        self.startup.record_peer_version(fetch.peer, policy.version);
        let wanted = self.scheduler.wanted().map(|(wanted, _)| wanted);
        let report = VersionReport::of(&policy);
        let is_mismatch = [fetch.expected, wanted]
            .iter()
            .flatten()
            .any(|known| known.version == report.version && known.hash != report.hash);
        if is_mismatch {
            return Some(EnforceOutcome::HashMismatch(report));
        }
        Some(self.try_enforce(policy))
    }

    /// The table service answered, with a policy or without one.
    pub fn record_table_response(&mut self, now: TimePoint) {
        self.startup.record_table_response(now);
    }

    /// Mesh addresses of some other members, `other_members` in all.
    pub fn set_peers(&mut self, peers: Vec<SocketAddr>, other_members: usize) {
        self.scheduler.set_fallback_peers(peers);
        self.startup.set_other_members(other_members);
    }

    /// Whether the daemon knows enough to take work; once true it stays so.
    pub fn check_readiness(&mut self, now: TimePoint) -> bool {
        let waits_for_fetch = self
            .scheduler
            .wanted()
            .is_some_and(|(_, since)| now.since(since) < STARTUP_FETCH_TIMEOUT);
        self.is_ready |= !waits_for_fetch && self.startup.is_satisfied(self.current.version, now);
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
