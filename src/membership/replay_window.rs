const WINDOW_BITS: u64 = 64;

/// The most recent sequence numbers that were received from one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReplayWindow {
    /// Highest number received plus one.
    next: u64,
    /// Bit `i` stands for the number `next - 1 - i`.
    seen: u64,
}

impl ReplayWindow {
    /// Marks `sequence` as received; returns whether it is new and within the window.
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence >= self.next {
            let advance = (sequence - self.next).saturating_add(1);
            self.seen = if advance < WINDOW_BITS {
                self.seen << advance
            } else {
                0
            };
            self.seen |= 1;
            self.next = sequence.saturating_add(1);
            return true;
        }
        let age = self.next - 1 - sequence;
        if age >= WINDOW_BITS {
            return false;
        }
        let bit = 1 << age;
        let is_new = self.seen & bit == 0;
        self.seen |= bit;
        is_new
    }
}
