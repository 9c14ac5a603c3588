//! Tests of the connections between daemons.

use {
    super::{
        AnswerBody, ConnectionGate, ListenerLimits, MeshPool, NoHold, SendFailure, bind, serve_mesh,
    },
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::{BodyExt, Full},
    hyper::body::Incoming,
    standins::relay::TcpRelay,
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
    tokio::time::Instant,
};

const SILENCE: Duration = Duration::from_millis(500);
/// Far beyond the silence, so that only the PINGs can end a call.
const DEADLINE: Duration = Duration::from_secs(120);

async fn start_echo() -> SocketAddr {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = bind(any).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let limits = ListenerLimits {
        header_bytes: 16 * 1024,
        header_timeout: DEADLINE,
        connections: 16,
        silence: DEADLINE,
    };
    let echo = |request: Request<Incoming>| async {
        let body = request.into_body().collect().await.expect("a body");
        Response::new(AnswerBody::<NoHold>::whole(body.to_bytes(), None))
    };
    tokio::spawn(serve_mesh(
        listener,
        limits,
        ConnectionGate::default(),
        echo,
    ));
    address
}

async fn exchange(
    pool: &MeshPool,
    peer: SocketAddr,
    text: &'static str,
) -> Result<Bytes, SendFailure> {
    let request = Request::post(format!("http://{peer}/x"))
        .body(Full::new(Bytes::from_static(text.as_bytes())))
        .expect("a request");
    let response = pool.send(peer, request, Instant::now() + DEADLINE).await?;
    let body = response.into_body().collect().await.expect("a body");
    Ok(body.to_bytes())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_is_found_by_pings_and_replaced() {
    let echo = start_echo().await;
    let relay = TcpRelay::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), echo)
        .await
        .expect("a free port");
    let pool = MeshPool::new(SILENCE);
    let first = exchange(&pool, relay.address(), "first").await;
    assert_eq!(first.expect("an answer"), "first");
    relay.silence();
    let lost = exchange(&pool, relay.address(), "lost").await;
    assert!(matches!(lost, Err(SendFailure::Broken(_))), "{lost:?}");
    let next = exchange(&pool, relay.address(), "next").await;
    assert_eq!(next.expect("an answer over a new connection"), "next");
}
