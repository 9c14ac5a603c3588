use {
    super::{RelayControl, relay_control::RelayDirection, tcp_pump::TcpPump},
    socket2::SockRef,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinHandle,
    },
};

/// Relays TCP connections to one address; dropping it stops the relay and closes its connections.
#[derive(Debug)]
pub struct TcpRelay {
    address: SocketAddr,
    accepted: Arc<AtomicU64>,
    control: watch::Sender<RelayControl>,
    task: JoinHandle<()>,
}

impl TcpRelay {
    /// Listens on `listen` and relays each connection to `target`.
    ///
    /// # Errors
    /// `listen` cannot be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let accepted = Arc::new(AtomicU64::new(0));
        let control = watch::Sender::new(RelayControl::default());
        let acceptor = RelayAcceptor {
            target,
            accepted: Arc::clone(&accepted),
            control: control.subscribe(),
        };
        let task = tokio::spawn(acceptor.run(listener));
        Ok(Self {
            address,
            accepted,
            control,
            task,
        })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections accepted so far.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::SeqCst)
    }

    pub fn set_control(&self, control: RelayControl) {
        self.control.send_replace(control);
    }

    /// Drops all bytes of the open connections from now on; new connections work.
    pub fn silence(&self) {
        let accepted = self.accepted();
        self.control
            .send_modify(|control| control.silent_below = accepted);
    }

    /// Resets the open connections; new ones work.
    pub fn reset(&self) {
        let accepted = self.accepted();
        self.control
            .send_modify(|control| control.reset_below = accepted);
    }

    pub fn set_delay(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.control
            .send_modify(|control| control.delay_ms = delay_ms);
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct RelayAcceptor {
    target: SocketAddr,
    accepted: Arc<AtomicU64>,
    control: watch::Receiver<RelayControl>,
}

impl RelayAcceptor {
    async fn run(self, listener: TcpListener) {
        loop {
            let Ok((caller, _)) = listener.accept().await else {
                continue;
            };
            let number = self.accepted.fetch_add(1, Ordering::SeqCst);
            let control = self.control.clone();
            tokio::spawn(relay(number, caller, self.target, control));
        }
    }
}

async fn relay(
    number: u64,
    caller: TcpStream,
    target: SocketAddr,
    mut control: watch::Receiver<RelayControl>,
) {
    let Ok(target) = TcpStream::connect(target).await else {
        reset(&caller);
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let caller = Arc::new(caller);
    let target = Arc::new(target);
    let to_target = TcpPump {
        number,
        direction: RelayDirection::ToTarget,
        from: Arc::clone(&caller),
        to: Arc::clone(&target),
        control: control.clone(),
    };
    let to_caller = TcpPump {
        direction: RelayDirection::ToCaller,
        from: Arc::clone(&target),
        to: Arc::clone(&caller),
        ..to_target.clone()
    };
    let pumps = async { tokio::join!(to_target.run(), to_caller.run()) };
    let is_reset = control.wait_for(|control| number < control.reset_below);
    tokio::select! {
        _ = pumps => {}
        waited = is_reset => {
            if waited.is_ok() {
                reset(&caller);
                reset(&target);
            }
        }
    }
}

/// Shuts a connection down with a linger time of zero, so that its close is a reset.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = SockRef::from(stream).shutdown(std::net::Shutdown::Both);
}
