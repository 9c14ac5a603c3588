use {
    super::TableRows,
    banyantrestle::table::{TableError, TableRow, TableStore, TableWrite, WriteResult},
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Table service in memory, with injected faults.
///
/// Delays are tokio sleeps, so that a test can run them on tokio's paused clock.
#[derive(Clone, Debug, Default)]
pub struct MemoryTable {
    state: Arc<Mutex<MemoryState>>,
}

/// Share of requests that get each fault, in %, and the longest random delay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RandomFaults {
    pub refuse: u32,
    pub lose_request: u32,
    pub lose_response: u32,
    pub delayed_effect: u32,
    pub max_delay: Duration,
}

/// Fault of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TableFault {
    #[default]
    None,
    /// Refused without effect.
    Refuse,
    /// No response and no effect.
    LoseRequest,
    /// No response, although the write takes effect.
    LoseResponse,
    /// No response; the write takes effect after the given delay.
    DelayedEffect(Duration),
}

#[derive(Debug, Default)]
struct MemoryState {
    tables: TableRows,
    scripted_write_faults: VecDeque<TableFault>,
    scripted_read_faults: VecDeque<TableFault>,
    default_write_fault: TableFault,
    default_read_fault: TableFault,
    delay: Duration,
    random: Option<(RandomFaults, StdRng)>,
    transactions: u64,
    reads: u64,
}

impl MemoryTable {
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Queues faults for the next transactions, in order; after them, the default fault applies.
    pub fn script_writes(&self, faults: &[TableFault]) {
        self.lock().scripted_write_faults.extend(faults);
    }

    /// Queues faults for the next reads and scans, in order; after them, the default fault applies.
    pub fn script_reads(&self, faults: &[TableFault]) {
        self.lock().scripted_read_faults.extend(faults);
    }

    /// Sets the default faults, of all further requests that have no queued fault.
    pub fn set_fault(&self, writes: TableFault, reads: TableFault) {
        let mut state = self.lock();
        state.default_write_fault = writes;
        state.default_read_fault = reads;
    }

    /// Sets random faults and delays for all further requests; `None` ends them.
    pub fn set_random_faults(&self, faults: Option<RandomFaults>, seed: u64) {
        let random = faults.map(|faults| (faults, StdRng::seed_from_u64(seed)));
        self.lock().random = random;
    }

    /// Sets the time that each request takes until its response or failure.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    #[must_use]
    pub fn tables(&self) -> TableRows {
        self.lock().tables.clone()
    }

    #[must_use]
    pub fn transactions(&self) -> u64 {
        self.lock().transactions
    }

    #[must_use]
    pub fn reads(&self) -> u64 {
        self.lock().reads
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn commit(&self, writes: &[TableWrite]) -> Vec<WriteResult> {
        let mut state = self.lock();
        state.transactions += 1;
        state.tables.transact(writes)
    }

    fn commit_delayed(&self, writes: Vec<TableWrite>, delay: Duration) {
        let table = self.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            table.commit(&writes);
        });
    }

    async fn start_read(&self) -> Result<(), TableError> {
        let (fault, delay) = {
            let mut state = self.lock();
            state.reads += 1;
            state.next_read_fault()
        };
        sleep(delay).await;
        match fault {
            TableFault::None => Ok(()),
            TableFault::Refuse => Err(refused()),
            _ => Err(outcome_unknown(delay)),
        }
    }
}

impl MemoryState {
    fn next_write_fault(&mut self) -> (TableFault, Duration) {
        if let Some(drawn) = self.draw_random_fault() {
            return drawn;
        }
        let default = self.default_write_fault;
        (
            self.scripted_write_faults.pop_front().unwrap_or(default),
            self.delay,
        )
    }

    fn next_read_fault(&mut self) -> (TableFault, Duration) {
        if let Some(drawn) = self.draw_random_fault() {
            return drawn;
        }
        let default = self.default_read_fault;
        (
            self.scripted_read_faults.pop_front().unwrap_or(default),
            self.delay,
        )
    }

    fn draw_random_fault(&mut self) -> Option<(TableFault, Duration)> {
        let (faults, rng) = self.random.as_mut()?;
        let delay = faults.max_delay.mul_f64(rng.random());
        let delayed = TableFault::DelayedEffect(faults.max_delay.mul_f64(rng.random()));
        let percentages = [
            (faults.refuse, TableFault::Refuse),
            (faults.lose_request, TableFault::LoseRequest),
            (faults.lose_response, TableFault::LoseResponse),
            (faults.delayed_effect, delayed),
        ];
        let mut point = rng.random_range(0..100);
        for (percent, fault) in percentages {
            if point < percent {
                return Some((fault, delay));
            }
            point -= percent;
        }
        Some((TableFault::None, delay))
    }
}

impl TableStore for MemoryTable {
    async fn transact(&self, writes: Vec<TableWrite>) -> Result<Vec<WriteResult>, TableError> {
        let (fault, delay) = {
            let mut state = self.lock();
            state.next_write_fault()
        };
        sleep(delay).await;
        match fault {
            TableFault::None => Ok(self.commit(&writes)),
            TableFault::Refuse => Err(refused()),
            TableFault::LoseRequest => Err(outcome_unknown(delay)),
            TableFault::LoseResponse => {
                self.commit(&writes);
                Err(outcome_unknown(delay))
            }
            TableFault::DelayedEffect(effect_delay) => {
                self.commit_delayed(writes, effect_delay);
                Err(outcome_unknown(delay))
            }
        }
    }

    async fn read(
        &self,
        table: &str,
        keys: Vec<String>,
    ) -> Result<Vec<Option<TableRow>>, TableError> {
        self.start_read().await?;
        Ok(self.lock().tables.read(table, &keys))
    }

    async fn scan(
        &self,
        table: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, TableError> {
        self.start_read().await?;
        Ok(self.lock().tables.scan(table, after, limit))
    }
}

fn refused() -> TableError {
    TableError::Refused("injected fault: request refused".into())
}

fn outcome_unknown(waited: Duration) -> TableError {
    TableError::OutcomeUnknown {
        waited,
        reason: "injected fault: no response".into(),
    }
}
