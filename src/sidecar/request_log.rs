use {
    crate::time::{BootClock, TimePoint},
    slog::{Logger, info},
    std::sync::{Mutex, PoisonError},
};

/// Maximum log lines per second in each [`LineCategory`].
const LINES_PER_SECOND: [u32; 3] = [10, 15, 40];

/// Category of a log line about a request; each has its own rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineCategory {
    /// The request succeeded.
    Routine = 0,
    /// The request was refused at the ingress sidecar before any of it ran; most lines of a burst
    /// are of this category.
    Refused = 1,
    /// An attempt or the request failed.
    Failure = 2,
}

#[derive(Debug)]
struct LineCounts {
    window_start: TimePoint,
    written: [u32; 3],
    suppressed: [u64; 3],
}

/// Rate limiter for log lines about single requests.
///
/// Suppressed lines are counted; the next one-second window logs their number.
#[derive(Debug)]
pub(crate) struct RequestLog {
    pub(crate) logger: Logger,
    clock: BootClock,
    counts: Mutex<LineCounts>,
}

impl RequestLog {
    pub(crate) fn new(logger: Logger, clock: BootClock) -> Self {
        Self {
            logger,
            clock,
            counts: Mutex::new(LineCounts {
                window_start: clock.now(),
                written: [0; 3],
                suppressed: [0; 3],
            }),
        }
    }

    /// Counts a line against the rate limit of `category`; false if the line must be suppressed.
    pub(crate) fn try_acquire(&self, category: LineCategory) -> bool {
        let now = self.clock.now();
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(counts.window_start).as_secs() >= 1 {
            counts.window_start = now;
            counts.written = [0; 3];
            let [routine, refused, failed] = std::mem::take(&mut counts.suppressed);
            if routine + refused + failed > 0 {
                info!(self.logger, "lines left out";
                    "routine" => routine, "refused" => refused, "trouble" => failed);
            }
        }
        let index = category as usize;
        let is_allowed = counts.written[index] < LINES_PER_SECOND[index];
        if is_allowed {
            counts.written[index] += 1;
        } else {
            counts.suppressed[index] += 1;
            metrics::counter!("banyantrestle_log_lines_left_out_total").increment(1);
        }
        is_allowed
    }
}
