//! Submission, distribution and startup of the policy with a failing table service.

use {
    banyantrestle::{
        error::{ProcessStep, StepError},
        events::{EventKind, EventLog, EventName},
        membership::MemberId,
        policy::{
            ActivePolicy, POLICY_KEY, POLICY_TABLE, PolicyDependencies, PolicyDocument,
            PolicyService, PolicySource, SubmitError, VersionedPolicy,
        },
        table::TableStore,
        time::ProcessClock,
    },
    serde_json::Value,
    slog::{Discard, Logger, o},
    standins::platform::{MemoryTable, TableFault},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Longest wait for a condition, far above the time that it takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time until a peer responds.
const PEER_RESPONSE_DELAY: Duration = Duration::from_millis(20);

type TestService = PolicyService<MemoryTable, PeerPolicies>;

/// Policies that the peers serve, by mesh address.
#[derive(Clone, Default)]
struct PeerPolicies(Arc<Mutex<HashMap<SocketAddr, VersionedPolicy>>>);

impl PolicySource for PeerPolicies {
    async fn fetch(&self, peer: SocketAddr) -> Result<VersionedPolicy, StepError> {
        sleep(PEER_RESPONSE_DELAY).await;
        let policy = self.0.lock().unwrap().get(&peer).cloned();
        policy.ok_or_else(|| StepError::new(ProcessStep::LoadPolicy, peer, "unreachable"))
    }
}

struct TestDaemon {
    service: TestService,
    events: EventLog,
    peers: PeerPolicies,
}

impl TestDaemon {
    fn start(table: &MemoryTable) -> Self {
        let clock = ProcessClock::start();
        let process = MemberId {
            address: peer(0),
            started_ms: 1,
        };
        let events = EventLog::new(process, clock, 100);
        let peers = PeerPolicies::default();
        let service = PolicyService::start(PolicyDependencies {
            table: table.clone(),
            source: peers.clone(),
            events: events.clone(),
            logger: Logger::root(Discard, o!()),
            clock,
        });
        Self {
            service,
            events,
            peers,
        }
    }

    async fn start_ready(table: &MemoryTable) -> Self {
        let daemon = Self::start(table);
        daemon.wait_until_ready().await;
        daemon
    }

    async fn wait_until_ready(&self) {
        let mut ready = self.service.ready();
        let waited = timeout(WAIT_TIMEOUT, ready.wait_for(|ready| *ready)).await;
        waited.unwrap().unwrap();
    }

    async fn wait_for_version(&self, version: u64) -> Arc<ActivePolicy> {
        let mut current = self.service.current();
        let waited = timeout(
            WAIT_TIMEOUT,
            current.wait_for(|policy| policy.version >= version),
        )
        .await;
        waited.unwrap().unwrap().clone()
    }

    fn version(&self) -> u64 {
        self.service.current().borrow().version
    }

    /// Makes a peer serve a policy without reporting its version.
    fn serve_from_peer(&self, number: u16, policy: VersionedPolicy) {
        self.peers.0.lock().unwrap().insert(peer(number), policy);
    }

    /// Makes a peer serve a policy and report its version.
    async fn report_from_peer(&self, number: u16, policy: VersionedPolicy) {
        let hash = policy.hash();
        let version = policy.version;
        self.serve_from_peer(number, policy);
        self.service
            .record_peer_version(version, hash, peer(number))
            .await;
    }

    fn event_count(&self, name: EventName) -> usize {
        let page = self.events.since(0, 100);
        let events = page.events.iter().map(|event| event.kind.name());
        events.filter(|kind| *kind == name).count()
    }
}

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

fn document(weight: u32) -> PolicyDocument {
    let mut document = PolicyDocument::built_in();
    document.deployment = "test".into();
    document.classes[0].weight = weight;
    document
}

fn versioned_policy(version: u64, weight: u32) -> VersionedPolicy {
    VersionedPolicy {
        version,
        document: document(weight),
    }
}

async fn stored_version(table: &MemoryTable) -> Option<u64> {
    let rows = table.read(POLICY_TABLE, vec![POLICY_KEY.into()]).await;
    let row = rows.unwrap().remove(0)?;
    let value: Value = serde_json::from_str(&row.value).unwrap();
    value["version"].as_u64()
}

async fn store_policy(table: &MemoryTable, policy: VersionedPolicy) {
    let daemon = TestDaemon::start_ready(table).await;
    daemon.report_from_peer(1, policy.clone()).await;
    daemon.wait_for_version(policy.version).await;
    // The daemon writes the higher version to the table.
    let waited = timeout(WAIT_TIMEOUT, async {
        while stored_version(table).await != Some(policy.version) {
            sleep(Duration::from_millis(20)).await;
        }
    });
    waited.await.unwrap();
}

#[tokio::test]
async fn concurrent_submissions_accept_one_and_report_a_conflict() {
    let table = MemoryTable::new();
    let first_daemon = TestDaemon::start_ready(&table).await;
    let second_daemon = TestDaemon::start_ready(&table).await;
    first_daemon.service.submit(document(2), 0).await.unwrap();
    second_daemon.wait_for_version(1).await;
    let (first_result, second_result) = tokio::join!(
        first_daemon.service.submit(document(3), 1),
        second_daemon.service.submit(document(4), 1),
    );
    let (accepted, rejected) = match (first_result, second_result) {
        (Ok(accepted), Err(rejected)) | (Err(rejected), Ok(accepted)) => (accepted, rejected),
        outcomes => panic!("expected one acceptance and one rejection: {outcomes:?}"),
    };
    assert_eq!(accepted.version, 2);
    let SubmitError::Conflict(conflict) = rejected else {
        panic!("{rejected}");
    };
    assert_eq!(conflict.current.version, 2);
    let change = &conflict.changes[0];
    assert_eq!(conflict.changes.len(), 1);
    assert_eq!(change.field, "classes[write].weight");
    assert_eq!(change.base.as_deref(), Some("2"));
    assert!(change.is_conflict());
    assert_eq!(first_daemon.wait_for_version(2).await.hash, accepted.hash);
    assert_eq!(second_daemon.wait_for_version(2).await.hash, accepted.hash);
}

#[tokio::test]
async fn lost_commit_responses_are_resolved() {
    for faults in [
        &[TableFault::LoseResponse][..],
        &[TableFault::LoseRequest],
        &[TableFault::LoseResponse, TableFault::LoseResponse],
        &[TableFault::LoseRequest, TableFault::Refuse],
    ] {
        let table = MemoryTable::new();
        let daemon = TestDaemon::start_ready(&table).await;
        table.script_writes(faults);
        let accepted = daemon.service.submit(document(2), 0).await.unwrap();
        assert_eq!(accepted.version, 1, "{faults:?}");
        assert_eq!(daemon.version(), 1);
        assert_eq!(stored_version(&table).await, Some(1));
        assert_eq!(daemon.event_count(EventName::PolicyAccepted), 1);
    }
}

#[tokio::test]
async fn delayed_write_does_not_overwrite_a_newer_policy() {
    let table = MemoryTable::new();
    let daemon = TestDaemon::start_ready(&table).await;
    let delay = Duration::from_millis(400);
    table.script_writes(&[TableFault::DelayedEffect(delay)]);
    daemon.service.submit(document(2), 0).await.unwrap();
    daemon.service.submit(document(3), 1).await.unwrap();
    sleep(delay * 2).await;
    assert_eq!(stored_version(&table).await, Some(2));
    assert_eq!(daemon.version(), 2);
}

#[tokio::test(start_paused = true)]
async fn commit_without_a_response_has_an_unknown_outcome() {
    let table = MemoryTable::new();
    let daemon = TestDaemon::start_ready(&table).await;
    table.script_reads(&[TableFault::None]);
    table.set_fault(TableFault::LoseResponse, TableFault::Refuse);
    let error = daemon.service.submit(document(2), 0).await.unwrap_err();
    assert!(
        matches!(error, SubmitError::OutcomeUnknown { version: 1, .. }),
        "{error}"
    );
    assert_eq!(daemon.event_count(EventName::PolicyAccepted), 0);
    table.set_fault(TableFault::None, TableFault::None);
    let resubmitted = daemon.service.submit(document(2), 0).await.unwrap();
    assert_eq!(
        resubmitted.version, 1,
        "resubmitting the same document returns the same version"
    );
}

#[tokio::test]
async fn refused_commit_is_not_accepted() {
    let table = MemoryTable::new();
    let daemon = TestDaemon::start_ready(&table).await;
    table.script_writes(&[TableFault::Refuse]);
    let error = daemon.service.submit(document(2), 0).await.unwrap_err();
    assert!(matches!(error, SubmitError::Unavailable(_)), "{error}");
    assert_eq!(stored_version(&table).await, None);
    assert_eq!(daemon.version(), 0);
}

#[tokio::test]
async fn slow_table_only_delays_the_commit() {
    let table = MemoryTable::new();
    let daemon = TestDaemon::start_ready(&table).await;
    table.set_delay(Duration::from_millis(300));
    daemon.service.submit(document(2), 0).await.unwrap();
    assert_eq!(daemon.version(), 1);
}

#[tokio::test]
async fn invalid_documents_and_those_of_other_deployments_are_rejected() {
    let table = MemoryTable::new();
    let daemon = TestDaemon::start_ready(&table).await;
    daemon.service.submit(document(2), 0).await.unwrap();
    let mut other_deployment = document(3);
    other_deployment.deployment = "other".into();
    for (invalid, field) in [
        (document(0), "classes[0].weight"),
        (other_deployment, "deployment"),
    ] {
        let error = daemon.service.submit(invalid, 1).await.unwrap_err();
        let SubmitError::Invalid(errors) = error else {
            panic!("{error}");
        };
        assert_eq!(errors[0].field, field);
    }
    assert_eq!(daemon.version(), 1);
}

#[tokio::test]
async fn startup_without_the_table_enforces_the_higher_of_two_peer_versions() {
    let table = MemoryTable::new();
    table.set_fault(TableFault::Refuse, TableFault::Refuse);
    let daemon = TestDaemon::start(&table);
    daemon.service.set_peers(vec![peer(1), peer(2)]).await;
    daemon.serve_from_peer(1, versioned_policy(3, 2));
    daemon.wait_for_version(3).await;
    assert!(!daemon.service.is_ready(), "one peer is too few");
    daemon.serve_from_peer(2, versioned_policy(7, 3));
    daemon.wait_until_ready().await;
    assert_eq!(daemon.version(), 7);
}

#[tokio::test]
async fn startup_with_a_restored_table_backup_asks_peers_first() {
    let table = MemoryTable::new();
    store_policy(&table, versioned_policy(3, 2)).await;
    let daemon = TestDaemon::start(&table);
    daemon.serve_from_peer(1, versioned_policy(9, 3));
    daemon.service.set_peers(vec![peer(1)]).await;
    let early_error = daemon.service.submit(document(4), 3).await.unwrap_err();
    assert!(
        matches!(early_error, SubmitError::Conflict(_)),
        "{early_error}"
    );
    let accepted = daemon.service.submit(document(4), 9).await.unwrap();
    assert_eq!(accepted.version, 10);
    assert_eq!(stored_version(&table).await, Some(10));
}

#[tokio::test]
async fn older_table_row_is_ignored_and_replaced() {
    let table = MemoryTable::new();
    store_policy(&table, versioned_policy(3, 2)).await;
    let daemon = TestDaemon::start_ready(&table).await;
    assert_eq!(daemon.version(), 3);
    daemon.report_from_peer(1, versioned_policy(9, 3)).await;
    let policy = daemon.wait_for_version(9).await;
    let waited = timeout(WAIT_TIMEOUT, async {
        while stored_version(&table).await != Some(9) {
            sleep(Duration::from_millis(20)).await;
        }
    });
    waited.await.unwrap();
    assert_eq!(daemon.version(), 9);
    let restarted = TestDaemon::start_ready(&table).await;
    assert_eq!(restarted.wait_for_version(9).await.hash, policy.hash);
    let accepted = restarted.service.submit(document(4), 9).await.unwrap();
    assert_eq!(accepted.version, 10);
}

#[tokio::test]
async fn hash_mismatch_for_the_same_version_is_reported_once() {
    let table = MemoryTable::new();
    let daemon = TestDaemon::start_ready(&table).await;
    daemon.service.submit(document(2), 0).await.unwrap();
    let enforced = daemon.wait_for_version(1).await.hash;
    daemon.report_from_peer(1, versioned_policy(1, 3)).await;
    daemon.report_from_peer(1, versioned_policy(1, 3)).await;
    assert_eq!(daemon.event_count(EventName::PolicyRejected), 1);
    assert_eq!(daemon.service.current().borrow().hash, enforced);
}

#[tokio::test]
async fn events_record_acceptance_and_enforcement() {
    let table = MemoryTable::new();
    let daemon = TestDaemon::start_ready(&table).await;
    let mut current: watch::Receiver<_> = daemon.service.current();
    current.mark_unchanged();
    let accepted = daemon.service.submit(document(2), 0).await.unwrap();
    timeout(WAIT_TIMEOUT, current.changed())
        .await
        .unwrap()
        .unwrap();
    let events = daemon.events.since(0, 10).events;
    let kinds: Vec<_> = events.into_iter().map(|event| event.kind).collect();
    let (version, hash) = (accepted.version, accepted.hash);
    assert_eq!(
        kinds,
        [
            EventKind::PolicyAccepted { version, hash },
            EventKind::PolicyEnforced { version, hash },
        ]
    );
}
