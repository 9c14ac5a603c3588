use {
    super::{ProcessDigest, RequestDigest},
    std::{net::SocketAddr, time::Duration},
};

/// A call that a crashed target had not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSuspect {
    pub digest: RequestDigest,
    /// Time from the start of the call to the end of its connection.
    pub run_time: Duration,
    /// Whether the call ran in isolation until the process crashed.
    pub is_isolated: bool,
}

/// Crash of a target process, with the calls that it had not answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    pub process: ProcessDigest,
    /// Mesh address of the daemon beside the target.
    pub reporter: SocketAddr,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub suspects: Vec<CrashSuspect>,
}
