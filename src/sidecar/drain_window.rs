use crate::time::TimePoint;

/// Times of a shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainWindow {
    /// Time until which callers may not know of the shutdown.
    pub(crate) callers_end: TimePoint,
    /// Time at which calls in flight are ended.
    pub(crate) end: TimePoint,
}
