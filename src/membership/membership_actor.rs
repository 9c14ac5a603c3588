use {
    super::{
        CoreEffect, ExchangeAnswer, ExchangeOpen, ExchangePush, ExchangeReply, GossipCounters,
        MemberId, MemberRecord, MemberState, MemberView, MembershipCore, MembershipStats,
        PolicySighting,
        actor_message::{
            AcceptExchange, AnswerExchange, EndExchange, EnforcePolicy, FinishExchange,
            MemberIdentity, OpenExchange, ReadIdentity, ReadStats, ReceiveDatagram,
            ResolveExchange, SetContacts, SetTarget, SpreadLeaving, StopActor,
        },
        exchange_task::run_opener,
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

/// Ticks from one publication of the metrics to the next.
const METRICS_TICKS: u32 = 20;
/// Exchanges that this process may have open at once.
const MAX_OWN_EXCHANGES: u32 = 2;

/// Runs the core of the member role over the network.
#[derive(Debug)]
pub struct MembershipActor {
    core: MembershipCore,
    rng: SmallRng,
    clock: ProcessClock,
    socket: Arc<UdpSocket>,
    key: SharedKey,
    view: watch::Sender<Arc<MemberView>>,
    policy: watch::Sender<PolicySighting>,
    leavers: Vec<oneshot::Sender<()>>,
    exchanges: GossipCounters,
    own_exchanges: u32,
    send_errors: u64,
    ticks: u32,
    log: Logger,
}

/// Where the actor publishes what it learns.
#[derive(Debug)]
pub struct ActorOutputs {
    pub view: watch::Sender<Arc<MemberView>>,
    pub policy: watch::Sender<PolicySighting>,
}

impl MembershipActor {
    pub fn new(
        own: MemberRecord,
        key: SharedKey,
        clock: ProcessClock,
        socket: Arc<UdpSocket>,
        outputs: ActorOutputs,
        log: Logger,
    ) -> Self {
        let mut rng = rand::make_rng();
        Self {
            core: MembershipCore::new(own, &key, clock.now(), &mut rng),
            rng,
            clock,
            socket,
            key,
            view: outputs.view,
            policy: outputs.policy,
            leavers: Vec::new(),
            exchanges: GossipCounters::default(),
            own_exchanges: 0,
            send_errors: 0,
            ticks: 0,
            log,
        }
    }

    fn stats(&self) -> MembershipStats {
        let mut counters = self.core.counters();
        counters.exchanges = self.exchanges.exchanges;
        counters.exchange_failures = self.exchanges.exchange_failures;
        counters.exchange_bytes = self.exchanges.exchange_bytes;
        counters.send_errors = self.send_errors;
        MembershipStats::of(&self.core, counters)
    }

    async fn carry_out(&mut self, address: &WeakAddress<Self>) {
        let effects: Vec<_> = self.core.effects().collect();
        for effect in effects {
            match effect {
                CoreEffect::Send { to, datagram } => self.send(to, &datagram).await,
                CoreEffect::Exchange { peer } => self.start_exchange(peer, address),
                CoreEffect::Changed { record, previous } => self.log_change(&record, previous),
            }
        }
    }

    async fn send(&mut self, to: SocketAddr, datagram: &[u8]) {
        if let Err(error) = self.socket.send_to(datagram, to).await {
            self.send_errors += 1;
            debug!(self.log, "sending a datagram";
                "step" => %ProcessStep::SendGossip, "peer" => %to, "error" => %error);
        }
    }

    fn start_exchange(&mut self, peer: MemberId, address: &WeakAddress<Self>) {
        if self.own_exchanges >= MAX_OWN_EXCHANGES {
            return;
        }
        if let Some(actor) = address.try_upgrade() {
            self.own_exchanges += 1;
            tokio::spawn(run_opener(peer.address, self.key.clone(), actor));
        }
    }

    fn log_change(&self, record: &MemberRecord, previous: Option<MemberState>) {
        let previous = previous.map_or("unknown", Into::into);
        info!(self.log, "member changed";
            "peer" => %record.id, "data_centre" => &*record.data_centre,
            "from" => previous, "to" => %record.state);
    }

    fn publish_policy(&mut self) {
        if let Some(beacon) = self.core.take_beacon() {
            self.policy.send_replace(beacon.into());
        }
    }

    fn publish_view(&mut self) {
        if let Some(view) = self.core.take_view() {
            self.view.send_replace(Arc::new(view));
        }
    }

    fn release_leavers(&mut self) {
        if self.core.is_leave_spread() {
            for leaver in self.leavers.drain(..) {
                let _ = leaver.send(());
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
        self.carry_out(&context.mailbox().address()).await;
        self.publish_view();
        self.release_leavers();
        self.ticks = self.ticks.wrapping_add(1);
        if self.ticks.is_multiple_of(METRICS_TICKS) {
            publish_metrics(&self.stats());
        }
    }
}

impl Handler<ReceiveDatagram> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveDatagram, context: &mut Context<Self>) {
        let now = self.clock.now();
        self.core.receive(&message.0, now, &mut self.rng);
        self.carry_out(&context.mailbox().address()).await;
        self.publish_policy();
    }
}

impl Handler<OpenExchange> for MembershipActor {
    type Return = ExchangeOpen;

    async fn handle(&mut self, _: OpenExchange, _: &mut Context<Self>) -> ExchangeOpen {
        self.core.open_exchange()
    }
}

impl Handler<AnswerExchange> for MembershipActor {
    type Return = Option<ExchangeAnswer>;

    async fn handle(
        &mut self,
        message: AnswerExchange,
        _: &mut Context<Self>,
    ) -> Option<ExchangeAnswer> {
        self.core.answer_exchange(&message.0)
    }
}

impl Handler<ResolveExchange> for MembershipActor {
    type Return = ExchangePush;

    async fn handle(&mut self, message: ResolveExchange, _: &mut Context<Self>) -> ExchangePush {
        self.core.resolve_exchange(&message.0)
    }
}

impl Handler<AcceptExchange> for MembershipActor {
    type Return = ExchangeReply;

    async fn handle(&mut self, message: AcceptExchange, _: &mut Context<Self>) -> ExchangeReply {
        self.core.accept_exchange(message.0, self.clock.now())
    }
}

impl Handler<FinishExchange> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, message: FinishExchange, _: &mut Context<Self>) {
        self.core.finish_exchange(message.0, self.clock.now());
    }
}

impl Handler<EndExchange> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, message: EndExchange, _: &mut Context<Self>) {
        if message.is_opener {
            self.own_exchanges -= 1;
        }
        self.exchanges.exchange_bytes += message.bytes;
        match message.error {
            None => self.exchanges.exchanges += 1,
            Some(error) => {
                self.exchanges.exchange_failures += 1;
                debug!(self.log, "exchange failed";
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
            Some(target) => self.core.announce(target, now),
            None => self.core.withdraw(now),
        }
        self.publish_view();
    }
}

impl Handler<EnforcePolicy> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, message: EnforcePolicy, _: &mut Context<Self>) {
        self.core.policy_in_force(message.version, message.hash);
    }
}

impl Handler<SpreadLeaving> for MembershipActor {
    type Return = oneshot::Receiver<()>;

    async fn handle(&mut self, _: SpreadLeaving, _: &mut Context<Self>) -> oneshot::Receiver<()> {
        let (leaver, spread) = oneshot::channel();
        self.core.leave(self.clock.now());
        self.leavers.push(leaver);
        self.publish_view();
        spread
    }
}

impl Handler<ReadStats> for MembershipActor {
    type Return = MembershipStats;

    async fn handle(&mut self, _: ReadStats, _: &mut Context<Self>) -> MembershipStats {
        self.stats()
    }
}

impl Handler<ReadIdentity> for MembershipActor {
    type Return = MemberIdentity;

    async fn handle(&mut self, _: ReadIdentity, _: &mut Context<Self>) -> MemberIdentity {
        MemberIdentity {
            id: self.core.own().id,
            live_members: self.core.register().peers().live_count(),
        }
    }
}

impl Handler<StopActor> for MembershipActor {
    type Return = ();

    async fn handle(&mut self, _: StopActor, context: &mut Context<Self>) {
        context.stop_all();
    }
}
