use {
    super::{
        AcceptedPolicy, ActivePolicy, COMMIT_TIMEOUT, PeerReport, PolicyDocument, PolicyHash,
        PolicySource, PollSchedule, SubmitError, VersionReport, VersionTracker, VersionedPolicy,
        policy_actor::{
            self, FindDocument, ListedMembersChanged, MemberCountChanged, PeersChanged,
            PolicyActor, PolicyActorState, PolicyCommitted, VersionReported, randomly_seeded_rng,
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

/// Interval at which the actor checks for due polls, fetches and readiness.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Services and data sources that the policy service uses.
pub struct PolicyDependencies<T, S> {
    pub table: T,
    pub source: S,
    pub events: EventLog,
    pub logger: Logger,
    pub clock: ProcessClock,
}

/// Handle to the policy service of one daemon; clones share the same service.
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
    /// Starts the service with the built-in policy; the first poll of the table service is due
    /// immediately.
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

    /// Returns a receiver of the policy in force and of each change.
    #[must_use]
    pub fn current(&self) -> watch::Receiver<Arc<ActivePolicy>> {
        self.current.clone()
    }

    /// Returns a receiver of whether the daemon knows enough to accept calls.
    #[must_use]
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    #[must_use]
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Records the version reported by the daemon with the mesh address `peer`.
    pub async fn record_peer_version(&self, version: u64, hash: PolicyHash, peer: SocketAddr) {
        let report = VersionReport { version, hash };
        // Sending fails only if the actor has stopped and no longer needs reports.
        let _ = self
            .actor
            .send(VersionReported(PeerReport { peer, report }))
            .await;
    }

    /// Sets the number of members, this one included; all members share one poll rate.
    pub async fn set_member_count(&self, members: u32) {
        // Sending fails only if the actor has stopped and no longer polls.
        let _ = self.actor.send(MemberCountChanged(members)).await;
    }

    /// Sets the number of other daemons that the member table lists; while there are any, a
    /// starting daemon waits longer for their versions.
    pub async fn set_listed_members(&self, members: usize) {
        // Sending fails only if the actor has stopped and is ready no more.
        let _ = self.actor.send(ListedMembersChanged(members)).await;
    }

    /// Sets the mesh addresses of all other members, to fetch from.
    pub async fn set_peers(&self, peers: Vec<SocketAddr>) {
        // Sending fails only if the actor has stopped and no longer fetches.
        let _ = self.actor.send(PeersChanged(peers)).await;
    }

    /// Commits a document based on version `base_version` and enforces it at this daemon.
    ///
    /// The commit starts once the daemon is ready, and completes even if the returned future is
    /// dropped.
    ///
    /// # Errors
    /// The document is invalid, another version was accepted after `base_version`, or the table
    /// service does not respond.
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

    /// Waits until the version in force is known, since a submission could otherwise be based on an
    /// outdated version.
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
