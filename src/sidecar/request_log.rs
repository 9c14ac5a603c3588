use {
    crate::time::{BootClock, TimePoint},
    slog::{Logger, info},
    std::sync::{Mutex, PoisonError},
};

/// Lines of each weight that a second may bring.
const LINES_PER_SECOND: [u32; 3] = [10, 15, 40];

/// How much a line about a request matters to whoever looks for a cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineCategory {
    /// The request went well.
    Routine = 0,
    /// It was refused at the front, before any of it had run. In a burst these are most lines.
    Refused = 1,
    /// It failed or was sent once more.
    Trouble = 2,
}

#[derive(Debug)]
struct LineCounts {
    opened: TimePoint,
    written: [u32; 3],
    left_out: [u64; 3],
}

/// Log lines about single requests, bounded in their rate.
///
/// What is left out is counted, and told in the next second that has room.
#[derive(Debug)]
pub(crate) struct RequestLog {
    pub(crate) logger: Logger,
    clock: BootClock,
    books: Mutex<LineCounts>,
}

impl RequestLog {
    pub(crate) fn new(logger: Logger, clock: BootClock) -> Self {
        Self {
            logger,
            clock,
            books: Mutex::new(LineCounts {
                opened: clock.now(),
                written: [0; 3],
                left_out: [0; 3],
            }),
        }
    }

    /// Whether a line of this weight may be written now.
    pub(crate) fn has_room(&self, weight: LineCategory) -> bool {
        let now = self.clock.now();
        let mut books = self.books.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(books.opened).as_secs() >= 1 {
            books.opened = now;
            books.written = [0; 3];
            let [routine, refused, trouble] = std::mem::take(&mut books.left_out);
            if routine + refused + trouble > 0 {
                info!(self.logger, "lines left out";
                    "routine" => routine, "refused" => refused, "trouble" => trouble);
            }
        }
        let index = weight as usize;
        let is_free = books.written[index] < LINES_PER_SECOND[index];
        if is_free {
            books.written[index] += 1;
        } else {
            books.left_out[index] += 1;
            metrics::counter!("banyantrestle_log_lines_left_out_total").increment(1);
        }
        is_free
    }
}
