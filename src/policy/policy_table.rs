use {
    super::{POLICY_KEY, POLICY_TABLE, policy_row::PolicyRow},
    crate::{
        error::{ProcessStep, StepError},
        table::{TableError, TableStore, TableWrite, WriteResult},
    },
    std::{future::Future, time::Duration},
    tokio::time::timeout,
};

/// Wait for one answer of the table service.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// The policy row in the table service.
#[derive(Clone, Debug)]
pub(super) struct PolicyTable<T>(T);

/// What became of one attempt to commit.
#[derive(Debug)]
pub(super) enum CommitAttempt {
    Applied,
    /// Another write came first; the row as it stands.
    Superseded(Option<PolicyRow>),
    /// The write may have taken effect.
    Lost,
    /// The write did not take effect.
    Refused(StepError),
}

impl<T: TableStore> PolicyTable<T> {
    pub(super) const fn new(table: T) -> Self {
        Self(table)
    }

    /// The row; `None` if there is none.
    pub(super) async fn read(&self) -> Result<Option<PolicyRow>, StepError> {
        let keys = vec![POLICY_KEY.to_owned()];
        let rows = within_timeout(self.0.read(POLICY_TABLE, keys)).await;
        let rows = rows.map_err(|error| table_fault(ProcessStep::ReadTable, error))?;
        let row = rows.into_iter().next().flatten();
        row.map(PolicyRow::decode).transpose()
    }

    /// Tries to commit once.
    pub(super) async fn commit(&self, write: TableWrite) -> CommitAttempt {
        let step = ProcessStep::CommitPolicy;
        let results = match within_timeout(self.0.transact(vec![write])).await {
            Ok(results) => results,
            Err(TableError::Lost { .. }) => return CommitAttempt::Lost,
            Err(error @ TableError::Refused(_)) => {
                return CommitAttempt::Refused(table_fault(step, error));
            }
        };
        match results.into_iter().next() {
            Some(WriteResult::Applied { .. }) => CommitAttempt::Applied,
            Some(WriteResult::Conflict { row }) => row
                .map(PolicyRow::decode)
                .transpose()
                .map_or_else(CommitAttempt::Refused, CommitAttempt::Superseded),
            None => CommitAttempt::Lost,
        }
    }
}

async fn within_timeout<R>(
    answer: impl Future<Output = Result<R, TableError>>,
) -> Result<R, TableError> {
    let lost = || TableError::Lost {
        waited: ANSWER_TIMEOUT,
        reason: "timeout".into(),
    };
    timeout(ANSWER_TIMEOUT, answer)
        .await
        .unwrap_or_else(|_| Err(lost()))
}

fn table_fault(step: ProcessStep, error: TableError) -> StepError {
    StepError::new(step, "table policy", error)
}
