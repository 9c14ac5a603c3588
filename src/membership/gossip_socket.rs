use {
    super::{MAX_DATAGRAM_BYTES, MembershipActor, actor_message::ReceiveDatagram},
    crate::error::{ProcessStep, StepError},
    slog::{Logger, warn},
    std::{
        io,
        net::{SocketAddr, TcpListener as StdTcpListener, UdpSocket as StdUdpSocket},
        pin::pin,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        select,
        time::sleep,
    },
    xtra::Address,
};

/// Time to wait after the socket reported an error.
const ERROR_PAUSE: Duration = Duration::from_millis(50);
/// Tries to find a port that is free for both protocols, where any may be taken.
const BIND_TRIES: usize = 16;

/// The two sockets of the member role, on one port.
#[derive(Debug)]
pub struct GossipSockets {
    pub datagrams: UdpSocket,
    pub exchanges: TcpListener,
    pub address: SocketAddr,
}

impl GossipSockets {
    /// Binds both; port 0 takes one that is free for both.
    pub fn bind(address: SocketAddr) -> Result<Self, StepError> {
        let tries = if address.port() == 0 { BIND_TRIES } else { 1 };
        let mut result = Self::try_bind(address);
        for _ in 1..tries {
            if result.is_ok() {
                break;
            }
            result = Self::try_bind(address);
        }
        result.map_err(|error| StepError::new(ProcessStep::BindListener, address, error))
    }

    fn try_bind(address: SocketAddr) -> io::Result<Self> {
        let datagrams = StdUdpSocket::bind(address)?;
        let address = datagrams.local_addr()?;
        let exchanges = StdTcpListener::bind(address)?;
        datagrams.set_nonblocking(true)?;
        exchanges.set_nonblocking(true)?;
        Ok(Self {
            datagrams: UdpSocket::from_std(datagrams)?,
            exchanges: TcpListener::from_std(exchanges)?,
            address,
        })
    }
}

/// Hands datagrams to the actor until it has stopped.
pub async fn receive_datagrams(
    socket: Arc<UdpSocket>,
    actor: Address<MembershipActor>,
    log: Logger,
) {
    // One byte more than allowed, so that the codec sees what is too long.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    let mut stopped = pin!(actor.join());
    loop {
        let received = select! {
            () = &mut stopped => break,
            received = socket.recv_from(&mut buffer) => received,
        };
        let datagram = match received {
            Ok((length, _)) => buffer[..length].to_vec(),
            Err(error) => {
                warn!(log, "receiving datagrams"; "step" => %ProcessStep::ReceiveGossip, "error" => %error);
                sleep(ERROR_PAUSE).await;
                continue;
            }
        };
        if actor.send(ReceiveDatagram(datagram)).await.is_err() {
            break;
        }
    }
}
