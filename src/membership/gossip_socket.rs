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

/// Delay before the next receive after the socket failed.
const RECEIVE_ERROR_DELAY: Duration = Duration::from_millis(50);
/// Attempts to find a port that is free for both protocols, if the address has port 0.
const BIND_ATTEMPTS: usize = 16;

/// The UDP socket and the TCP listener of the membership protocol, on one port.
#[derive(Debug)]
pub struct GossipSockets {
    pub udp_socket: UdpSocket,
    pub tcp_listener: TcpListener,
    pub address: SocketAddr,
}

impl GossipSockets {
    /// Binds both sockets; port 0 selects a port that is free for both.
    pub fn bind(address: SocketAddr) -> Result<Self, StepError> {
        let attempts = if address.port() == 0 {
            BIND_ATTEMPTS
        } else {
            1
        };
        let mut result = Self::try_bind(address);
        for _ in 1..attempts {
            if result.is_ok() {
                break;
            }
            result = Self::try_bind(address);
        }
        result.map_err(|error| StepError::new(ProcessStep::BindListener, address, error))
    }

    fn try_bind(address: SocketAddr) -> io::Result<Self> {
        let udp_socket = StdUdpSocket::bind(address)?;
        let address = udp_socket.local_addr()?;
        let tcp_listener = StdTcpListener::bind(address)?;
        udp_socket.set_nonblocking(true)?;
        tcp_listener.set_nonblocking(true)?;
        Ok(Self {
            udp_socket: UdpSocket::from_std(udp_socket)?,
            tcp_listener: TcpListener::from_std(tcp_listener)?,
            address,
        })
    }
}

/// Passes received datagrams to the actor until it has stopped.
pub async fn receive_datagrams(
    socket: Arc<UdpSocket>,
    actor: Address<MembershipActor>,
    log: Logger,
) {
    // One byte above the limit, so that the codec detects datagrams that are too long.
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
                warn!(log, "receiving a gossip datagram failed; retrying after a delay";
                    "step" => %ProcessStep::ReceiveGossip, "error" => %error);
                sleep(RECEIVE_ERROR_DELAY).await;
                continue;
            }
        };
        if actor.send(ReceiveDatagram(datagram)).await.is_err() {
            break;
        }
    }
}
