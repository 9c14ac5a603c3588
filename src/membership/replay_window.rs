/// Sequence numbers in a window; it is the number of bits of its mask.
const WINDOW_BITS: u64 = 64;

/// Record of the most recent sequence numbers received from one process, which detects replays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    /// Highest number received plus one.
    next_sequence: u64,
    /// Bit `i` is set if the number `next_sequence - 1 - i` was received.
    received: u64,
}

impl ReplayWindow {
    /// Marks `sequence` as received; returns whether it is new and within the window.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence >= self.next_sequence {
            let advance = (sequence - self.next_sequence).saturating_add(1);
            self.received = if advance < WINDOW_BITS {
                self.received << advance
            } else {
                0
            };
            self.received |= 1;
            self.next_sequence = sequence.saturating_add(1);
            return true;
        }
        let age = self.next_sequence - 1 - sequence;
        if age >= WINDOW_BITS {
            return false;
        }
        let bit = 1 << age;
        let is_new = self.received & bit == 0;
        self.received |= bit;
        is_new
    }
}
