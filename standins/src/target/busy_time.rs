use {super::RunLedger, std::time::Instant};

/// Records how long an attempt held its slot, also when it is cancelled.
pub struct BusyTime<'a> {
    ledger: &'a RunLedger,
    attempt: &'a str,
    started: Instant,
}

impl<'a> BusyTime<'a> {
    pub fn start(ledger: &'a RunLedger, attempt: &'a str) -> Self {
        Self {
            ledger,
            attempt,
            started: Instant::now(),
        }
    }
}

impl Drop for BusyTime<'_> {
    fn drop(&mut self) {
        self.ledger
            .record_busy(self.attempt, self.started.elapsed());
    }
}
