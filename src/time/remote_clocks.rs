use {
    super::{ClockId, ClockReading, TimePoint},
    std::{
        collections::HashMap,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// Time after which the least offset is measured anew. A clock that stood still makes messages look
/// late for two periods.
const OFFSET_PERIOD: Duration = Duration::from_secs(2);
/// Time without messages after which the offset is forgotten; clocks drift apart.
const MAX_SILENCE: Duration = Duration::from_secs(60);
/// Maximum number of clocks whose offset is kept.
const MAX_CLOCKS: usize = 4_096;

/// Offsets between the clock of this process and those of others.
///
/// The least time from the reading of a remote clock until its message was read here is close to the
/// offset between the clocks. A message that took longer was delayed by the difference: by a pause
/// of either process, by the network, or in a queue.
#[derive(Debug, Default)]
pub struct RemoteClocks {
    offsets: Mutex<HashMap<ClockId, ClockOffset>>,
}

/// Offset of one clock, in microseconds; negative if the remote clock is ahead.
#[derive(Clone, Copy, Debug)]
struct ClockOffset {
    least: i64,
    /// Least offset of the period before.
    previous: Option<i64>,
    period_start: TimePoint,
    last_message: TimePoint,
}

impl ClockOffset {
    const fn new(offset: i64, now: TimePoint) -> Self {
        Self {
            least: offset,
            previous: None,
            period_start: now,
            last_message: now,
        }
    }

    fn record(&mut self, offset: i64, now: TimePoint) {
        if now.since(self.period_start) >= OFFSET_PERIOD {
            self.previous = Some(self.least);
            self.least = offset;
            self.period_start = now;
        }
        self.least = self.least.min(offset);
        self.last_message = now;
    }

    fn estimate(&self) -> i64 {
        self.previous
            .map_or(self.least, |previous| previous.min(self.least))
    }

    fn is_current(&self, now: TimePoint) -> bool {
        now.since(self.last_message) < MAX_SILENCE
    }
}

impl RemoteClocks {
    /// When a message was sent that is read at `now` and bears a reading of the sender's clock. If
    /// nothing is known of that clock, this is `earliest`, the earliest time that is possible by the
    /// pauses of this process.
    pub fn sent_at(&self, reading: ClockReading, now: TimePoint, earliest: TimePoint) -> TimePoint {
        let offset = signed_micros(now).saturating_sub(signed_micros(reading.time));
        let mut offsets = self.offsets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = offsets.get_mut(&reading.clock)
            && known.is_current(now)
        {
            known.record(offset, now);
            let delay = offset.saturating_sub(known.estimate());
            let delay = Duration::from_micros(delay.unsigned_abs());
            return now - delay;
        }
        // The message may itself be late.
        if earliest < now {
            return earliest;
        }
        if offsets.len() >= MAX_CLOCKS {
            offsets.retain(|_, known| known.is_current(now));
        }
        if offsets.len() < MAX_CLOCKS {
            offsets.insert(reading.clock, ClockOffset::new(offset, now));
        }
        now
    }
}

fn signed_micros(time: TimePoint) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}
