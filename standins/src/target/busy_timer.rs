use {super::RunLedger, std::time::Instant};

/// Records how long an attempt held its slot, also when it is cancelled.
pub struct BusyTimer<'a> {
    ledger: &'a RunLedger,
    attempt: &'a str,
    started: Instant,
}

impl<'a> BusyTimer<'a> {
    pub fn start(ledger: &'a RunLedger, attempt: &'a str) -> Self {
        Self {
            ledger,
            attempt,
            started: Instant::now(),
        }
    }
}

impl Drop for BusyTimer<'_> {
    fn drop(&mut self) {
        self.ledger
            .record_busy_time(self.attempt, self.started.elapsed());
    }
}
