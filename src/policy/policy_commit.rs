use {
    super::{
        PolicyConflict, PolicyDocument, PolicyHash, SubmitError, VersionedPolicy,
        policy_row::PolicyRow,
        policy_table::{CommitAttempt, PolicyTable},
    },
    crate::{
        error::{ProcessStep, StepError},
        jsonc::FieldError,
        table::{TableStore, TableWrite},
    },
    rand::Rng,
    std::time::Duration,
    tokio::time::{Instant, sleep},
};

/// Time after which a commit without an answer is reported as unknown.
pub const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);
/// First wait between two attempts to settle a commit; it doubles.
const SETTLE_PERIOD: Duration = Duration::from_millis(50);
/// Longest wait between two attempts.
const MAX_SETTLE_PERIOD: Duration = Duration::from_secs(1);

/// One submission of an operator, from the check to the commit.
pub(super) struct PolicyCommit<T> {
    pub table: PolicyTable<T>,
    pub document: PolicyDocument,
    pub base_version: u64,
    /// The document of the base version, if it is still known.
    pub base: Option<PolicyDocument>,
    /// The policy in force here.
    pub enforced: VersionedPolicy,
}

impl<T: TableStore> PolicyCommit<T> {
    /// Returns the policy as committed.
    pub(super) async fn run(self, rng: &mut impl Rng) -> Result<VersionedPolicy, SubmitError> {
        self.document.check().map_err(SubmitError::Invalid)?;
        let row = self.table.read().await?;
        let stored = row.as_ref().map(|row| &row.policy);
        let newest = stored
            .filter(|policy| policy.version > self.enforced.version)
            .unwrap_or(&self.enforced);
        if newest.version == self.base_version.saturating_add(1) && newest.document == self.document
        {
            return Ok(newest.clone());
        }
        if newest.version != self.base_version {
            return Err(self.conflict(newest.clone()));
        }
        self.check_deployment(newest)?;
        let policy = VersionedPolicy {
            version: newest.version.saturating_add(1),
            document: self.document.clone(),
        };
        let write = PolicyRow::replace(row.as_ref(), &policy, rng)?;
        self.settle(policy, write).await
    }

    fn check_deployment(&self, newest: &VersionedPolicy) -> Result<(), SubmitError> {
        let deployment = &newest.document.deployment;
        if newest.version == 0 || *deployment == self.document.deployment {
            return Ok(());
        }
        let message = format!(
            "is not {deployment}, the deployment of version {}",
            newest.version
        );
        Err(SubmitError::Invalid(vec![FieldError::new(
            "deployment",
            message,
        )]))
    }

    /// Sends the same write until its fate is known.
    ///
    /// Its condition names the write that it replaces, so it takes effect at most once, however
    /// often it is sent and however late a copy arrives.
    async fn settle(
        &self,
        policy: VersionedPolicy,
        write: TableWrite,
    ) -> Result<VersionedPolicy, SubmitError> {
        let started = Instant::now();
        let mut pause = SETTLE_PERIOD;
        let mut is_in_doubt = false;
        loop {
            match self.table.commit(write.clone()).await {
                CommitAttempt::Applied => return Ok(policy),
                CommitAttempt::Superseded(row) => return self.superseded(policy, &write, row),
                CommitAttempt::Refused(error) if !is_in_doubt => return Err(error.into()),
                CommitAttempt::Refused(_) => {}
                CommitAttempt::Lost => is_in_doubt = true,
            }
            if started.elapsed() >= COMMIT_TIMEOUT {
                return Err(unknown(&policy, started.elapsed()));
            }
            sleep(pause).await;
            pause = MAX_SETTLE_PERIOD.min(pause * 2);
            if let Ok(Some(row)) = self.table.read().await
                && row.is_after(&write.write_id)
            {
                return Ok(policy);
            }
        }
    }

    fn superseded(
        &self,
        policy: VersionedPolicy,
        write: &TableWrite,
        row: Option<PolicyRow>,
    ) -> Result<VersionedPolicy, SubmitError> {
        let Some(row) = row else {
            let step = ProcessStep::CommitPolicy;
            return Err(StepError::new(step, "table policy", "the row is gone").into());
        };
        if row.is_after(&write.write_id) {
            return Ok(policy);
        }
        Err(self.conflict(row.policy))
    }

    fn conflict(&self, current: VersionedPolicy) -> SubmitError {
        let base = self.base.as_ref();
        let conflict = PolicyConflict::new(self.base_version, base, current, &self.document);
        SubmitError::Conflict(Box::new(conflict))
    }
}

fn unknown(policy: &VersionedPolicy, waited: Duration) -> SubmitError {
    SubmitError::Unknown {
        version: policy.version,
        hash: PolicyHash::of(&policy.document),
        waited,
    }
}
