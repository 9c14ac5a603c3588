use {
    super::{
        PolicyConflict, PolicyDocument, PolicyHash, SubmitError, VersionedPolicy,
        policy_row::PolicyRow,
        policy_table::{CommitOutcome, PolicyTable},
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

/// Time after which a commit without a response is reported as unknown.
pub const COMMIT_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay between the first two attempts of a commit; it doubles with each attempt.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest delay between two attempts of a commit.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// One submission of an operator: validation, conflict check and commit.
pub(super) struct PolicyCommit<T> {
    pub table: PolicyTable<T>,
    pub document: PolicyDocument,
    pub base_version: u64,
    /// The document of the base version, if this daemon still has it.
    pub base: Option<PolicyDocument>,
    /// The policy in force at this daemon.
    pub enforced: VersionedPolicy,
}

impl<T: TableStore> PolicyCommit<T> {
    /// Commits the submission and returns the resulting policy.
    pub(super) async fn run(self, rng: &mut impl Rng) -> Result<VersionedPolicy, SubmitError> {
        self.document.validate().map_err(SubmitError::Invalid)?;
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
        let write = PolicyRow::replacement_write(row.as_ref(), &policy, rng)?;
        self.commit_with_retries(policy, write).await
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

    /// Sends the same write until its outcome is known or [`COMMIT_TIMEOUT`] has passed.
    ///
    /// The condition of the write names the write that it replaces, so it takes effect at most
    /// once, even if copies are sent repeatedly or arrive late.
    async fn commit_with_retries(
        &self,
        policy: VersionedPolicy,
        write: TableWrite,
    ) -> Result<VersionedPolicy, SubmitError> {
        let started_at = Instant::now();
        let mut retry_delay = INITIAL_RETRY_DELAY;
        let mut may_be_applied = false;
        loop {
            match self.table.try_commit(write.clone()).await {
                CommitOutcome::Applied => return Ok(policy),
                CommitOutcome::Superseded(row) => {
                    return self.resolve_superseded(policy, &write, row);
                }
                CommitOutcome::Refused(error) if !may_be_applied => return Err(error.into()),
                CommitOutcome::Refused(_) => {}
                CommitOutcome::Unknown => may_be_applied = true,
            }
            if started_at.elapsed() >= COMMIT_TIMEOUT {
                return Err(outcome_unknown(&policy, started_at.elapsed()));
            }
            sleep(retry_delay).await;
            retry_delay = MAX_RETRY_DELAY.min(retry_delay * 2);
            if let Ok(Some(row)) = self.table.read().await
                && row.includes_write(&write.write_id)
            {
                return Ok(policy);
            }
        }
    }

    fn resolve_superseded(
        &self,
        policy: VersionedPolicy,
        write: &TableWrite,
        row: Option<PolicyRow>,
    ) -> Result<VersionedPolicy, SubmitError> {
        let Some(row) = row else {
            let step = ProcessStep::CommitPolicy;
            return Err(StepError::new(
                step,
                "table policy",
                "the policy row was deleted during the commit",
            )
            .into());
        };
        if row.includes_write(&write.write_id) {
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

fn outcome_unknown(policy: &VersionedPolicy, waited: Duration) -> SubmitError {
    SubmitError::OutcomeUnknown {
        version: policy.version,
        hash: PolicyHash::of(&policy.document),
        waited,
    }
}
