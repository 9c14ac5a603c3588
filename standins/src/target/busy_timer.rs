use {super::RunLedger, std::time::Instant};

/// Records on drop how long an attempt held its slot, so that cancelled attempts are included.
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
