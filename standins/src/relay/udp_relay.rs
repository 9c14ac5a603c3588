use {
    super::{RelayControl, relay_control::RelayDirection},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{collections::HashMap, io, net::SocketAddr, sync::Arc},
    tokio::{
        net::UdpSocket,
        sync::watch,
        task::{JoinHandle, JoinSet},
        time::sleep,
    },
};

const DATAGRAM_BYTES: usize = 64 * 1024;

/// Relays datagrams to one address and back; dropping it stops the relay.
#[derive(Debug)]
pub struct UdpRelay {
    address: SocketAddr,
    control: watch::Sender<RelayControl>,
    task: JoinHandle<()>,
}

impl UdpRelay {
    /// Relays from `listen` to `target`; `seed` determines which datagrams are dropped.
    ///
    /// # Errors
    /// `listen` cannot be bound.
    pub async fn start(listen: SocketAddr, target: SocketAddr, seed: u64) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(listen).await?);
        let address = socket.local_addr()?;
        let control = watch::Sender::new(RelayControl::default());
        let forwarder = DatagramForwarder {
            socket,
            target,
            control: control.subscribe(),
            random: SmallRng::seed_from_u64(seed),
            peers: HashMap::new(),
            returns: JoinSet::new(),
        };
        let task = tokio::spawn(forwarder.run());
        Ok(Self {
            address,
            control,
            task,
        })
    }

    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn set_control(&self, control: RelayControl) {
        self.control.send_replace(control);
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct DatagramForwarder {
    socket: Arc<UdpSocket>,
    target: SocketAddr,
    control: watch::Receiver<RelayControl>,
    random: SmallRng,
    peers: HashMap<SocketAddr, Arc<UdpSocket>>,
    returns: JoinSet<()>,
}

impl DatagramForwarder {
    async fn run(mut self) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok((length, caller)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Ok(peer) = self.peer(caller).await else {
                continue;
            };
            let control = *self.control.borrow();
            if is_delivered(&control, RelayDirection::ToTarget, &mut self.random) {
                send_later(peer, self.target, buffer[..length].to_vec(), &control);
            }
        }
    }

    /// The socket that exchanges datagrams with the target for `caller`, bound on first use.
    async fn peer(&mut self, caller: SocketAddr) -> io::Result<Arc<UdpSocket>> {
        if let Some(peer) = self.peers.get(&caller) {
            return Ok(Arc::clone(peer));
        }
        let bound = SocketAddr::new(self.socket.local_addr()?.ip(), 0);
        let peer = Arc::new(UdpSocket::bind(bound).await?);
        self.peers.insert(caller, Arc::clone(&peer));
        let return_forwarder = ReturnForwarder {
            caller,
            from: Arc::clone(&peer),
            socket: Arc::clone(&self.socket),
            control: self.control.clone(),
            random: SmallRng::seed_from_u64(self.random.random()),
        };
        self.returns.spawn(return_forwarder.run());
        Ok(peer)
    }
}

struct ReturnForwarder {
    caller: SocketAddr,
    from: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    control: watch::Receiver<RelayControl>,
    random: SmallRng,
}

impl ReturnForwarder {
    async fn run(mut self) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok((length, _)) = self.from.recv_from(&mut buffer).await else {
                continue;
            };
            let control = *self.control.borrow();
            if is_delivered(&control, RelayDirection::ToCaller, &mut self.random) {
                let socket = Arc::clone(&self.socket);
                send_later(socket, self.caller, buffer[..length].to_vec(), &control);
            }
        }
    }
}

fn is_delivered(control: &RelayControl, direction: RelayDirection, random: &mut SmallRng) -> bool {
    let draw = random.random_range(0..100_u8);
    !control.is_blocked(direction) && draw >= control.loss_percent
}

fn send_later(socket: Arc<UdpSocket>, to: SocketAddr, bytes: Vec<u8>, control: &RelayControl) {
    let delay = control.delay();
    tokio::spawn(async move {
        if !delay.is_zero() {
            sleep(delay).await;
        }
        // A datagram that cannot be sent counts as lost.
        let _ = socket.send_to(&bytes, to).await;
    });
}
