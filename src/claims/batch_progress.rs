use {
    super::{ClaimRow, RowOutcome},
    crate::table::{TableError, TableRow, WriteResult},
    std::time::Duration,
};

/// Maximum number of transactions for one batch.
const MAX_TRANSACTIONS: u32 = 3;
/// Delay before the second transaction; doubled before the third.
const RETRY_DELAY: Duration = Duration::from_millis(25);

/// State machine that commits one batch of rows to the table.
///
/// If a transaction gets no reply, the rows are read back. A missing row is written again with
/// the same write id, so that the later of the two writes to arrive finds the row present.
#[derive(Debug)]
pub struct BatchProgress {
    rows: Vec<BatchRow>,
    transactions: u32,
    stage: BatchStage,
}

#[derive(Debug)]
struct BatchRow {
    row: ClaimRow,
    outcome: Option<RowOutcome>,
    /// Whether a transaction with an unknown outcome contained the row.
    may_be_applied: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BatchStage {
    Write,
    Pause,
    ReadBack,
}

/// Next action for a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchStep {
    /// Write the unsettled rows in one transaction.
    Transact,
    /// Read the unsettled rows.
    ReadBack,
    Pause(Duration),
    Done,
}

impl BatchProgress {
    #[must_use]
    pub fn new(rows: Vec<ClaimRow>) -> Self {
        let batch_row = |row| BatchRow {
            row,
            outcome: None,
            may_be_applied: false,
        };
        Self {
            rows: rows.into_iter().map(batch_row).collect(),
            transactions: 0,
            stage: BatchStage::Write,
        }
    }

    #[must_use]
    pub fn step(&self) -> BatchStep {
        if self.unsettled().next().is_none() {
            return BatchStep::Done;
        }
        match self.stage {
            BatchStage::ReadBack => BatchStep::ReadBack,
            _ if self.transactions == MAX_TRANSACTIONS => BatchStep::Done,
            BatchStage::Pause => BatchStep::Pause(RETRY_DELAY * self.transactions),
            BatchStage::Write => BatchStep::Transact,
        }
    }

    /// Rows whose outcome is not known yet, in order.
    pub fn unsettled(&self) -> impl Iterator<Item = &ClaimRow> {
        let unsettled = self.rows.iter().filter(|row| row.outcome.is_none());
        unsettled.map(|row| &row.row)
    }

    /// Marks the unsettled rows as sent. From here on they may take effect.
    pub fn on_transact_sent(&mut self) {
        self.transactions += 1;
        self.stage = BatchStage::ReadBack;
    }

    /// Processes the result of the transaction of the unsettled rows.
    pub fn on_transacted(&mut self, result: Result<Vec<WriteResult>, TableError>) {
        match result {
            Ok(results) => {
                for (row, result) in self.unsettled_mut().zip(&results) {
                    row.outcome = Some(row.row.transaction_outcome(result));
                }
                self.stage = BatchStage::Pause;
            }
            Err(TableError::Refused(_)) => self.stage = BatchStage::Pause,
            Err(TableError::OutcomeUnknown { .. }) => {
                for row in self.unsettled_mut() {
                    row.may_be_applied = true;
                }
                self.stage = BatchStage::ReadBack;
            }
        }
    }

    /// Processes the stored rows that were read back for the unsettled ones.
    pub fn on_read(&mut self, result: Result<Vec<Option<TableRow>>, TableError>) {
        if let Ok(found) = result {
            for (row, found) in self.unsettled_mut().zip(&found) {
                row.outcome = row.row.read_back_outcome(found.as_ref());
            }
        }
        self.stage = BatchStage::Pause;
    }

    /// Continues after the pause.
    pub fn on_pause(&mut self) {
        self.stage = BatchStage::Write;
    }

    /// Returns one outcome per row, in order. A row that is still unsettled counts as `Unknown` if
    /// it may have been sent, else as `Refused`.
    #[must_use]
    pub fn into_outcomes(self) -> Vec<RowOutcome> {
        let is_sent = self.stage == BatchStage::ReadBack;
        let outcome = |row: BatchRow| match row.outcome {
            Some(outcome) => outcome,
            None if row.may_be_applied || is_sent => RowOutcome::Unknown,
            None => RowOutcome::Refused,
        };
        self.rows.into_iter().map(outcome).collect()
    }

    fn unsettled_mut(&mut self) -> impl Iterator<Item = &mut BatchRow> {
        self.rows.iter_mut().filter(|row| row.outcome.is_none())
    }
}
