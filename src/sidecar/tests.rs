//! Tests of parts that are not visible outside.

use {
    super::{HopFormat, peer_formats::PeerFormats, target_probe::accepts_connections},
    crate::time::TimePoint,
    std::net::{Ipv4Addr, SocketAddr},
    tokio::{io::AsyncWriteExt, net::TcpListener},
};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn peer() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_001))
}

#[test]
fn peer_of_an_older_build_gets_the_older_format_for_some_time() {
    let formats = PeerFormats::default();
    assert_eq!(formats.format(at(0), peer()), HopFormat::WithAccount);
    assert!(formats.may_try_older(at(0), peer()));
    formats.record_older(at(0), peer(), true);
    assert_eq!(formats.format(at(9_000), peer()), HopFormat::WithoutAccount);
    assert_eq!(formats.format(at(11_000), peer()), HopFormat::WithAccount);
    assert!(formats.may_try_older(at(11_000), peer()));
}

#[test]
fn peer_without_a_target_gets_few_calls_twice() {
    let formats = PeerFormats::default();
    formats.record_older(at(0), peer(), false);
    assert_eq!(formats.format(at(100), peer()), HopFormat::WithAccount);
    assert!(!formats.may_try_older(at(100), peer()));
    assert!(formats.may_try_older(at(600), peer()));
}

#[tokio::test]
async fn target_that_sends_bytes_before_a_request_has_not_crashed() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let sending = async {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        stream.write_all(b"a").await.expect("a reader");
        stream
    };
    let (_stream, is_alive) = tokio::join!(sending, accepts_connections(address));
    assert!(is_alive);
}
