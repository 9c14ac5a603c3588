use {
    super::{
        AcceptedPolicy, ActivePolicy, COMMIT_TIMEOUT, PeerReport, PolicyDocument, PolicyHash,
        PolicySource, PollSchedule, SubmitError, VersionReport, VersionTracker, VersionedPolicy,
        policy_actor::{
            self, FindDocument, MemberCountChanged, PeersChanged, PolicyActor, PolicyActorState,
            PolicyCommitted, VersionReported, randomly_seeded_rng,
        },
        policy_commit::PolicyCommit,
        policy_table::PolicyTable,
    },
    crate::{
        error::{ProcessStep, StepError},
        events::EventLog,
        table::TableStore,
        time::{ProcessClock, TimerService},
    },
    slog::Logger,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::watch, time::timeout},
    xtra::Address,
};

/// Time between two rounds of the version decisions.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// What the policy service works with.
pub struct PolicyDependencies<T, S> {
    pub table: T,
    pub source: S,
    pub events: EventLog,
    pub logger: Logger,
    pub clock: ProcessClock,
}

/// Handle of the policy service of one daemon; clones share it.
pub struct PolicyService<T: TableStore, S: PolicySource> {
    table: PolicyTable<T>,
    actor: Address<PolicyActor<T, S>>,
    current: watch::Receiver<Arc<ActivePolicy>>,
    ready: watch::Receiver<bool>,
}

impl<T: TableStore, S: PolicySource> Clone for PolicyService<T, S> {
    fn clone(&self) -> Self {
        Self {
            table: self.table.clone(),
            actor: self.actor.clone(),
            current: self.current.clone(),
            ready: self.ready.clone(),
        }
    }
}

impl<T: TableStore, S: PolicySource> PolicyService<T, S> {
    /// Starts with the built-in policy; the first poll of the table service runs at once.
    #[must_use]
    pub fn start(dependencies: PolicyDependencies<T, S>) -> Self {
        let tracker = VersionTracker::new();
        let (current_sender, current) = watch::channel(Arc::clone(tracker.current()));
        let (ready_sender, ready) = watch::channel(false);
        let table = PolicyTable::new(dependencies.table);
        let schedule = PollSchedule::new(dependencies.clock.now());
        let actor = policy_actor::spawn(PolicyActor {
            table: table.clone(),
            source: dependencies.source,
            events: dependencies.events,
            logger: dependencies.logger,
            clock: dependencies.clock,
            current: current_sender,
            ready: ready_sender,
            state: PolicyActorState::new(tracker, schedule, randomly_seeded_rng()),
        });
        TimerService::new(dependencies.clock).subscribe(TICK_INTERVAL, actor.clone());
        Self {
            table,
            actor,
            current,
            ready,
        }
    }

    /// The policy in force, and each one that follows.
    #[must_use]
    pub fn current(&self) -> watch::Receiver<Arc<ActivePolicy>> {
        self.current.clone()
    }

    /// Whether the daemon knows enough to take work, and each change of that.
    #[must_use]
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    #[must_use]
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Takes in the version that the daemon with the mesh address `peer` has.
    pub async fn record_peer_version(&self, version: u64, hash: PolicyHash, peer: SocketAddr) {
        let report = VersionReport { version, hash };
        // A stopped actor needs no reports.
        let _ = self
            .actor
            .send(VersionReported(PeerReport { peer, report }))
            .await;
    }

    /// Members of the deployment, this one included; the rate of polls is shared out over them.
    pub async fn set_member_count(&self, members: u32) {
        // A stopped actor polls no more.
        let _ = self.actor.send(MemberCountChanged(members)).await;
    }

    /// Mesh addresses of all other members, to fetch from.
    pub async fn set_peers(&self, peers: Vec<SocketAddr>) {
        // A stopped actor fetches no more.
        let _ = self.actor.send(PeersChanged(peers)).await;
    }

    /// Commits a document that was made from version `base_version` and enforces it here.
    ///
    /// It waits until the daemon is ready, and goes on to its end even if the caller stops waiting.
    ///
    /// # Errors
    /// The document is invalid, another version was accepted since, or the table service does not
    /// answer.
    pub async fn submit(
        &self,
        document: PolicyDocument,
        base_version: u64,
    ) -> Result<AcceptedPolicy, SubmitError> {
        let service = self.clone();
        let task = tokio::spawn(async move { service.commit(document, base_version).await });
        task.await.unwrap_or(Err(SubmitError::Stopped))
    }

    async fn commit(
        &self,
        document: PolicyDocument,
        base_version: u64,
    ) -> Result<AcceptedPolicy, SubmitError> {
        self.wait_until_ready().await?;
        let found = self.actor.send(FindDocument(base_version)).await;
        let base = found.map_err(|_| SubmitError::Stopped)?;
        let enforced = self.current.borrow().to_versioned();
        let commit = PolicyCommit {
            table: self.table.clone(),
            document,
            base_version,
            base,
            enforced,
        };
        let committed = commit.run(&mut randomly_seeded_rng()).await?;
        self.enforce_committed(committed).await
    }

    /// A daemon that may not know the version in force accepts none on top of it.
    async fn wait_until_ready(&self) -> Result<(), SubmitError> {
        let mut ready = self.ready.clone();
        let waited = timeout(COMMIT_TIMEOUT, ready.wait_for(|is_ready| *is_ready)).await;
        match waited {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) => Err(SubmitError::Stopped),
            Err(_) => {
                let reason = "the daemon does not know the version in force yet";
                Err(StepError::new(ProcessStep::LoadPolicy, "table policy", reason).into())
            }
        }
    }

    async fn enforce_committed(
        &self,
        committed: VersionedPolicy,
    ) -> Result<AcceptedPolicy, SubmitError> {
        let accepted = AcceptedPolicy {
            version: committed.version,
            hash: committed.hash(),
        };
        let enforced = self.actor.send(PolicyCommitted(committed)).await;
        enforced.map_err(|_| SubmitError::Stopped)?;
        Ok(accepted)
    }
}
