use {
    super::{
        CoreEffect, ExchangeDiff, ExchangeDigest, ExchangePush, ExchangeReply, GossipCounters,
        MemberId, MemberRecord, MemberState, MemberView, MembershipCore, MembershipStats,
        PolicyLocation,
        actor_message::{
            AnnounceLeaving, ApplyPush, ApplyReply, BuildDigest, BuildPush, CompareDigest,
            LocalMember, ReadLocalMember, ReadStats, ReceiveDatagram, ReportExchange, SetContacts,
            SetPolicyInForce, SetTarget, StopActor,
        },
        exchange_task::run_exchange,
        membership_metrics::publish_metrics,
    },
    crate::{
        auth::SharedKey,
        error::ProcessStep,
        time::{ProcessClock, TimerTick},
    },
    rand::rngs::SmallRng,
    slog::{Logger, debug, info},
    std::{net::SocketAddr, sync::Arc},
    tokio::{
        net::UdpSocket,
        sync::{oneshot, watch},
    },
    xtra::{Actor, Context, Handler, WeakAddress},
};

/// Ticks between two updates of the metrics.
const METRICS_INTERVAL_TICKS: u32 = 20;
/// Maximum number of concurrent exchanges that this process initiates.
const MAX_INITIATED_EXCHANGES: u32 = 2;

/// Actor that runs the membership core with a clock and sockets.
#[derive(Debug)]
pub struct MembershipActor {
    core: MembershipCore,
    rng: SmallRng,
    clock: ProcessClock,
    socket: Arc<UdpSocket>,
    key: SharedKey,
    view: watch::Sender<Arc<MemberView>>,
    policy: watch::Sender<PolicyLocation>,
    leave_waiters: Vec<oneshot::Sender<()>>,
    exchange_counters: GossipCounters,
    initiated_exchanges: u32,
    send_errors: u64,
    ticks: u32,
    log: Logger,
}

/// Channels on which the actor publishes the members and the policy location.
#[derive(Debug)]
pub struct ActorOutputs {
    pub view: watch::Sender<Arc<MemberView>>,
    pub policy: watch::Sender<PolicyLocation>,
}

impl MembershipActor {
    pub fn new(
        own_record: MemberRecord,
        key: SharedKey,
        clock: ProcessClock,
        socket: Arc<UdpSocket>,
        outputs: ActorOutputs,
        log: Logger,
    ) -> Self {
        let mut rng = rand::make_rng();
        Self {
            core: MembershipCore::new(own_record, &key, clock.now(), &mut rng),
            rng,
            clock,
            socket,
            key,
            view: outputs.view,
            policy: outputs.policy,
            leave_waiters: Vec::new(),
            exchange_counters: GossipCounters::default(),
            initiated_exchanges: 0,
            send_errors: 0,
            ticks: 0,
            log,
        }
    }

    fn stats(&self) -> MembershipStats {
        let mut counters = self.core.counters();
        counters.exchanges = self.exchange_counters.exchanges;
        counters.exchange_failures = self.exchange_counters.exchange_failures;
        counters.exchange_bytes = self.exchange_counters.exchange_bytes;
        counters.send_errors = self.send_errors;
        MembershipStats::collect(&self.core, counters)
    }

    async fn apply_effects(&mut self, address: &WeakAddress<Self>) {
        let effects: Vec<_> = self.core.take_effects().collect();
        for effect in effects {
            match effect {
                CoreEffect::Send { to, datagram } => self.send(to, &datagram).await,
                CoreEffect::StartExchange { peer } => self.start_exchange(peer, address),
                CoreEffect::MemberChanged { record, previous } => {
                    self.log_change(&record, previous);
                }
            }
        }
    }

    async fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        if let Err(error) = self.socket.send_to(datagram, to).await {
            self.send_errors += 1;
            debug!(self.log, "sending a gossip datagram failed; the datagram is lost";
                "step" => %ProcessStep::SendGossip, "peer" => %to, "error" => %error);
        }
    }

    fn start_exchange(&mut self, peer: MemberId, address: &WeakAddress<Self>) {
        if self.initiated_exchanges >= MAX_INITIATED_EXCHANGES {
            return;
        }
        if let Some(actor) = address.try_upgrade() {
            self.initiated_exchanges += 1;
            let generation = self.core.key_of(peer);
            tokio::spawn(run_exchange(
                peer.address,
                self.key.clone(),
                generation,
                actor,
            ));
        }
    }

    fn log_change(&self, record: &MemberRecord, previous: Option<MemberState>) {
        let previous = previous.map_or("unknown", Into::into);
        info!(self.log, "member state changed";
            "peer" => %record.id, "data_centre" => &*record.data_centre,
            "from" => previous, "to" => %record.state);
    }

    fn publish_policy(&mut self) {
        if let Some(advertisement) = self.core.take_new_advertisement() {
            self.policy.send_replace(advertisement.into());
        }
    }

    fn publish_view(&mut self) {
        if let Some(view) = self.core.take_view() {
            self.view.send_replace(Arc::new(view));
        }
    }

    fn notify_leave_waiters(&mut self) {
        if self.core.is_leave_disseminated() {
            for waiter in self.leave_waiters.drain(..) {
                let _ = waiter.send(());
            }
        }
    }
}

impl Actor for MembershipActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<TimerTick> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, tick: TimerTick, context: &mut Context<Self>) {
        self.core.tick(tick.now, &mut self.rng);
        self.apply_effects(&context.mailbox().address()).await;
        self.publish_view();
        self.notify_leave_waiters();
        self.ticks = self.ticks.wrapping_add(1);
        if self.ticks.is_multiple_of(METRICS_INTERVAL_TICKS) {
            publish_metrics(&self.stats());
        }
    }
}

impl Handler<ReceiveDatagram> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveDatagram, context: &mut Context<Self>) {
        let now = self.clock.now();
        self.core.receive(&message.0, now, &mut self.rng);
        self.apply_effects(&context.mailbox().address()).await;
        self.publish_policy();
    }
}

impl Handler<BuildDigest> for MembershipActor {
    type Return = ExchangeDigest;

    async fn handle(&mut self, _: BuildDigest, _: &mut Context<Self>) -> ExchangeDigest {
        self.core.exchange_digest()
    }
}

impl Handler<CompareDigest> for MembershipActor {
    type Return = Option<ExchangeDiff>;

    async fn handle(
        &mut self,
        message: CompareDigest,
        _: &mut Context<Self>,
    ) -> Option<ExchangeDiff> {
        self.core.compare_digest(&message.0)
    }
}

impl Handler<BuildPush> for MembershipActor {
    type Return = ExchangePush;

    async fn handle(&mut self, message: BuildPush, _: &mut Context<Self>) -> ExchangePush {
        self.core.build_push(&message.0)
    }
}

impl Handler<ApplyPush> for MembershipActor {
    type Return = ExchangeReply;

    async fn handle(&mut self, message: ApplyPush, _: &mut Context<Self>) -> ExchangeReply {
        self.core.apply_push(message.0, self.clock.now())
    }
}

impl Handler<ApplyReply> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, message: ApplyReply, _: &mut Context<Self>) {
        self.core.apply_reply(message.0, self.clock.now());
    }
}

impl Handler<ReportExchange> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, message: ReportExchange, _: &mut Context<Self>) {
        if message.is_initiator {
            self.initiated_exchanges -= 1;
        }
        self.exchange_counters.exchange_bytes += message.bytes;
        match message.error {
            None => self.exchange_counters.exchanges += 1,
            Some(error) => {
                self.exchange_counters.exchange_failures += 1;
                debug!(self.log, "anti-entropy exchange failed; a later one transfers the records";
                    "step" => %error.step, "peer" => &error.peer, "error" => %error.source);
            }
        }
    }
}

impl Handler<SetContacts> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, message: SetContacts, _: &mut Context<Self>) {
        self.core.set_contacts(message.source, &message.addresses);
    }
}

impl Handler<SetTarget> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, message: SetTarget, _: &mut Context<Self>) {
        let now = self.clock.now();
        match message.0 {
            Some(target) => self.core.announce_target(target, now),
            None => self.core.withdraw_target(now),
        }
        self.publish_view();
    }
}

impl Handler<SetPolicyInForce> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, message: SetPolicyInForce, _: &mut Context<Self>) {
        self.core.set_policy_in_force(message.version, message.hash);
    }
}

impl Handler<AnnounceLeaving> for MembershipActor {
    type Return = oneshot::Receiver<()>;

    async fn handle(&mut self, _: AnnounceLeaving, _: &mut Context<Self>) -> oneshot::Receiver<()> {
        let (waiter, sent) = oneshot::channel();
        self.core.leave(self.clock.now());
        self.leave_waiters.push(waiter);
        self.publish_view();
        sent
    }
}

impl Handler<ReadStats> for MembershipActor {
    type Return = MembershipStats;

    async fn handle(&mut self, _: ReadStats, _: &mut Context<Self>) -> MembershipStats {
        self.stats()
    }
}

impl Handler<ReadLocalMember> for MembershipActor {
    type Return = LocalMember;

    async fn handle(&mut self, _: ReadLocalMember, _: &mut Context<Self>) -> LocalMember {
        LocalMember {
            id: self.core.own_record().id,
            live_members: self.core.registry().peers().live_count(),
        }
    }
}

impl Handler<StopActor> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, _: StopActor, context: &mut Context<Self>) {
        context.stop_all();
    }
}
