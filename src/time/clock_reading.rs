use super::TimePoint;

/// Identity of a clock that a process started, drawn at random.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClockId(u32);

impl ClockId {
    #[must_use]
    pub const fn new(id: u32) -> Self {
        Self(id)
    }

    #[must_use]
    pub fn random() -> Self {
        Self(rand::random())
    }

    #[must_use]
    pub const fn as_u32(self) -> u32 {
        self.0
    }
}

/// Time on a clock, which may be that of another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    pub clock: ClockId,
    pub time: TimePoint,
}
