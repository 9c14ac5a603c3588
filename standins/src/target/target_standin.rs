use {
    super::{
        RunLedger, TargetControl, TargetFault, TargetSettings, target_announcer::TargetAnnouncer,
        target_service::TargetService,
    },
    crate::{
        client::{CallClient, CallRouter},
        http::HttpServer,
    },
    banyantrestle::{context::ServiceName, membership::TargetState},
    std::{io, net::SocketAddr, time::Duration},
    tokio::{sync::watch, task::JoinHandle, time::sleep},
};

/// Time after the draining announcement during which calls already in transit can arrive.
const DRAIN_GRACE: Duration = Duration::from_millis(200);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running stand-in target; dropping it closes its connections immediately.
#[derive(Debug)]
pub struct TargetStandin {
    settings: TargetSettings,
    server: HttpServer,
    service: TargetService,
    ledger: RunLedger,
    state: watch::Sender<TargetState>,
    announcers: Vec<JoinHandle<()>>,
    announced: Option<AnnouncedEndpoint>,
}

/// A daemon and the address that is announced to it.
#[derive(Clone, Copy, Debug)]
struct AnnouncedEndpoint {
    daemon: SocketAddr,
    address: SocketAddr,
}

impl TargetStandin {
    /// Starts a target whose own calls go to `router`; it is not announced to a daemon yet.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(
        settings: TargetSettings,
        router: CallRouter,
        ledger: RunLedger,
    ) -> io::Result<Self> {
        let client = CallClient::new(router);
        let service = TargetService::new(settings.clone(), client, ledger.clone());
        let connections = settings.connections as usize;
        let server = HttpServer::start(settings.listen, connections, service.clone()).await?;
        service.set_address(server.address());
        Ok(Self {
            settings,
            server,
            service,
            ledger,
            state: watch::Sender::new(TargetState::Serving),
            announcers: Vec::new(),
            announced: None,
        })
    }

    /// Starts a target that calls other services through the daemon whose `local` listener is
    /// `daemon`, and announces itself there.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start_with_daemon(
        settings: TargetSettings,
        daemon: SocketAddr,
        ledger: RunLedger,
    ) -> io::Result<Self> {
        let router = CallRouter::daemons(vec![daemon]);
        let mut target = Self::start(settings, router, ledger).await?;
        let address = target.address();
        target.announce(daemon, address);
        Ok(target)
    }

    /// Announces every second to a daemon that the target listens on `address`.
    pub fn announce(&mut self, daemon: SocketAddr, address: SocketAddr) {
        self.announced = Some(AnnouncedEndpoint { daemon, address });
        if let Some(announcer) = self.announcer() {
            self.announcers.push(tokio::spawn(announcer.run()));
        }
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    #[must_use]
    pub fn service_name(&self) -> &ServiceName {
        &self.settings.service
    }

    #[must_use]
    pub fn ledger(&self) -> &RunLedger {
        &self.ledger
    }

    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.server.open_connections()
    }

    /// Number of calls received so far.
    #[must_use]
    pub fn arrived(&self) -> u64 {
        self.service.arrived()
    }

    /// Number of calls that run or wait.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.service.in_flight()
    }

    /// Sets the fault of all calls from now on.
    pub fn set_fault(&self, fault: TargetFault) {
        let change = |control: &mut TargetControl| control.fault = fault;
        self.service.control().send_modify(change);
    }

    pub fn set_control(&self, control: TargetControl) {
        self.service.control().send_replace(control);
    }

    /// Sets the multiplier of the service time from now on.
    pub fn slow_down(&self, factor: f64) {
        let change = |control: &mut TargetControl| control.service_factor = factor;
        self.service.control().send_modify(change);
    }

    /// Announces the state draining, so that daemons send no new calls.
    pub fn drain(&self) {
        self.state.send_replace(TargetState::Draining);
    }

    /// Drains the target, waits for the calls in flight, and withdraws the announcement.
    pub async fn shutdown(mut self) {
        self.abort_announcers();
        self.drain();
        let announcer = self.announcer();
        if let Some(announcer) = &announcer {
            announcer.announce().await;
            sleep(DRAIN_GRACE).await;
        }
        while self.service.in_flight() > 0 {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        if let Some(announcer) = &announcer {
            announcer.withdraw().await;
        }
        self.server.begin_shutdown();
    }

    fn announcer(&self) -> Option<TargetAnnouncer> {
        let AnnouncedEndpoint { daemon, address } = self.announced?;
        let state = self.state.subscribe();
        Some(TargetAnnouncer::new(&self.settings, daemon, address, state))
    }

    fn abort_announcers(&mut self) {
        for announcer in self.announcers.drain(..) {
            announcer.abort();
        }
    }
}

impl Drop for TargetStandin {
    fn drop(&mut self) {
        self.abort_announcers();
    }
}
