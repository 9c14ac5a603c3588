use {
    super::{RunRecorder, UpstreamMode, run_recorder::RecordedRun},
    crate::{
        client::TextRequest,
        http::{HttpServer, HttpService},
        response::{ResponsePattern, StandinBody},
    },
    anyhow::bail,
    http::{HeaderMap, Method, Request, Response, StatusCode, request::Parts},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    serde_json::json,
    std::{
        future::pending,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, watch},
        task::JoinHandle,
        time::sleep,
    },
};

const MAX_CONNECTIONS: usize = 500;
const REQUEST_ID: &str = "x-banyantrestle-request-id";
const PARTIAL_BODY_BYTES: u64 = 4_096;
/// Path segment that precedes the number of calls the target makes itself.
const CALL_COUNT_MARKER: &str = "/calls/";
/// Path segment of the requests that crash each target that begins to run them.
const CRASH_MARKER: &str = "/crash";
/// Path segment of the requests whose own calls crash the targets that run them.
const INNER_CRASH_MARKER: &str = "/inner-crash";
/// Time from the start of such a request to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// Interval between attempts to listen again on the address of a crashed target.
const BIND_INTERVAL: Duration = Duration::from_millis(20);

/// A running target; dropping it closes its server.
#[derive(Debug)]
pub struct UpstreamStandin {
    supervisor: JoinHandle<()>,
    state: UpstreamState,
    sequence: AtomicU64,
}

impl Drop for UpstreamStandin {
    fn drop(&mut self) {
        self.supervisor.abort();
    }
}

/// A call that a target received, whether it ran it or not.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub instance: String,
    pub id: String,
}

#[derive(Clone, Debug)]
struct UpstreamState {
    service: String,
    instance: Arc<Mutex<String>>,
    address: SocketAddr,
    /// Sidecar on the target's VM, which receives the target's own calls.
    outbound: SocketAddr,
    recorder: RunRecorder,
    mode: watch::Sender<UpstreamMode>,
    call_duration: watch::Sender<Duration>,
    /// Calls for the current instance, in the order in which they arrived.
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    /// Ids of the target's own calls and the statuses that they got.
    inner_statuses: Arc<Mutex<Vec<(String, StatusCode)>>>,
    /// Headers that all responses carry.
    response_headers: watch::Sender<Vec<(&'static str, String)>>,
    /// Signals the supervisor to crash the target.
    crash: Arc<Notify>,
    /// Times of the crashes so far.
    crashes: Arc<Mutex<Vec<Instant>>>,
    /// Time that a crashed target is down.
    down_time: watch::Sender<Duration>,
    is_down: Arc<AtomicBool>,
}

impl UpstreamStandin {
    /// Slots that the heartbeats report.
    pub const SLOTS: usize = 8;

    /// Starts a target whose own calls go to the sidecar at `outbound`.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(
        service: &str,
        instance: &str,
        address: SocketAddr,
        outbound: SocketAddr,
        recorder: RunRecorder,
    ) -> anyhow::Result<Self> {
        let state = UpstreamState {
            service: service.into(),
            instance: Arc::new(Mutex::new(instance.into())),
            address,
            outbound,
            recorder,
            mode: watch::Sender::new(UpstreamMode::Serve),
            call_duration: watch::Sender::new(Duration::from_millis(2)),
            arrivals: Arc::default(),
            inner_statuses: Arc::default(),
            response_headers: watch::Sender::new(Vec::new()),
            crash: Arc::default(),
            crashes: Arc::default(),
            down_time: watch::Sender::new(Duration::from_secs(1)),
            is_down: Arc::default(),
        };
        let server = HttpServer::start(address, MAX_CONNECTIONS, state.clone()).await?;
        Ok(Self {
            supervisor: tokio::spawn(state.clone().supervise(server)),
            state,
            sequence: AtomicU64::new(0),
        })
    }

    pub fn set_mode(&self, mode: UpstreamMode) {
        self.state.mode.send_replace(mode);
    }

    /// Calls that the target has received, without those for another instance.
    #[must_use]
    pub fn arrivals(&self) -> Vec<Arrival> {
        let arrivals = self.state.arrivals.lock();
        arrivals.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Ids of the target's own calls so far, and the statuses that they got.
    #[must_use]
    pub fn inner_statuses(&self) -> Vec<(String, StatusCode)> {
        let statuses = self.state.inner_statuses.lock();
        statuses.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets headers that the target adds to all its responses, also to those that refuse a call.
    pub fn set_response_headers(&self, headers: &[(&'static str, &str)]) {
        let headers = headers.iter().map(|(name, value)| (*name, (*value).into()));
        self.state.response_headers.send_replace(headers.collect());
    }

    /// Sets the time that the target waits in each call before it makes its own calls.
    pub fn set_call_duration(&self, duration: Duration) {
        self.state.call_duration.send_replace(duration);
    }

    /// Closes all connections and the listener at once; after its down time, the target starts again
    /// as another instance.
    pub fn crash(&self) {
        self.state.crash.notify_one();
    }

    /// Sets the time that the target is down after a crash.
    pub fn set_down_time(&self, time: Duration) {
        self.state.down_time.send_replace(time);
    }

    /// Times of the crashes so far.
    #[must_use]
    pub fn crashes(&self) -> Vec<Instant> {
        let crashes = self.state.crashes.lock();
        crashes.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes the instance name at the same address and restarts the heartbeat sequence.
    pub fn restart_as(&self, instance: &str) {
        let mut current = self.state.instance.lock();
        let current = current.as_mut().map(|current| &mut **current);
        if let Ok(current) = current {
            *current = instance.into();
        }
        self.sequence.store(0, Ordering::Relaxed);
    }

    /// Sends a heartbeat to the sidecar on the target's VM.
    ///
    /// # Errors
    /// The sidecar cannot be reached or does not respond with 200.
    pub async fn send_heartbeat(
        &self,
        admin: SocketAddr,
        state: &str,
        started_ms: u64,
    ) -> anyhow::Result<()> {
        if self.state.is_down() {
            return Ok(());
        }
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = json!({
            "service": self.state.service, "address": self.state.address.to_string(),
            "zone": "z", "version": "v1", "slots": Self::SLOTS, "state": state,
            "warmup_left": "0ms", "sequence": sequence, "born": started_ms,
        });
        let request = TextRequest {
            method: Method::PUT,
            path: format!("/v1/instances/{}", self.state.instance()),
            headers: vec![("content-type", "application/json".into())],
            body: body.to_string(),
        };
        send_report(request, admin).await
    }

    /// Reports to the sidecar on the target's VM that the target is leaving.
    ///
    /// # Errors
    /// The sidecar cannot be reached or does not respond with 200.
    pub async fn leave(&self, admin: SocketAddr) -> anyhow::Result<()> {
        let request = TextRequest {
            method: Method::DELETE,
            ..TextRequest::get(&format!("/v1/instances/{}", self.state.instance()))
        };
        send_report(request, admin).await
    }
}

async fn send_report(request: TextRequest, admin: SocketAddr) -> anyhow::Result<()> {
    let response = request.send(admin).await?;
    if response.status != StatusCode::OK {
        bail!(
            "sidecar refused the report: {}: {}",
            response.status,
            response.text
        );
    }
    Ok(())
}

impl UpstreamState {
    /// Id of the current process: the instance name, with the number of crashes so far.
    fn instance(&self) -> String {
        let instance = self.instance.lock();
        let instance = instance.unwrap_or_else(PoisonError::into_inner);
        match self.crash_count() {
            0 => instance.clone(),
            count => format!("{instance}-{count}"),
        }
    }

    fn crash_count(&self) -> usize {
        let crashes = self.crashes.lock();
        crashes.unwrap_or_else(PoisonError::into_inner).len()
    }

    fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }

    /// Crashes and restarts the server when a request or the test asks for it.
    async fn supervise(self, mut server: HttpServer) {
        loop {
            self.crash.notified().await;
            self.is_down.store(true, Ordering::Relaxed);
            drop(server);
            let crashes = self.crashes.lock();
            crashes
                .unwrap_or_else(PoisonError::into_inner)
                .push(Instant::now());
            let down_time = *self.down_time.borrow();
            sleep(down_time).await;
            server = loop {
                match HttpServer::start(self.address, MAX_CONNECTIONS, self.clone()).await {
                    Ok(server) => break server,
                    // Connections of the previous server may still hold the address.
                    Err(_) => sleep(BIND_INTERVAL).await,
                }
            };
            self.is_down.store(false, Ordering::Relaxed);
        }
    }

    /// Makes the calls that the path specifies, one after another; false after the first failure.
    async fn make_inner_calls(&self, id: &str, path: &str) -> bool {
        let Some((_, count)) = path.split_once(CALL_COUNT_MARKER) else {
            return true;
        };
        let count: u32 = count.parse().unwrap_or_default();
        let inner_path = if path.contains(INNER_CRASH_MARKER) {
            "/leaf/crash"
        } else {
            "/leaf/1"
        };
        for number in 0..count {
            let request = TextRequest {
                headers: vec![
                    ("host", "inner.example".into()),
                    (REQUEST_ID, format!("{id}.{number}")),
                    ("x-banyantrestle-deadline-ms", "700".into()),
                ],
                ..TextRequest::get(inner_path)
            };
            let Ok(response) = request.send(self.outbound).await else {
                return false;
            };
            let statuses = self.inner_statuses.lock();
            statuses
                .unwrap_or_else(PoisonError::into_inner)
                .push((format!("{id}.{number}"), response.status));
            if !response.status.is_success() {
                return false;
            }
        }
        true
    }

    fn signed_response(
        &self,
        id: &str,
        status: StatusCode,
        body: StandinBody,
    ) -> Response<StandinBody> {
        let mut response = Response::new(body);
        *response.status_mut() = status;
        let headers = response.headers_mut();
        let signature = format!("{}.{}", self.instance(), status.as_u16());
        let mut insert = |name: &'static str, text: &str| {
            if let Ok(value) = text.parse() {
                headers.insert(name, value);
            }
        };
        insert(REQUEST_ID, id);
        insert("x-banyantrestle-response-signature", &signature);
        insert("x-banyantrestle-server-load", "1,0,8");
        insert("keep-alive", "timeout=5");
        response
    }
}

impl HttpService for UpstreamState {
    async fn respond(&self, request: Request<Incoming>) -> Response<StandinBody> {
        let mut response = self.run(request).await;
        for (name, value) in self.response_headers.borrow().iter() {
            if let Ok(value) = value.parse() {
                response.headers_mut().append(*name, value);
            }
        }
        response
    }
}

impl UpstreamState {
    /// Runs a call; in some modes it goes on when its connection closes.
    async fn run(&self, request: Request<Incoming>) -> Response<StandinBody> {
        let mode = *self.mode.borrow();
        if mode != UpstreamMode::ServeDetached {
            return self.handle(request).await;
        }
        let state = self.clone();
        let running = tokio::spawn(async move { state.handle(request).await });
        running.await.unwrap_or_else(|error| panic!("{error}"))
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<StandinBody> {
        let (head, body) = request.into_parts();
        let id = header(&head.headers, REQUEST_ID);
        let expected = header(&head.headers, "x-banyantrestle-expected-instance");
        let unsigned_response = |status, text: &'static str| {
            let mut response = Response::new(StandinBody::text(text));
            *response.status_mut() = status;
            if let Ok(echoed_id) = http::HeaderValue::from_str(&id) {
                let headers = response.headers_mut();
                headers.insert("x-banyantrestle-request-id", echoed_id);
            }
            response
        };
        if expected != self.instance() {
            return unsigned_response(StatusCode::MISDIRECTED_REQUEST, "another instance");
        }
        let arrival = Arrival {
            at: Instant::now(),
            instance: expected,
            id: id.clone(),
        };
        let arrivals = self.arrivals.lock();
        arrivals
            .unwrap_or_else(PoisonError::into_inner)
            .push(arrival);
        let mode = *self.mode.borrow();
        match mode {
            UpstreamMode::Shed => {
                let mut response = unsigned_response(StatusCode::SERVICE_UNAVAILABLE, "full");
                let headers = response.headers_mut();
                headers.insert("x-banyantrestle-not-executed", 1.into());
                return response;
            }
            UpstreamMode::UnprovenRefusal => {
                return unsigned_response(StatusCode::SERVICE_UNAVAILABLE, "busy");
            }
            _ => {}
        }
        let body = body
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        self.recorder.record(
            &id,
            self.recorded_run(&head, body.unwrap_or_default().to_vec()),
        );
        if head.uri.path().contains(CRASH_MARKER) {
            sleep(CRASH_DELAY).await;
            self.crash.notify_one();
            pending::<()>().await;
        }
        let duration = *self.call_duration.borrow();
        sleep(duration).await;
        let inner_calls_succeeded = self.make_inner_calls(&id, head.uri.path()).await;
        match mode {
            UpstreamMode::NoResponse => pending().await,
            UpstreamMode::Unsigned => unsigned_response(StatusCode::OK, "unsigned"),
            UpstreamMode::ForeignId => {
                self.signed_response("another", StatusCode::OK, StandinBody::text("foreign"))
            }
            UpstreamMode::CloseConnection => {
                let pattern = ResponsePattern::new(&self.service, "/", &id, PARTIAL_BODY_BYTES);
                self.signed_response(&id, StatusCode::OK, StandinBody::closed_midway(pattern))
            }
            UpstreamMode::Encoded => {
                let mut response =
                    self.signed_response(&id, StatusCode::OK, StandinBody::text("zip"));
                let encoding = http::HeaderValue::from_static("gzip");
                response.headers_mut().insert("content-encoding", encoding);
                response
            }
            UpstreamMode::ForgedHeaders => {
                let mut response =
                    self.signed_response(&id, StatusCode::OK, StandinBody::text("noted"));
                let headers = response.headers_mut();
                headers.insert("bt-outcome", http::HeaderValue::from_static("shed"));
                headers.insert("bt-hot", http::HeaderValue::from_static("top=900/0"));
                response
            }
            _ if mode == UpstreamMode::Fail || !inner_calls_succeeded => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                self.signed_response(&id, status, StandinBody::text("failed"))
            }
            _ => self.signed_response(
                &id,
                StatusCode::OK,
                StandinBody::text(format!("answer to {id}")),
            ),
        }
    }
}

impl UpstreamState {
    fn recorded_run(&self, head: &Parts, body: Vec<u8>) -> RecordedRun {
        let path = head.uri.path_and_query().map_or("", |path| path.as_str());
        let deadline = header(&head.headers, "x-banyantrestle-deadline-ms");
        let accounts = head.headers.get_all("x-banyantrestle-tenant-id").iter();
        RecordedRun {
            service: self.service.clone(),
            instance: self.instance(),
            method: head.method.to_string(),
            path: path.into(),
            host: header(&head.headers, "host"),
            caller: header(&head.headers, "x-banyantrestle-caller-service"),
            accounts: accounts
                .map(|name| String::from_utf8_lossy(name.as_bytes()).into_owned())
                .collect(),
            has_credential: head.headers.contains_key("authorization"),
            deadline_ms: deadline.parse().unwrap_or_default(),
            body,
        }
    }
}

fn header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
