use {
    super::{
        ActivePolicy, PolicyFetch, PolicyHash, STARTUP_FETCH_TIMEOUT, VersionedPolicy,
        fetch_scheduler::FetchScheduler, startup_readiness::StartupReadiness,
    },
    crate::{jsonc::FieldError, time::TimePoint},
    std::{net::SocketAddr, sync::Arc},
};

/// Selects the policy version in force, which never decreases.
#[derive(Clone, Debug)]
pub struct VersionTracker {
    current: Arc<ActivePolicy>,
    scheduler: FetchScheduler,
    reported_mismatch: Option<VersionReport>,
    readiness: StartupReadiness,
    is_ready: bool,
}

/// A policy version and the hash of its document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionReport {
    pub version: u64,
    pub hash: PolicyHash,
}

/// The version that a peer reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// Mesh address.
    pub peer: SocketAddr,
    pub report: VersionReport,
}

/// Result of an attempt to enforce a policy.
#[derive(Clone, Debug)]
pub enum EnforceOutcome {
    /// The policy is now in force.
    Enforced(Arc<ActivePolicy>),
    /// The policy was already in force.
    AlreadyEnforced,
    /// A higher version is in force.
    Outdated,
    /// A different document has the same version; the one in force remains.
    HashMismatch(VersionReport),
    /// The document has invalid values; the policy in force remains.
    Invalid(Vec<FieldError>),
}

impl VersionTracker {
    /// Creates a tracker with the built-in policy in force.
    #[must_use]
    pub fn new() -> Self {
        Self {
            current: Arc::new(ActivePolicy::built_in()),
            scheduler: FetchScheduler::new(),
            reported_mismatch: None,
            readiness: StartupReadiness::default(),
            is_ready: false,
        }
    }

    /// Returns the policy in force.
    #[must_use]
    pub const fn current(&self) -> &Arc<ActivePolicy> {
        &self.current
    }

    /// Enforces a policy of the table service, a peer or an operator if its version is higher.
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

    /// Records the version of a peer.
    ///
    /// Returns the report if its hash differs from the hash in force for the same version. Repeated
    /// reports of the same mismatch return `None`.
    pub fn record_report(
        &mut self,
        peer_report: PeerReport,
        now: TimePoint,
    ) -> Option<VersionReport> {
        let report = peer_report.report;
        self.readiness
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

    /// Starts a fetch if a version is wanted or if reports of peers are required before the daemon
    /// is ready; `None` while one is in flight.
    pub fn start_fetch(&mut self, now: TimePoint) -> Option<PolicyFetch> {
        let needs_peer_reports = !self.is_ready && self.readiness.needs_peer_reports();
        self.scheduler.start_fetch(now, needs_peer_reports)
    }

    /// Ends the fetch in flight.
    ///
    /// A document whose hash differs from the one reported for its version is not enforced.
    pub fn finish_fetch(&mut self, fetched: Option<VersionedPolicy>) -> Option<EnforceOutcome> {
        let fetch = self.scheduler.finish_fetch()?;
        let policy = fetched?;
        self.readiness
            .record_peer_version(fetch.peer, policy.version);
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

    /// Records that the table service responded, with or without a policy.
    pub fn record_table_response(&mut self, now: TimePoint) {
        self.readiness.record_table_response(now);
    }

    /// Sets the mesh addresses of some other members, and the number of all other members.
    pub fn set_peers(&mut self, peers: Vec<SocketAddr>, other_members: usize) {
        self.scheduler.set_fallback_peers(peers);
        self.readiness.set_other_members(other_members);
    }

    /// Sets the number of other daemons that the member table lists.
    pub fn set_listed_members(&mut self, listed_members: usize) {
        self.readiness.set_listed_members(listed_members);
    }

    /// Whether the daemon knows enough to accept calls; once true, it remains true.
    pub fn check_readiness(&mut self, now: TimePoint) -> bool {
        let waits_for_fetch = self
            .scheduler
            .wanted()
            .is_some_and(|(_, since)| now.since(since) < STARTUP_FETCH_TIMEOUT);
        self.is_ready |= !waits_for_fetch && self.readiness.is_satisfied(self.current.version, now);
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
