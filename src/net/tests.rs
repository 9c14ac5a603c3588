//! Tests of the connection pools to daemons and targets, and of the memory for bodies.

use {
    super::{
        BodyBudget, BudgetRefusal, ListenerLimits, ListenerShutdown, MeshPool, NoObserver,
        ResponseBody, ReuseRule, SegmentedBody, SendFailure, TargetPool, bind,
        chunk_list::ChunkList,
        fair_stream::{FairStream, MAX_TURN_BYTES},
        interim_count::MAX_INTERIM_RESPONSES,
        reserved_body::ReservedBody,
        serve_mesh,
    },
    bytes::Bytes,
    futures_util::FutureExt,
    h2::{Reason, server::handshake},
    http::{Request, Response},
    http_body_util::BodyExt,
    hyper::body::{Body, Incoming},
    standins::relay::TcpRelay,
    std::{
        io,
        net::{Ipv4Addr, SocketAddr},
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWriteExt, ReadBuf},
        task::JoinHandle,
        time::{Instant, sleep, timeout, timeout_at},
    },
};

const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);
/// Much longer than the silence timeout, so that only the PINGs can end a call.
const DEADLINE: Duration = Duration::from_secs(120);
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

async fn start_echo_server() -> SocketAddr {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = bind(any).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let limits = ListenerLimits {
        header_bytes: 16 * 1024,
        header_timeout: DEADLINE,
        connections: 16,
        silence_timeout: DEADLINE,
    };
    let echo = |request: Request<Incoming>| async {
        let body = request.into_body().collect().await.expect("a body");
        Response::new(ResponseBody::<NoObserver>::buffered(body.to_bytes(), None))
    };
    tokio::spawn(serve_mesh(
        listener,
        limits,
        ListenerShutdown::default(),
        echo,
    ));
    address
}

async fn send_text(
    pool: &MeshPool,
    peer: SocketAddr,
    text: &'static str,
) -> Result<Bytes, SendFailure> {
    let request = Request::post(format!("http://{peer}/x"))
        .body(Bytes::from_static(text.as_bytes()).into())
        .expect("a request");
    let response = pool.send(peer, request, Instant::now() + DEADLINE).await?;
    let body = response.into_body().collect().await.expect("a body");
    Ok(body.to_bytes())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_is_detected_by_pings_and_replaced() {
    let echo = start_echo_server().await;
    let relay = TcpRelay::start(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), echo)
        .await
        .expect("a free port");
    let pool = MeshPool::new(SILENCE_TIMEOUT.into());
    let first = send_text(&pool, relay.address(), "first").await;
    assert_eq!(first.expect("a response"), "first");
    relay.silence();
    let lost = send_text(&pool, relay.address(), "lost").await;
    assert!(matches!(lost, Err(SendFailure::Broken(_))), "{lost:?}");
    let next = send_text(&pool, relay.address(), "next").await;
    assert_eq!(next.expect("a response over a new connection"), "next");
}

/// A call that the peer had refused unprocessed counted as one that may have run.
#[tokio::test]
async fn call_has_not_been_sent_if_its_stream_is_refused() {
    for reason in [Reason::REFUSED_STREAM, Reason::CANCEL] {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let listener = bind(any).await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        tokio::spawn(async move {
            let (stream, _) = listener.accept().await.expect("a connection");
            let mut connection = handshake(stream).await.expect("HTTP/2");
            while let Some(Ok((_, mut response))) = connection.accept().await {
                response.send_reset(reason);
            }
        });
        let pool = MeshPool::new(SILENCE_TIMEOUT.into());
        let result = send_text(&pool, address, "refused").await;
        let is_sent = match &result {
            Err(SendFailure::NotSent(_)) => false,
            Err(SendFailure::Broken(_)) => true,
            other => panic!("{other:?}"),
        };
        assert_eq!(is_sent, reason == Reason::CANCEL, "{result:?}");
    }
}

/// A daemon that responds to each call with `status`.
async fn start_status_server(status: u16) -> SocketAddr {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = bind(any).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut connection = handshake(stream).await.expect("a client");
            while let Some(Ok((_request, mut respond))) = connection.accept().await {
                let response = Response::builder().status(status);
                let response = response.body(()).expect("a response");
                // The protocol library may refuse to send it.
                respond.send_response(response, true).ok();
            }
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_may_not_respond_with_a_status_that_no_final_response_has() {
    for (status, is_final) in [(200, true), (599, true), (600, false), (999, false)] {
        let peer = start_status_server(status).await;
        let pool = MeshPool::new(SILENCE_TIMEOUT.into());
        let result = send_text(&pool, peer, "a").await;
        match result {
            Ok(_) => assert!(is_final, "{status}"),
            Err(SendFailure::BadResponse(error)) => {
                assert!(!is_final, "{status}");
                assert!(error.to_string().contains(&status.to_string()));
            }
            Err(failure) => panic!("{status}: {failure:?}"),
        }
    }
}

/// Starts a target that responds to each request with the number of its connection.
async fn start_counting_target() -> SocketAddr {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = bind(any).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        for number in 0.. {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            tokio::spawn(async move {
                let response = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}");
                // Each request arrives in a single read.
                let mut request = [0; 1_024];
                while stream.read(&mut request).await.is_ok_and(|read| read > 0) {
                    stream
                        .write_all(response.as_bytes())
                        .await
                        .expect("a reader");
                }
            });
        }
    });
    address
}

#[tokio::test]
async fn a_call_skips_connections_that_were_idle_for_too_long() {
    const MAX_IDLE_TIME: Duration = Duration::from_millis(20);
    let target = start_counting_target().await;
    let pool = TargetPool::new(target, 8);
    let mut connections = Vec::new();
    for max_idle_time in [Duration::MAX, Duration::MAX, MAX_IDLE_TIME, Duration::MAX] {
        let request = Request::get("/")
            .body(SegmentedBody::default())
            .expect("a request");
        let deadline = Instant::now() + DEADLINE;
        let rule = ReuseRule {
            max_idle_time,
            ..ReuseRule::ANY
        };
        let connection = pool.connection(rule, deadline).await;
        let sending = connection.expect("a connection").send(request, deadline);
        let (response, connection) = sending.await.expect("a response");
        let body = response.into_body().collect().await.expect("a body");
        connections.push(body.to_bytes());
        connection.release();
        sleep(MAX_IDLE_TIME * 2).await;
    }
    assert_eq!(connections, ["0", "0", "1", "1"]);
}

/// A refusal that the target writes once more must not be taken for the response to the same call.
#[tokio::test]
async fn a_call_skips_connections_on_which_it_was_refused() {
    let target = start_counting_target().await;
    let pool = TargetPool::new(target, 8);
    let mut connections = Vec::new();
    for call_id in ["one", "two", "one", "two", "three"] {
        let request = Request::get("/")
            .body(SegmentedBody::default())
            .expect("a request");
        let deadline = Instant::now() + DEADLINE;
        let rule = ReuseRule {
            call_id,
            ..ReuseRule::ANY
        };
        let connection = pool.connection(rule, deadline).await;
        let sending = connection.expect("a connection").send(request, deadline);
        let (response, connection) = sending.await.expect("a response");
        let body = response.into_body().collect().await.expect("a body");
        connections.push(body.to_bytes());
        connection.release_refused(DEADLINE, call_id);
    }
    assert_eq!(connections, ["0", "0", "1", "1", "1"]);
}

const BUDGET_BYTES: usize = 800_000;
/// The eighth part of the budget is left to small bodies.
const LARGEST_BODY_BYTES: usize = 700_000;

#[test]
fn body_budget_is_held_until_the_last_clone_of_a_body_is_dropped() {
    let budget = Arc::new(BodyBudget::new(BUDGET_BYTES));
    let mut reservation = budget.try_reserve(400_000).expect("memory");
    reservation.try_grow(200_000).expect("memory");
    let body = reservation.attach(Bytes::from_static(b"body"));
    let slice = body.slice(1..3);
    drop(body);
    assert_eq!(budget.held(), 600_000);
    assert_eq!(budget.try_reserve(200_000).err(), Some(BudgetRefusal::Full));
    drop(slice);
    assert_eq!(budget.held(), 0);
    let reservation = budget.try_reserve(100).expect("memory");
    assert!(reservation.attach(Bytes::new()).is_empty());
    assert_eq!(budget.held(), 0);
}

#[test]
fn large_bodies_leave_a_part_of_the_budget_to_small_ones() {
    let budget = Arc::new(BodyBudget::new(BUDGET_BYTES));
    let large = budget.try_reserve(LARGEST_BODY_BYTES).expect("memory");
    let mut small = budget.try_reserve(60_000).expect("memory");
    assert_eq!(small.try_grow(10_000), Err(BudgetRefusal::Full));
    assert_eq!(budget.held(), LARGEST_BODY_BYTES + 60_000);
    let second = budget.try_reserve(40_000).expect("memory");
    assert_eq!(budget.try_reserve(1).err(), Some(BudgetRefusal::Full));
    drop((large, small, second));
    assert_eq!(budget.held(), 0);
}

#[test]
fn body_larger_than_the_budget_never_fits() {
    let budget = Arc::new(BodyBudget::new(BUDGET_BYTES));
    for bytes in [LARGEST_BODY_BYTES + 1, usize::MAX] {
        assert_eq!(
            budget.try_reserve(bytes).err(),
            Some(BudgetRefusal::TooLarge)
        );
    }
    let mut reservation = budget.try_reserve(LARGEST_BODY_BYTES).expect("memory");
    assert_eq!(reservation.try_grow(1), Err(BudgetRefusal::TooLarge));
    assert_eq!(budget.held(), LARGEST_BODY_BYTES);
}

/// Starts a target that sends one response and then `repeated` until its connection is closed.
async fn start_endless_target(
    response: &'static str,
    repeated: &'static str,
) -> (Arc<TargetPool>, JoinHandle<()>) {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = bind(any).await.expect("a free port");
    let pool = TargetPool::new(listener.local_addr().expect("bound"), 8);
    let sending = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let start = stream.write_all(response.as_bytes());
        start.await.expect("a reader");
        let repeated = repeated.repeat(MAX_INTERIM_RESPONSES as usize);
        while stream.write_all(repeated.as_bytes()).await.is_ok() {}
    });
    (pool, sending)
}

#[tokio::test]
async fn body_that_is_not_read_does_not_keep_a_connection_open_past_its_lease() {
    const LEASE: Duration = Duration::from_millis(100);
    const END_SLACK: Duration = Duration::from_millis(500);
    let response = "HTTP/1.1 200 OK\r\n\r\n";
    let (pool, flooding) = start_endless_target(response, "a").await;
    let end = Instant::now() + LEASE;
    let sending = pool.send(Request::new(SegmentedBody::default()), end);
    let _held = sending.await.expect("a response");
    let closed = timeout_at(end + END_SLACK, flooding).await;
    closed.expect("a closed connection").expect("no panic");
}

#[tokio::test]
async fn interim_responses_without_end_end_a_call_before_its_deadline() {
    let response = "HTTP/1.1 102 Processing\r\n\r\n";
    let (pool, flooding) = start_endless_target(response, response).await;
    let request = Request::new(SegmentedBody::default());
    let sending = pool.send(request, Instant::now() + DEADLINE);
    let sent = timeout(CLOSE_TIMEOUT, sending).await;
    assert!(
        matches!(sent, Ok(Err(SendFailure::BadResponse(_)))),
        "{sent:?}"
    );
    let closed = timeout(CLOSE_TIMEOUT, flooding).await;
    closed.expect("a closed connection").expect("no panic");
}

struct EndlessInput;

impl AsyncRead for EndlessInput {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        buffer.initialize_unfilled().fill(b'a');
        buffer.advance(buffer.remaining());
        Poll::Ready(Ok(()))
    }
}

#[tokio::test]
async fn input_without_end_lets_other_tasks_run() {
    let mut stream = FairStream::new(EndlessInput);
    let mut buffer = [0; MAX_TURN_BYTES / 8];
    for _ in 0..2 {
        let mut turn_bytes = 0;
        while let Some(read) = stream.read(&mut buffer).now_or_never() {
            turn_bytes += read.expect("input");
            assert!(turn_bytes <= MAX_TURN_BYTES);
        }
    }
    let mut input = vec![0; MAX_TURN_BYTES * 3];
    let reading = timeout(CLOSE_TIMEOUT, stream.read_exact(&mut input));
    reading.await.expect("a turn after each").expect("input");
}

/// A body in chunks of one byte took 40 times its length.
#[test]
fn short_chunks_are_joined_in_their_order() {
    let body: Vec<u8> = (0..50_000_u32)
        .map(|index| index.to_le_bytes()[0])
        .collect();
    for (chunk_bytes, most_chunks) in [(1, 5), (1_000, 5), (2_000, 25), (50_000, 1)] {
        let mut list = ChunkList::default();
        for chunk in body.chunks(chunk_bytes) {
            list.push(Bytes::copy_from_slice(chunk));
        }
        let chunks: Vec<Bytes> = list.into_chunks().into();
        assert!(chunks.len() <= most_chunks, "{}", chunks.len());
        assert_eq!(chunks.concat(), body);
    }
}

#[test]
fn buffers_of_calls_may_use_what_large_bodies_leave() {
    let budget = Arc::new(BodyBudget::new(BUDGET_BYTES));
    let large = budget.try_reserve(LARGEST_BODY_BYTES).expect("memory");
    let buffers = budget.try_reserve_buffers(100_000).expect("memory");
    let refused = budget.try_reserve_buffers(1);
    assert_eq!(refused.err(), Some(BudgetRefusal::Full));
    drop((large, buffers));
    assert_eq!(budget.held(), 0);
}

#[test]
fn request_body_takes_no_more_memory_than_is_reserved() {
    const PIECE_BYTES: usize = 8_000;
    // Declared length, length, and the most that may be reserved.
    let cases = [
        (0, 1, 1),
        (0, PIECE_BYTES, PIECE_BYTES),
        (0, 9_000, 16_384),
        (0, 100_000, 131_072),
        (0, 500_000, 620_000),
        (9_000, 9_000, 9_000),
        (600_001, 600_001, 600_001),
    ];
    for (declared, length, most_reserved) in cases {
        let budget = Arc::new(BodyBudget::new(BUDGET_BYTES));
        let sent: Vec<u8> = (0_u8..251).cycle().take(length).collect();
        let mut reserved = ReservedBody::new(&budget, declared).expect("memory");
        for piece in sent.chunks(PIECE_BYTES) {
            reserved
                .push(Bytes::copy_from_slice(piece))
                .expect("memory");
        }
        let held = budget.held();
        assert!((length..=most_reserved).contains(&held), "{length}: {held}");
        let body = reserved.into_body();
        assert_eq!(body.segments().concat(), sent, "{length}");
        assert_eq!(body.size_hint().exact(), Some(length as u64));
        let last = body.segments().last().cloned();
        drop(body);
        assert_eq!(budget.held(), held, "a segment is still in use");
        drop(last);
        assert_eq!(budget.held(), 0);
    }
}

#[test]
fn request_body_that_outgrows_the_budget_is_refused() {
    let budget = Arc::new(BodyBudget::new(BUDGET_BYTES));
    let mut reserved = ReservedBody::new(&budget, 0).expect("memory");
    let refusal = (0..BUDGET_BYTES)
        .find_map(|_| reserved.push(Bytes::from_static(&[0; 1_000])).err())
        .expect("a limit");
    assert_eq!(refusal, BudgetRefusal::TooLarge);
    assert!(budget.held() <= LARGEST_BODY_BYTES);
    drop(reserved);
    assert_eq!(budget.held(), 0);
}

#[tokio::test]
async fn segmented_body_is_sent_in_its_order_and_can_be_sent_again() {
    for segments in [vec![], vec!["a"], vec!["a", "bc", "def"]] {
        let whole = segments.concat();
        let parts: Vec<_> = segments
            .into_iter()
            .map(|text| Bytes::from_static(text.as_bytes()))
            .collect();
        let body = SegmentedBody::from(parts);
        assert_eq!(body.is_end_stream(), whole.is_empty());
        for _ in 0..2 {
            let sent = body.clone().collect().await.expect("infallible");
            assert_eq!(sent.to_bytes(), whole);
        }
    }
    assert!(SegmentedBody::from(Bytes::new()).is_end_stream());
}

/// A call waited on a connection whose target had responded without reading the call before, until
/// it read on: past the call's deadline, or after the target had left.
#[tokio::test]
async fn a_call_does_not_wait_until_a_target_reads_the_call_before() {
    const UNREAD_BYTES: usize = 16 * 1024 * 1024;
    const UNREAD_DEADLINE: Duration = Duration::from_millis(800);
    const END_SLACK: Duration = Duration::from_millis(500);
    const MOST_WAITING: Duration = Duration::from_millis(300);
    let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
    let listener = listener.expect("a free port");
    let pool = TargetPool::new(listener.local_addr().expect("bound"), 8);
    let target = tokio::spawn(async move {
        let mut streams = Vec::new();
        while streams.len() < 2 {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let mut head = [0; 16];
            stream.read_exact(&mut head).await.expect("a call");
            let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            stream.write_all(response).await.expect("a reader");
            streams.push(stream);
        }
        streams
    });
    for length in [UNREAD_BYTES, 1] {
        let sent_at = Instant::now();
        let body = SegmentedBody::from(Bytes::from(vec![b'a'; length]));
        let request = Request::post("/").body(body).expect("a request");
        let sending = pool.send(request, sent_at + UNREAD_DEADLINE);
        let sent = timeout(DEADLINE, sending).await.expect("no waiting");
        let (response, connection) = sent.expect("a response");
        let body = response.into_body().collect().await.expect("a body");
        assert_eq!(body.to_bytes(), "ok");
        assert!(sent_at.elapsed() < MOST_WAITING, "{length}");
        connection.release();
    }
    let mut streams = target.await.expect("no panic");
    sleep(UNREAD_DEADLINE + END_SLACK).await;
    let mut unread = Vec::new();
    let reading = streams[0].read_to_end(&mut unread);
    // An error is the end of a connection that was reset.
    let _ = timeout(DEADLINE, reading)
        .await
        .expect("a closed connection");
    assert!(unread.len() < UNREAD_BYTES, "the rest of the call is kept");
}

/// A target that rejects a call may read its body later, and the next call behind it; the bytes are
/// in buffers of the system then.
#[tokio::test]
async fn connection_on_which_a_long_call_was_rejected_is_not_used_again() {
    // Status, length of the body, and whether the next call uses the same connection.
    let cases = [
        (200, 24_000, true),
        (404, 7_200, true),
        (500, 7_200, true),
        (413, 7_200, false),
        (413, 24_000, false),
        (404, 24_000, false),
        (503, 24_000, false),
    ];
    for (status, length, is_reused) in cases {
        let listener = bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).await;
        let listener = listener.expect("a free port");
        let pool = TargetPool::new(listener.local_addr().expect("bound"), 8);
        let target = tokio::spawn(async move {
            for connection in 0.. {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                tokio::spawn(async move {
                    let mut call = vec![0; 64 * 1024];
                    let mut unread = 0;
                    while let Ok(read @ 1..) = stream.read(&mut call).await {
                        unread += read;
                        // The body of the call, which is longer than its head.
                        if unread < length {
                            continue;
                        }
                        unread = 0;
                        let response = format!(
                            "HTTP/1.1 {status} Text\r\nContent-Length: 1\r\n\r\n{connection}"
                        );
                        stream
                            .write_all(response.as_bytes())
                            .await
                            .expect("a reader");
                    }
                });
            }
        });
        let mut connections = Vec::new();
        for _ in 0..2 {
            let body = SegmentedBody::from(Bytes::from(vec![b'a'; length]));
            let request = Request::post("/").body(body).expect("a request");
            let sending = pool.send(request, Instant::now() + DEADLINE);
            let (response, connection) = sending.await.expect("a response");
            let body = response.into_body().collect().await.expect("a body");
            connections.push(body.to_bytes());
            connection.release();
        }
        let [first, second] = &connections[..] else {
            panic!("two responses");
        };
        assert_eq!(first == second, is_reused, "{status} {length}");
        target.abort();
    }
}
