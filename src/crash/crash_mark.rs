use {
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
    strum::{Display, IntoStaticStr},
};

/// What a crash says about a request that was running on the target.
///
/// Of two reports of the same crash, the later variant counts.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum CrashEvidence {
    /// The target had answered the request before, so another one is likely to be the cause.
    Familiar,
    /// Other requests that might be the cause ran beside it.
    Shared,
    /// It ran in isolation, and another request that the target had never answered ran beside it.
    IsolatedShared,
    /// It ran in isolation, and every other request had been answered before.
    Isolated,
}

/// A crash under which a request was running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashMark {
    /// Wall-clock time of the crash, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub evidence: CrashEvidence,
    /// Mesh address of the daemon that has reported the crash.
    pub reporter: SocketAddr,
    /// A target has answered the request since.
    pub is_cleared: bool,
}

impl CrashMark {
    /// Merges another report of the same crash.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.evidence = self.evidence.max(other.evidence);
        self.is_cleared |= other.is_cleared;
        // The reports of one crash may differ in time; all daemons keep the same one.
        if (other.at_ms, other.reporter) < (self.at_ms, self.reporter) {
            self.at_ms = other.at_ms;
            self.reporter = other.reporter;
        }
    }
}
