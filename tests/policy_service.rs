//! Submission, spread and start of the policy against a table service that fails.

use {
    banyantrestle::{
        error::{ProcessStep, StepError},
        events::{EventKind, EventLog, EventName},
        membership::MemberId,
        policy::{
            ActivePolicy, POLICY_KEY, POLICY_TABLE, PolicyDocument, PolicyParts, PolicyService,
            PolicySource, SubmitError, VersionedPolicy,
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

/// Wait for a condition; far longer than it takes.
const PATIENCE: Duration = Duration::from_secs(30);
/// Time that a peer takes to answer.
const FETCH_DELAY: Duration = Duration::from_millis(20);

type Service = PolicyService<MemoryTable, PeerPolicies>;

/// Policies that peers give out by their mesh address.
#[derive(Clone, Default)]
struct PeerPolicies(Arc<Mutex<HashMap<SocketAddr, VersionedPolicy>>>);

impl PolicySource for PeerPolicies {
    async fn fetch(&self, peer: SocketAddr) -> Result<VersionedPolicy, StepError> {
        sleep(FETCH_DELAY).await;
        let policy = self.0.lock().unwrap().get(&peer).cloned();
        policy.ok_or_else(|| StepError::new(ProcessStep::LoadPolicy, peer, "cut off"))
    }
}

struct Daemon {
    service: Service,
    events: EventLog,
    peers: PeerPolicies,
}

impl Daemon {
    fn start(table: &MemoryTable) -> Self {
        let clock = ProcessClock::start();
        let process = MemberId {
            address: peer(0),
            started_ms: 1,
        };
        let events = EventLog::new(process, clock, 100);
        let peers = PeerPolicies::default();
        let service = PolicyService::start(PolicyParts {
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

    async fn started(table: &MemoryTable) -> Self {
        let daemon = Self::start(table);
        daemon.wait_ready().await;
        daemon
    }

    async fn wait_ready(&self) {
        let mut ready = self.service.ready();
        let waited = timeout(PATIENCE, ready.wait_for(|ready| *ready)).await;
        waited.unwrap().unwrap();
    }

    async fn wait_version(&self, version: u64) -> Arc<ActivePolicy> {
        let mut current = self.service.current();
        let waited = timeout(
            PATIENCE,
            current.wait_for(|policy| policy.version >= version),
        )
        .await;
        waited.unwrap().unwrap().clone()
    }

    fn version(&self) -> u64 {
        self.service.current().borrow().version
    }

    /// A peer gives a document out and tells nothing.
    fn give(&self, number: u16, policy: VersionedPolicy) {
        self.peers.0.lock().unwrap().insert(peer(number), policy);
    }

    /// A peer tells its version; it gives the document out.
    async fn hear(&self, number: u16, policy: VersionedPolicy) {
        let hash = policy.hash();
        let version = policy.version;
        self.give(number, policy);
        self.service.heard(version, hash, peer(number)).await;
    }

    fn count(&self, name: EventName) -> usize {
        let page = self.events.since(0, 100);
        let events = page.events.iter().map(|event| event.kind.name());
        events.filter(|kind| *kind == name).count()
    }
}

fn peer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

fn document(weight: u32) -> PolicyDocument {
    let mut document = PolicyDocument::initial();
    document.deployment = "test".into();
    document.classes[0].weight = weight;
    document
}

fn versioned(version: u64, weight: u32) -> VersionedPolicy {
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

async fn store(table: &MemoryTable, policy: VersionedPolicy) {
    let daemon = Daemon::started(table).await;
    daemon.hear(1, policy.clone()).await;
    daemon.wait_version(policy.version).await;
    // The daemon puts the higher version into the table.
    let waited = timeout(PATIENCE, async {
        while stored_version(table).await != Some(policy.version) {
            sleep(Duration::from_millis(20)).await;
        }
    });
    waited.await.unwrap();
}

#[tokio::test]
async fn of_two_operators_one_is_told_what_changed() {
    let table = MemoryTable::new();
    let one = Daemon::started(&table).await;
    let other = Daemon::started(&table).await;
    one.service.submit(document(2), 0).await.unwrap();
    other.wait_version(1).await;
    let (first, second) = tokio::join!(
        one.service.submit(document(3), 1),
        other.service.submit(document(4), 1),
    );
    let (won, lost) = match (first, second) {
        (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => (won, lost),
        both => panic!("not one of each: {both:?}"),
    };
    assert_eq!(won.version, 2);
    let SubmitError::Conflict(conflict) = lost else {
        panic!("{lost}");
    };
    assert_eq!(conflict.current.version, 2);
    let change = &conflict.changes[0];
    assert_eq!(conflict.changes.len(), 1);
    assert_eq!(change.field, "classes[write].weight");
    assert_eq!(change.base.as_deref(), Some("2"));
    assert!(change.is_clash());
    assert_eq!(one.wait_version(2).await.hash, won.hash);
    assert_eq!(other.wait_version(2).await.hash, won.hash);
}

#[tokio::test]
async fn a_lost_answer_is_settled() {
    for faults in [
        &[TableFault::LoseAnswer][..],
        &[TableFault::LoseRequest],
        &[TableFault::LoseAnswer, TableFault::LoseAnswer],
        &[TableFault::LoseRequest, TableFault::Refuse],
    ] {
        let table = MemoryTable::new();
        let daemon = Daemon::started(&table).await;
        table.script_writes(faults);
        let accepted = daemon.service.submit(document(2), 0).await.unwrap();
        assert_eq!(accepted.version, 1, "{faults:?}");
        assert_eq!(daemon.version(), 1);
        assert_eq!(stored_version(&table).await, Some(1));
        assert_eq!(daemon.count(EventName::PolicyAccepted), 1);
    }
}

#[tokio::test]
async fn a_write_that_lands_late_changes_nothing() {
    let table = MemoryTable::new();
    let daemon = Daemon::started(&table).await;
    let late = Duration::from_millis(400);
    table.script_writes(&[TableFault::LateEffect(late)]);
    daemon.service.submit(document(2), 0).await.unwrap();
    daemon.service.submit(document(3), 1).await.unwrap();
    sleep(late * 2).await;
    assert_eq!(stored_version(&table).await, Some(2));
    assert_eq!(daemon.version(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_commit_without_any_answer_is_unknown() {
    let table = MemoryTable::new();
    let daemon = Daemon::started(&table).await;
    table.script_reads(&[TableFault::None]);
    table.set_fault(TableFault::LoseAnswer, TableFault::Refuse);
    let error = daemon.service.submit(document(2), 0).await.unwrap_err();
    assert!(
        matches!(error, SubmitError::Unknown { version: 1, .. }),
        "{error}"
    );
    assert_eq!(daemon.count(EventName::PolicyAccepted), 0);
    table.set_fault(TableFault::None, TableFault::None);
    let again = daemon.service.submit(document(2), 0).await.unwrap();
    assert_eq!(
        again.version, 1,
        "the same document again is the same version"
    );
}

#[tokio::test]
async fn a_refused_commit_is_not_accepted() {
    let table = MemoryTable::new();
    let daemon = Daemon::started(&table).await;
    table.script_writes(&[TableFault::Refuse]);
    let error = daemon.service.submit(document(2), 0).await.unwrap_err();
    assert!(matches!(error, SubmitError::Unavailable(_)), "{error}");
    assert_eq!(stored_version(&table).await, None);
    assert_eq!(daemon.version(), 0);
}

#[tokio::test]
async fn a_slow_table_delays_a_commit_only() {
    let table = MemoryTable::new();
    let daemon = Daemon::started(&table).await;
    table.set_delay(Duration::from_millis(300));
    daemon.service.submit(document(2), 0).await.unwrap();
    assert_eq!(daemon.version(), 1);
}

#[tokio::test]
async fn invalid_documents_and_those_of_other_deployments_are_refused() {
    let table = MemoryTable::new();
    let daemon = Daemon::started(&table).await;
    daemon.service.submit(document(2), 0).await.unwrap();
    let mut foreign = document(3);
    foreign.deployment = "other".into();
    for (refused, field) in [(document(0), "classes[0].weight"), (foreign, "deployment")] {
        let error = daemon.service.submit(refused, 1).await.unwrap_err();
        let SubmitError::Invalid(errors) = error else {
            panic!("{error}");
        };
        assert_eq!(errors[0].field, field);
    }
    assert_eq!(daemon.version(), 1);
}

#[tokio::test]
async fn a_start_without_the_table_takes_the_highest_of_two_peers() {
    let table = MemoryTable::new();
    table.set_fault(TableFault::Refuse, TableFault::Refuse);
    let daemon = Daemon::start(&table);
    daemon.service.set_peers(vec![peer(1), peer(2)]).await;
    daemon.give(1, versioned(3, 2));
    daemon.wait_version(3).await;
    assert!(!daemon.service.is_ready(), "one peer is too few");
    daemon.give(2, versioned(7, 3));
    daemon.wait_ready().await;
    assert_eq!(daemon.version(), 7);
}

#[tokio::test]
async fn a_start_on_a_restored_backup_hears_the_peers_first() {
    let table = MemoryTable::new();
    store(&table, versioned(3, 2)).await;
    let daemon = Daemon::start(&table);
    daemon.give(1, versioned(9, 3));
    daemon.service.set_peers(vec![peer(1)]).await;
    let early = daemon.service.submit(document(4), 3).await.unwrap_err();
    assert!(matches!(early, SubmitError::Conflict(_)), "{early}");
    let accepted = daemon.service.submit(document(4), 9).await.unwrap();
    assert_eq!(accepted.version, 10);
    assert_eq!(stored_version(&table).await, Some(10));
}

#[tokio::test]
async fn a_table_with_an_older_policy_reverts_nothing_and_is_put_right() {
    let table = MemoryTable::new();
    store(&table, versioned(3, 2)).await;
    let daemon = Daemon::started(&table).await;
    assert_eq!(daemon.version(), 3);
    daemon.hear(1, versioned(9, 3)).await;
    let policy = daemon.wait_version(9).await;
    let waited = timeout(PATIENCE, async {
        while stored_version(&table).await != Some(9) {
            sleep(Duration::from_millis(20)).await;
        }
    });
    waited.await.unwrap();
    assert_eq!(daemon.version(), 9);
    let restarted = Daemon::started(&table).await;
    assert_eq!(restarted.wait_version(9).await.hash, policy.hash);
    let accepted = restarted.service.submit(document(4), 9).await.unwrap();
    assert_eq!(accepted.version, 10);
}

#[tokio::test]
async fn another_document_under_the_same_version_is_told_loudly() {
    let table = MemoryTable::new();
    let daemon = Daemon::started(&table).await;
    daemon.service.submit(document(2), 0).await.unwrap();
    let enforced = daemon.wait_version(1).await.hash;
    daemon.hear(1, versioned(1, 3)).await;
    daemon.hear(1, versioned(1, 3)).await;
    assert_eq!(daemon.count(EventName::PolicyRejected), 1);
    assert_eq!(daemon.service.current().borrow().hash, enforced);
}

#[tokio::test]
async fn events_tell_what_was_enforced() {
    let table = MemoryTable::new();
    let daemon = Daemon::started(&table).await;
    let mut current: watch::Receiver<_> = daemon.service.current();
    current.mark_unchanged();
    let accepted = daemon.service.submit(document(2), 0).await.unwrap();
    timeout(PATIENCE, current.changed()).await.unwrap().unwrap();
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
