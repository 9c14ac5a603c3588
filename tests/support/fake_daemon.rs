//! A fake daemon for tests of the console and the command line.

use {
    banyantrestle::{
        console::{AdminToken, ConsoleState, DaemonReadiness, LoadView},
        error::{ProcessStep, StepError},
        events::{EventLog, EventPage},
        membership::{MemberId, MemberRecord, MemberState},
        policy::{
            AcceptedPolicy, ActivePolicy, PolicyConflict, PolicyDocument, SubmitError,
            VersionedPolicy,
        },
        time::ProcessClock,
    },
    std::sync::{Arc, Mutex},
};

pub const ADMIN_TOKEN: &str = "the-admin-token-1";

/// A daemon that keeps its policy in memory and has no table service.
pub struct FakeDaemon {
    token: AdminToken,
    policy: Mutex<Arc<ActivePolicy>>,
    pub events: EventLog,
    pub readiness: DaemonReadiness,
    pub is_table_unavailable: bool,
}

impl FakeDaemon {
    pub fn new() -> Self {
        Self {
            token: AdminToken::new(ADMIN_TOKEN),
            policy: Mutex::new(Arc::new(ActivePolicy::built_in())),
            events: EventLog::new(member_id(), ProcessClock::start(), 10),
            readiness: DaemonReadiness::Ready,
            is_table_unavailable: false,
        }
    }

    pub fn set_policy(&self, version: u64, document: PolicyDocument) -> AcceptedPolicy {
        let policy = VersionedPolicy { version, document };
        let policy = ActivePolicy::compile(policy).unwrap();
        let hash = policy.hash;
        *self.policy.lock().unwrap() = Arc::new(policy);
        AcceptedPolicy { version, hash }
    }
}

impl ConsoleState for FakeDaemon {
    fn admin_token(&self) -> &AdminToken {
        &self.token
    }

    fn local_member(&self) -> MemberId {
        member_id()
    }

    fn members(&self) -> Vec<MemberRecord> {
        let record = |data_centre: &str, state| MemberRecord {
            id: member_id(),
            incarnation: 1,
            state,
            region: "nz-north".into(),
            data_centre: data_centre.into(),
            mesh: member_id().address,
            admin: member_id().address,
            target: None,
            policy_version: 4,
        };
        vec![
            record("akl-a", MemberState::Alive),
            record("<b>ham\u{1b}[2J</b>", MemberState::Dead),
        ]
    }

    fn load(&self) -> Vec<LoadView> {
        Vec::new()
    }

    fn policy(&self) -> Arc<ActivePolicy> {
        Arc::clone(&self.policy.lock().unwrap())
    }

    fn events(&self, since: u64, limit: usize) -> EventPage {
        self.events.since(since, limit)
    }

    fn metrics(&self) -> String {
        "calls_total 7\n".into()
    }

    fn readiness(&self) -> DaemonReadiness {
        self.readiness.clone()
    }

    async fn submit_policy(
        &self,
        document: PolicyDocument,
        base_version: u64,
    ) -> Result<AcceptedPolicy, SubmitError> {
        if self.is_table_unavailable {
            let step = ProcessStep::ReadTable;
            return Err(StepError::new(step, "table policy", "down").into());
        }
        document.validate().map_err(SubmitError::Invalid)?;
        let current = self.policy().to_versioned();
        if current.version != base_version {
            let conflict = PolicyConflict::new(base_version, None, current, &document);
            return Err(SubmitError::Conflict(Box::new(conflict)));
        }
        Ok(self.set_policy(base_version + 1, document))
    }
}

pub fn member_id() -> MemberId {
    MemberId {
        address: ([127, 0, 0, 1], 7_103).into(),
        started_ms: 1,
    }
}
