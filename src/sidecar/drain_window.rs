use {crate::time::TimePoint, std::time::Duration};

/// Time until the sidecar leaves the membership. Its target still serves calls of other sidecars
/// until then, and calls that they have sent end within it.
const TARGET_SERVE_TIME: Duration = Duration::from_millis(1_300);
/// Time for which new callers are accepted after the readiness check has started to fail.
const CALLER_DRAIN_TIME: Duration = Duration::from_millis(2_300);
/// Shares of a short grace that these times take at most.
const MAX_TARGET_SERVE_SHARE: f64 = 0.25;
const MAX_CALLER_DRAIN_SHARE: f64 = 0.5;
/// Share of the grace within which calls that begin during the shutdown must end.
const NEW_CALL_SHARE: f64 = 0.86;
/// Time in which the sidecar's own responses to the calls that are left are written.
pub(crate) const LAST_WRITE_TIME: Duration = Duration::from_millis(300);
/// Time for the end of the process.
const EXIT_TIME: Duration = Duration::from_millis(100);

/// Times of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainWindow {
    /// Time at which the sidecar leaves the membership.
    pub leave_at: TimePoint,
    /// Time until which callers may not know of the shutdown.
    pub callers_end: TimePoint,
    /// Latest deadline of a call that begins during the shutdown.
    pub last_deadline: TimePoint,
    /// Time at which calls in flight are ended.
    pub end: TimePoint,
}

impl DrainWindow {
    /// Window of a shutdown that begins at `start` in a process that is killed after `grace`.
    #[must_use]
    pub fn new(start: TimePoint, grace: Duration) -> Self {
        let serve_time = TARGET_SERVE_TIME.min(grace.mul_f64(MAX_TARGET_SERVE_SHARE));
        let caller_time = CALLER_DRAIN_TIME.min(grace.mul_f64(MAX_CALLER_DRAIN_SHARE));
        let end = start + grace.saturating_sub(LAST_WRITE_TIME + EXIT_TIME);
        Self {
            leave_at: start + serve_time,
            callers_end: start + caller_time,
            last_deadline: end.min(start + grace.mul_f64(NEW_CALL_SHARE)),
            end,
        }
    }
}
