use {
    super::{
        ContactSource, MemberView, MembershipActor, MembershipSettings, MembershipStats,
        PolicyLocation, TICK_INTERVAL, TargetAnnouncement,
        actor_message::{AnnounceLeaving, ReadStats, SetContacts, SetPolicyInForce, StopActor},
        bootstrap_task::BootstrapTask,
        exchange_task::serve_exchanges,
        gossip_socket::{GossipSockets, receive_datagrams},
        membership_actor::ActorOutputs,
        target_publisher::TargetPublisher,
    },
    crate::{
        error::StepError,
        table::TableStore,
        time::{ProcessClock, TimerService},
    },
    slog::{Logger, info},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::watch, time::timeout},
    xtra::{Address, Mailbox},
};

/// Maximum time to wait until the leaving state is disseminated.
pub const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Messages that may wait for the actor; further datagrams wait in the socket or are lost there.
const MAILBOX_CAPACITY: usize = 1_024;

/// Handle of the running membership actor of a process.
#[derive(Clone, Debug)]
pub struct MembershipHandle {
    address: SocketAddr,
    actor: Address<MembershipActor>,
    view: watch::Receiver<Arc<MemberView>>,
    policy: watch::Receiver<PolicyLocation>,
    listed: watch::Receiver<Option<usize>>,
    target_publisher: Arc<TargetPublisher>,
}

impl MembershipHandle {
    /// Binds the sockets, starts the actor and its tasks, and begins to join; must be called within
    /// a Tokio runtime.
    ///
    /// # Errors
    /// The gossip address can't be bound.
    pub fn start<S: TableStore>(
        settings: MembershipSettings,
        store: S,
        timers: TimerService,
        clock: ProcessClock,
        log: Logger,
    ) -> Result<Self, StepError> {
        let sockets = GossipSockets::bind(settings.gossip)?;
        let mut address = settings.id.address;
        if address.port() == 0 {
            address.set_port(sockets.address.port());
        }
        info!(log, "membership protocol started"; "address" => %address);
        let (view_sender, view) = watch::channel(Arc::default());
        let (policy_sender, policy) = watch::channel(PolicyLocation {
            version: 0,
            hash: 0,
            holder: settings.mesh,
        });
        let (listed_sender, listed) = watch::channel(None);
        let outputs = ActorOutputs {
            view: view_sender,
            policy: policy_sender,
        };
        let socket = Arc::new(sockets.udp_socket);
        let actor = MembershipActor::new(
            settings.initial_record(address),
            settings.key.clone(),
            clock,
            socket.clone(),
            outputs,
            log.clone(),
        );
        let actor = xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_CAPACITY));
        let bootstrap = BootstrapTask {
            store,
            actor: actor.clone(),
            view: view.clone(),
            listed: listed_sender,
            clock,
            log: log.clone(),
        };
        timers.subscribe(TICK_INTERVAL, actor.clone());
        tokio::spawn(receive_datagrams(socket, actor.clone(), log));
        tokio::spawn(serve_exchanges(
            sockets.tcp_listener,
            settings.key,
            actor.clone(),
        ));
        tokio::spawn(run_bootstrap(bootstrap, settings.peers));
        Ok(Self {
            address,
            target_publisher: Arc::new(TargetPublisher::start(actor.clone())),
            actor,
            view,
            policy,
            listed,
        })
    }

    /// Gossip address at which others reach this process.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// The members. Changes are published at most once per tick, those of this process immediately.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<MemberView>> {
        self.view.clone()
    }

    /// The highest policy version that another member advertised; version 0 if none did.
    #[must_use]
    pub fn highest_policy(&self) -> watch::Receiver<PolicyLocation> {
        self.policy.clone()
    }

    /// Number of other daemons that the member table lists, whether they live or not; `None` until
    /// the table has been read.
    #[must_use]
    pub fn listed_members(&self) -> watch::Receiver<Option<usize>> {
        self.listed.clone()
    }

    /// Disseminates the announcement of the local target; `None` if there is none any more.
    ///
    /// The last call counts, so a caller that derives the announcement from a state behind a lock
    /// has to hold the lock during the call.
    pub fn set_target(&self, target: Option<TargetAnnouncement>) {
        self.target_publisher.set(target);
    }

    /// Waits until the view of this process has the announcement that was set last.
    pub async fn wait_until_target_published(&self) {
        self.target_publisher.wait_until_published().await;
    }

    /// Replaces the gossip addresses from the settings.
    pub async fn set_peers(&self, peers: Vec<SocketAddr>) {
        let contacts = SetContacts {
            source: ContactSource::Settings,
            addresses: peers,
        };
        let _ = self.actor.send(contacts).await;
    }

    /// Sets the policy version in force in this process, and advertises it to the others.
    pub async fn set_policy_in_force(&self, version: u64, hash: u64) {
        let _ = self.actor.send(SetPolicyInForce { version, hash }).await;
    }

    /// Disseminates that this process is leaving, and waits until that is sent, for at most
    /// [`LEAVE_TIMEOUT`]; the process stays a member until [`Self::stop`].
    pub async fn leave(&self) {
        if let Ok(sent) = self.actor.send(AnnounceLeaving).await {
            let _ = timeout(LEAVE_TIMEOUT, sent).await;
        }
    }

    /// Counters since the start and current member counts.
    pub async fn stats(&self) -> MembershipStats {
        self.actor.send(ReadStats).await.unwrap_or_default()
    }

    /// Stops the actor without notifying other members.
    pub async fn stop(&self) {
        let _ = self.actor.send(StopActor).await;
    }
}

async fn run_bootstrap<S: TableStore>(bootstrap: BootstrapTask<S>, peers: Vec<SocketAddr>) {
    let contacts = SetContacts {
        source: ContactSource::Settings,
        addresses: peers,
    };
    let _ = bootstrap.actor.send(contacts).await;
    bootstrap.run().await;
}
