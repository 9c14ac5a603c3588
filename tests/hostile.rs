//! Untrusted and invalid input, which must neither stop a daemon nor be accepted as input from
//! another daemon.

use {
    banyantrestle::{
        context::{CONTEXT_HEADER, OUTCOME_HEADER, ServiceName},
        daemon::{Daemon, DaemonOptions},
        settings::DaemonSettings,
    },
    bytes::Bytes,
    http::{HeaderMap, Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http2,
    hyper_util::rt::{TokioExecutor, TokioIo},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    standins::{
        client::{CallClient, CallPath, CallResult, CallRouter, OutboundCall},
        deployment::{LOOPBACK, loopback_settings},
        platform::{PlatformMode, PlatformStandin},
        process::wait_until,
        target::{RunLedger, TargetSettings, TargetStandin},
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpStream, UdpSocket},
        time::timeout,
    },
};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const GARBAGE_ROUNDS: usize = 20;
const MAX_GARBAGE_BYTES: usize = 2_000;

struct TestDeployment {
    daemon: Daemon,
    target: TargetStandin,
    _platform: PlatformStandin,
}

impl TestDeployment {
    async fn start<F>(configure: F) -> Self
    where
        F: FnOnce(&mut DaemonSettings),
    {
        let platform = PlatformStandin::start(LOOPBACK, PlatformMode::uncapped())
            .await
            .expect("a platform");
        let mut settings = loopback_settings("akl-a", platform.address(), &[]);
        configure(&mut settings);
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let daemon = Daemon::start(settings, DaemonOptions::default(), log)
            .await
            .expect("a daemon");
        let target = TargetStandin::start_with_daemon(
            TargetSettings::new(&service_name()),
            daemon.listen().local,
            RunLedger::default(),
        )
        .await
        .expect("a target");
        let deployment = Self {
            daemon,
            target,
            _platform: platform,
        };
        deployment.wait_until_served().await;
        deployment
    }

    async fn wait_until_served(&self) {
        let is_complete = wait_until(WAIT_TIMEOUT, || async { self.call().await.is_complete() });
        assert!(is_complete.await, "{:?}", self.call().await);
    }

    async fn call(&self) -> CallResult {
        let router = CallRouter::daemons(vec![self.daemon.listen().edge]);
        let call = OutboundCall::get(&service_name(), CallPath::new("call"), "1.1", WAIT_TIMEOUT);
        CallClient::new(router).call(&call).await
    }
}

fn service_name() -> ServiceName {
    ServiceName::new("catalogue").expect("a valid name")
}

async fn send_raw(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut response = Vec::new();
    let read_future = stream.read_to_end(&mut response);
    timeout(WAIT_TIMEOUT, read_future)
        .await
        .expect("a response in time")
        .expect("a readable response");
    String::from_utf8_lossy(&response).into_owned()
}

async fn send_mesh(
    address: SocketAddr,
    method: Method,
    path: &str,
    headers: HeaderMap,
) -> Response<Bytes> {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (mut sender, connection) = http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
        .await
        .expect("a handshake");
    tokio::spawn(connection);
    let mut request = Request::new(Full::new(Bytes::from_static(b"\x01\x02")));
    *request.method_mut() = method;
    *request.uri_mut() = format!("http://{address}{path}").parse().expect("a path");
    *request.headers_mut() = headers;
    let send_future = sender.send_request(request);
    let response = timeout(WAIT_TIMEOUT, send_future)
        .await
        .expect("a response in time")
        .expect("a response");
    let (head, body) = response.into_parts();
    let body = body.collect().await.expect("a body").to_bytes();
    Response::from_parts(head, body)
}

#[tokio::test(flavor = "multi_thread")]
async fn daemon_serves_calls_after_garbage_on_every_port() {
    let deployment = TestDeployment::start(|_| {}).await;
    let listen = deployment.daemon.listen();
    let mut rng = SmallRng::seed_from_u64(23);
    let udp = UdpSocket::bind(LOOPBACK).await.expect("a socket");
    for _ in 0..GARBAGE_ROUNDS {
        let length = rng.random_range(1..MAX_GARBAGE_BYTES);
        let garbage: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        udp.send_to(&garbage, listen.gossip).await.expect("sent");
        for port in [
            listen.edge,
            listen.local,
            listen.mesh,
            listen.admin,
            listen.gossip,
        ] {
            let mut stream = TcpStream::connect(port).await.expect("a connection");
            // The daemon may close the connection before all bytes are written.
            stream.write_all(&garbage).await.ok();
        }
    }
    assert_eq!(deployment.call().await, CallResult::Complete);
}

#[tokio::test(flavor = "multi_thread")]
async fn unauthenticated_mesh_requests_are_forbidden() {
    let deployment = TestDeployment::start(|_| {}).await;
    let mesh = deployment.daemon.listen().mesh;
    let arrived = deployment.target.arrived();
    let context = format!("1;{:032x};{:016x};read;1;0;5000;{}", 7, 7, mesh);
    let tags = ["", "00", "0123456789abcdef0123456789abcdef", "zz"];
    for tag in tags {
        let mut headers = HeaderMap::new();
        headers.insert(CONTEXT_HEADER, context.parse().expect("a value"));
        headers.insert("banyantrestle-tag", tag.parse().expect("a value"));
        let response = send_mesh(mesh, Method::GET, "/catalogue/call", headers.clone()).await;
        assert_eq!(response.status(), StatusCode::FORBIDDEN);
        assert_eq!(response.headers()[OUTCOME_HEADER], "not-run");
        for path in ["permit", "claims", "answer", "policy", "other"] {
            let path = format!("/.banyantrestle/{path}");
            let response = send_mesh(mesh, Method::POST, &path, headers.clone()).await;
            assert_eq!(response.status(), StatusCode::FORBIDDEN, "{path}");
        }
    }
    assert_eq!(deployment.target.arrived(), arrived);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_calls_are_refused_as_not_run() {
    let deployment = TestDeployment::start(|settings| {
        settings.limits.request_buffer_bytes = 1_024;
        settings.limits.header_timeout_ms = 300;
    })
    .await;
    let listen = deployment.daemon.listen();
    let arrived = deployment.target.arrived();
    let body = "x".repeat(2_000);
    let cases = [
        (listen.edge, "GET / HTTP/1.1", "", "", 400, "bad-request"),
        (
            listen.edge,
            "GET /%2e%2e/x HTTP/1.1",
            "",
            "",
            400,
            "bad-request",
        ),
        (
            listen.edge,
            "GET /UPPER/x HTTP/1.1",
            "",
            "",
            400,
            "bad-request",
        ),
        (
            listen.edge,
            "GET /nowhere/x HTTP/1.1",
            "",
            "",
            404,
            "unknown-service",
        ),
        (
            listen.edge,
            "POST /catalogue/x HTTP/1.1",
            "",
            "",
            400,
            "key-missing",
        ),
        (
            listen.edge,
            "PUT /catalogue/x HTTP/1.1",
            "",
            body.as_str(),
            413,
            "body-too-large",
        ),
        (
            listen.local,
            "GET /catalogue/x HTTP/1.1",
            "banyantrestle-context: 1;00000000000000000000000000000007;0000000000000007;read;9;0;5000;127.0.0.1:1\r\n",
            "",
            400,
            "context-invalid",
        ),
        (
            listen.local,
            "GET /catalogue/x HTTP/1.1",
            "banyantrestle-context: nonsense\r\n",
            "",
            400,
            "context-invalid",
        ),
        (
            listen.local,
            "POST /announce HTTP/1.1",
            "",
            "{}",
            400,
            "bad-request",
        ),
        (
            listen.local,
            "PUT /announce HTTP/1.1",
            "",
            "",
            400,
            "bad-request",
        ),
    ];
    for (address, line, header, body, status, reason) in cases {
        let request = format!(
            "{line}\r\nhost: x\r\nconnection: close\r\n{header}content-length: {}\r\n\r\n{body}",
            body.len()
        );
        let response = send_raw(address, &request).await.to_lowercase();
        assert!(
            response.starts_with(&format!("http/1.1 {status} ")),
            "{line}: {response}"
        );
        assert!(
            response.contains("banyantrestle-outcome: not-run"),
            "{line}: {response}"
        );
        assert!(response.contains(reason), "{line}: {response}");
    }
    assert_eq!(deployment.target.arrived(), arrived);
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_cannot_set_daemon_headers() {
    let deployment = TestDeployment::start(|_| {}).await;
    let ingress = deployment.daemon.listen().edge;
    let forged = "GET /catalogue/call HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
        standin-attempt: 9.1\r\n\
        banyantrestle-claim: 1\r\nbanyantrestle-outcome: not-run\r\n\
        banyantrestle-context: 1;00000000000000000000000000000007;0000000000000007;forged;\
        16777215;0;5000;127.0.0.1:1\r\n\r\n";
    let response = send_raw(ingress, forged).await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
    assert!(
        response.contains("banyantrestle-outcome: run"),
        "{response}"
    );
    assert!(response.contains("banyantrestle-request: "), "{response}");
    let events = send_raw(
        deployment.daemon.listen().admin,
        "GET /events?since=0&limit=1000 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    )
    .await;
    assert!(events.contains("request-minted"), "{events}");
    assert!(!events.contains("forged"), "{events}");
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_request_headers_time_out() {
    let deployment = TestDeployment::start(|settings| {
        settings.limits.header_timeout_ms = 300;
    })
    .await;
    let listen = deployment.daemon.listen();
    for address in [listen.edge, listen.local, listen.admin] {
        let response = send_raw(address, "GET /catalogue/call HTTP/1.1\r\nhost:").await;
        let is_refused = response.is_empty() || response.contains("408");
        assert!(is_refused, "{address}: {response}");
    }
}
