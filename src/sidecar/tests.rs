//! Tests of parts that are not visible outside.

use {
    super::{HopFormat, peer_formats::PeerFormats},
    crate::time::TimePoint,
    std::net::SocketAddr,
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
