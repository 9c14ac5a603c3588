use {
    super::{POLICY_KEY, POLICY_TABLE, policy_row::PolicyRow},
    crate::{
        error::{ProcessStep, StepError},
        table::{TableError, TableStore, TableWrite, WriteResult},
    },
    std::{future::Future, time::Duration},
    tokio::time::timeout,
};

/// Maximum time to wait for one response of the table service.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Access to the policy row in the table service.
#[derive(Clone, Debug)]
pub(super) struct PolicyTable<T>(T);

/// Result of one attempt to commit.
#[derive(Debug)]
pub(super) enum CommitOutcome {
    Applied,
    /// Another write took effect first; holds the current row.
    Superseded(Option<PolicyRow>),
    /// The write may have taken effect.
    Unknown,
    /// The write did not take effect.
    Refused(StepError),
}

impl<T: TableStore> PolicyTable<T> {
    pub(super) const fn new(table: T) -> Self {
        Self(table)
    }

    /// Reads the row; `None` if there is none.
    pub(super) async fn read(&self) -> Result<Option<PolicyRow>, StepError> {
        let keys = vec![POLICY_KEY.to_owned()];
        let rows = with_response_timeout(self.0.read(POLICY_TABLE, keys)).await;
        let rows = rows.map_err(|error| step_error(ProcessStep::ReadTable, error))?;
        let row = rows.into_iter().next().flatten();
        row.map(PolicyRow::decode).transpose()
    }

    /// Attempts the write once.
    pub(super) async fn try_commit(&self, write: TableWrite) -> CommitOutcome {
        let step = ProcessStep::CommitPolicy;
        let results = match with_response_timeout(self.0.transact(vec![write])).await {
            Ok(results) => results,
            Err(TableError::OutcomeUnknown { .. }) => return CommitOutcome::Unknown,
            Err(error @ TableError::Refused(_)) => {
                return CommitOutcome::Refused(step_error(step, error));
            }
        };
        match results.into_iter().next() {
            Some(WriteResult::Applied { .. }) => CommitOutcome::Applied,
            Some(WriteResult::Conflict { row }) => row
                .map(PolicyRow::decode)
                .transpose()
                .map_or_else(CommitOutcome::Refused, CommitOutcome::Superseded),
            None => CommitOutcome::Unknown,
        }
    }
}

async fn with_response_timeout<R>(
    response: impl Future<Output = Result<R, TableError>>,
) -> Result<R, TableError> {
    let timeout_error = || TableError::OutcomeUnknown {
        waited: RESPONSE_TIMEOUT,
        reason: "timeout".into(),
    };
    timeout(RESPONSE_TIMEOUT, response)
        .await
        .unwrap_or_else(|_| Err(timeout_error()))
}

fn step_error(step: ProcessStep, error: TableError) -> StepError {
    StepError::new(step, "table policy", error)
}
