//! Tests of the faults that relays inject into TCP connections and UDP datagrams.

use {
    standins::relay::{BlockedDirection, RelayControl, TcpRelay, UdpRelay},
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, copy},
        net::{TcpListener, TcpStream, UdpSocket},
        time::timeout,
    },
};

const MAX_WAIT: Duration = Duration::from_secs(20);
/// Time in which nothing may arrive. A later arrival is not detected, so a test may miss a fault,
/// but never fails with a correct relay.
const NO_DELIVERY_WAIT: Duration = Duration::from_millis(300);

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind(loopback()).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = copy(&mut reader, &mut writer).await;
            });
        }
    });
    address
}

async fn echo(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"ping").await?;
    let mut reply = [0; 4];
    stream.read_exact(&mut reply).await?;
    assert_eq!(&reply, b"ping");
    Ok(())
}

#[tokio::test]
async fn silent_connection_stays_open_and_new_ones_work() {
    let relay = TcpRelay::start(loopback(), echo_server().await).await;
    let relay = relay.expect("a free port");
    let mut old = TcpStream::connect(relay.address()).await.expect("relay");
    echo(&mut old).await.expect("an echo");
    relay.silence();
    assert!(timeout(NO_DELIVERY_WAIT, echo(&mut old)).await.is_err());
    let mut new = TcpStream::connect(relay.address()).await.expect("relay");
    let echoed = timeout(MAX_WAIT, echo(&mut new)).await;
    echoed.expect("in time").expect("an echo");
}

#[tokio::test]
async fn reset_connection_fails_at_once() {
    let relay = TcpRelay::start(loopback(), echo_server().await).await;
    let relay = relay.expect("a free port");
    let mut old = TcpStream::connect(relay.address()).await.expect("relay");
    echo(&mut old).await.expect("an echo");
    relay.reset();
    let mut rest = Vec::new();
    let closed = timeout(MAX_WAIT, old.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the connection is still open");
    let mut new = TcpStream::connect(relay.address()).await.expect("relay");
    echo(&mut new).await.expect("an echo");
}

#[tokio::test]
async fn close_of_one_end_reaches_the_other() {
    let relay = TcpRelay::start(loopback(), echo_server().await).await;
    let relay = relay.expect("a free port");
    let mut stream = TcpStream::connect(relay.address()).await.expect("relay");
    stream.write_all(b"last").await.expect("open");
    stream.shutdown().await.expect("open");
    let mut rest = Vec::new();
    let closed = timeout(MAX_WAIT, stream.read_to_end(&mut rest)).await;
    closed.expect("in time").expect("a clean end");
    assert_eq!(rest, b"last");
}

#[tokio::test]
async fn delay_is_added_each_way() {
    let relay = TcpRelay::start(loopback(), echo_server().await).await;
    let relay = relay.expect("a free port");
    relay.set_delay(Duration::from_millis(50));
    let mut stream = TcpStream::connect(relay.address()).await.expect("relay");
    let started = std::time::Instant::now();
    echo(&mut stream).await.expect("an echo");
    assert!(started.elapsed() >= Duration::from_millis(100));
}

#[tokio::test]
async fn datagrams_are_lost_by_share_and_by_direction() {
    let target = UdpSocket::bind(loopback()).await.expect("a free port");
    let address = target.local_addr().expect("bound");
    let relay = UdpRelay::start(loopback(), address, 5).await;
    let relay = relay.expect("a free port");
    let caller = UdpSocket::bind(loopback()).await.expect("a free port");
    caller.connect(relay.address()).await.expect("relay");
    let mut buffer = [0; 16];
    for (loss_percent, blocked, is_delivered) in [
        (0, BlockedDirection::None, true),
        (100, BlockedDirection::None, false),
        (0, BlockedDirection::ToTarget, false),
        (0, BlockedDirection::ToCaller, true),
    ] {
        relay.set_control(RelayControl {
            loss_percent,
            blocked,
            ..RelayControl::default()
        });
        caller.send(b"ping").await.expect("sent");
        let limit = if is_delivered {
            MAX_WAIT
        } else {
            NO_DELIVERY_WAIT
        };
        let received = timeout(limit, target.recv_from(&mut buffer)).await;
        assert_eq!(
            received.is_ok(),
            is_delivered,
            "{loss_percent}% {blocked:?}"
        );
    }
}
