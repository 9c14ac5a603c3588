//! Tests of parts that are not visible outside.

use {
    super::{
        HopContext, HopFormat,
        call_table::{CallTable, MAX_TARGET_DELAY, TableCall},
        peer_formats::PeerFormats,
        target_probe::accepts_connections,
    },
    crate::{
        context::ServiceName,
        time::{ClockId, ClockReading, TimePoint},
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
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

#[derive(Debug)]
struct EndingCall(TimePoint);

impl TableCall for EndingCall {
    fn deadline(&self) -> TimePoint {
        self.0
    }
}

fn call_table() -> Arc<CallTable<EndingCall>> {
    Arc::default()
}

#[test]
fn abandoned_call_is_known_until_its_target_has_ended_it() {
    let table = call_table();
    let guard = table.insert("a", EndingCall(at(1_000)));
    for id in ["a.0", "a.0.1", "a.0.1.2.3"] {
        assert!(table.parent_of(at(0), id).is_some(), "{id}");
    }
    for id in ["a", "", ".", "b.0", "a0.0", "a.0.1.2.3.4"] {
        assert!(table.parent_of(at(0), id).is_none(), "{id}");
    }
    assert!(table.has_active(at(0)));
    drop(guard);
    let last = at(1_000) + MAX_TARGET_DELAY;
    // A stop waits for a target that counts the deadline later, and for no other abandoned call.
    for (now, is_active) in [
        (at(0), false),
        (at(999), false),
        (at(1_000), true),
        (last, false),
    ] {
        assert_eq!(table.has_active(now), is_active, "{now:?}");
    }
    let guard = table.insert("a", EndingCall(at(1_000)));
    drop(guard);
    assert!(
        table
            .parent_of(last - Duration::from_millis(1), "a.0")
            .is_some()
    );
    assert!(table.parent_of(last, "a.0").is_none());
    assert!(!table.is_incomplete(last));
}

#[test]
fn completed_call_is_forgotten_at_once() {
    let table = call_table();
    table.insert("a", EndingCall(at(1_000))).finish();
    assert!(table.parent_of(at(0), "a.0").is_none());
    assert!(!table.has_active(at(0)));
}

/// A call that is sent to the same target again has the id of the one before.
#[test]
fn the_end_of_one_attempt_does_not_hide_another() {
    for is_newer_first in [true, false] {
        let table = call_table();
        let older = table.insert("a", EndingCall(at(1_000)));
        let newer = table.insert("a", EndingCall(at(2_000)));
        let (first, second) = if is_newer_first {
            (newer, older)
        } else {
            (older, newer)
        };
        first.finish();
        assert!(table.parent_of(at(0), "a.0").is_some());
        second.finish();
        assert!(table.parent_of(at(0), "a.0").is_none());
    }
}

#[test]
fn abandoned_calls_have_a_memory_bound_that_is_told() {
    const CALLS_PER_SECOND: u64 = 10_000;
    const DEADLINE: Duration = Duration::from_secs(5);
    let table = call_table();
    for number in 0..CALLS_PER_SECOND * 6 {
        let now = at(number * 1_000 / CALLS_PER_SECOND);
        drop(table.insert(&format!("{number:016x}"), EndingCall(now + DEADLINE)));
        table.remove_ended(now);
    }
    let now = at(6_000);
    let known = table.select(now, usize::MAX, |_| true).len();
    assert!((10_000..20_000).contains(&known), "{known}");
    assert!(table.is_incomplete(now), "a parent may be missing");
    assert!(!table.is_incomplete(now + DEADLINE + MAX_TARGET_DELAY));
    let long_id = "i".repeat(16_000);
    for _ in 0..10_000 {
        drop(table.insert(&long_id, EndingCall(now + DEADLINE * 2)));
    }
    let known = table.select(now, usize::MAX, |_| true).len();
    assert!(known < 1_000, "{known}");
}

/// The answer to a question for sent calls may take any time.
#[test]
fn recovered_call_ends_no_later_than_its_sender_has_set() {
    let service = ServiceName::new("top").expect("a name");
    let context = HopContext {
        service: service.clone(),
        caller: service,
        rank: 3,
        root_start: at(100),
        deadline: at(5_000),
        depth: 1,
        earlier_attempts: 1,
        is_inherited_retry: true,
        is_idempotent: false,
        account: Some("one".into()),
        key_valid_until: None,
    };
    for answered_ms in [1_000, 1_240, 4_999] {
        let sent = ClockReading {
            clock: ClockId::new(1),
            time: at(answered_ms),
        };
        let text = context.encode(sent, HopFormat::WithAccount);
        let recovered = HopContext::decode(&text, at(1_000)).expect("a context");
        assert!(recovered.deadline <= context.deadline);
        let expected = HopContext {
            deadline: recovered.deadline,
            root_start: recovered.root_start,
            ..context.clone()
        };
        assert_eq!(recovered, expected);
    }
}
