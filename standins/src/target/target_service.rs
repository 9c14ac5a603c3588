use {
    super::{
        LoadMode, RunLedger, RunStage, TargetControl, TargetFault, TargetSettings,
        busy_timer::BusyTimer, count_guard::CountGuard, inbound_call::InboundCall,
        time_sampler::TimeSampler,
    },
    crate::{
        client::{CallClient, CallPath, CallResult, OutboundCall},
        http::HttpService,
        response::{ResponsePattern, StandinBody},
    },
    banyantrestle::{admission::LoadReport, context::ServiceName, time::ProcessClock},
    bytes::Bytes,
    futures_util::future::join_all,
    http::{HeaderValue, Request, Response, StatusCode, header::RETRY_AFTER},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{
        net::SocketAddr,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicU32, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Semaphore, watch},
        time::sleep,
    },
};

/// Time after which callers may retry a shed call.
const SHED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// HTTP service of one target.
#[derive(Clone, Debug)]
pub struct TargetService(Arc<ServiceState>);

#[derive(Debug)]
struct ServiceState {
    settings: TargetSettings,
    client: CallClient,
    clock: ProcessClock,
    sampler: TimeSampler,
    slots: Semaphore,
    waiting: AtomicU32,
    running: AtomicU32,
    arrived: AtomicU64,
    address: OnceLock<SocketAddr>,
    control: watch::Sender<TargetControl>,
    ledger: RunLedger,
}

impl TargetService {
    pub fn new(settings: TargetSettings, client: CallClient, ledger: RunLedger) -> Self {
        let slots = Semaphore::new(settings.slots as usize);
        let sampler = TimeSampler::new(settings.seed);
        Self(Arc::new(ServiceState {
            settings,
            client,
            clock: ProcessClock::start(),
            sampler,
            slots,
            waiting: AtomicU32::new(0),
            running: AtomicU32::new(0),
            arrived: AtomicU64::new(0),
            address: OnceLock::new(),
            control: watch::Sender::new(TargetControl::default()),
            ledger,
        }))
    }

    pub fn control(&self) -> &watch::Sender<TargetControl> {
        &self.0.control
    }

    fn load_report(&self) -> LoadReport {
        let slots = self.0.settings.slots.max(1);
        LoadReport {
            utilization_percent: self.in_flight() * 100 / slots,
        }
    }

    /// Number of calls received so far.
    pub fn arrived(&self) -> u64 {
        self.0.arrived.load(Ordering::SeqCst)
    }

    /// Number of calls that run or wait.
    pub fn in_flight(&self) -> u32 {
        self.0.running.load(Ordering::Relaxed) + self.0.waiting.load(Ordering::Relaxed)
    }

    async fn control_response(&self, request: Request<Incoming>) -> Response<StandinBody> {
        let Ok(body) = request.into_body().collect().await else {
            return status_response(StatusCode::BAD_REQUEST);
        };
        match serde_json::from_slice(&body.to_bytes()) {
            Ok(control) => {
                self.0.control.send_replace(control);
                status_response(StatusCode::NO_CONTENT)
            }
            Err(error) => text_response(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn load_response(&self) -> Response<StandinBody> {
        let report = match self.0.control.borrow().load {
            LoadMode::Actual => self.load_report(),
            LoadMode::Constant(report) => report,
        };
        let report = serde_json::to_string(&report);
        text_response(StatusCode::OK, report.unwrap_or_default())
    }

    fn health_response(&self) -> Response<StandinBody> {
        if self.0.control.borrow().is_unhealthy {
            return status_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        status_response(StatusCode::OK)
    }

    async fn lagged_response(
        &self,
        build: impl FnOnce(&Self) -> Response<StandinBody>,
    ) -> Response<StandinBody> {
        let response = build(self);
        sleep(self.0.settings.report_lag).await;
        response
    }

    async fn call_response(&self, request: Request<Incoming>) -> Response<StandinBody> {
        if self.has_fault(TargetFault::Shed) {
            return shed_response();
        }
        let now = self.0.clock.now();
        let (parts, body) = request.into_parts();
        let call = InboundCall::from_parts(&parts, now);
        self.0.arrived.fetch_add(1, Ordering::SeqCst);
        self.record_stage(&call, RunStage::Arrived);
        if body.collect().await.is_err() {
            return status_response(StatusCode::BAD_REQUEST);
        }
        self.run_call(&call).await
    }

    async fn run_call(&self, call: &InboundCall) -> Response<StandinBody> {
        let waiting = CountGuard::new(&self.0.waiting);
        let Ok(_slot) = self.0.slots.acquire().await else {
            return shed_response();
        };
        drop(waiting);
        if call
            .deadline
            .is_some_and(|deadline| deadline <= self.0.clock.now())
        {
            return status_response(StatusCode::GATEWAY_TIMEOUT);
        }
        let _running = CountGuard::new(&self.0.running);
        let _timer = BusyTimer::start(&self.0.ledger, &call.attempt);
        self.record_stage(call, RunStage::Started);
        self.serve_for_sampled_time().await;
        let failure = self.call_next_services(call).await;
        self.wait_while_stalled().await;
        if let Some(result) = failure {
            return failure_response(&result);
        }
        self.record_stage(call, RunStage::Finished);
        self.pattern_response(call)
    }

    fn has_fault(&self, fault: TargetFault) -> bool {
        self.0.control.borrow().fault == fault
    }

    async fn serve_for_sampled_time(&self) {
        let factor = self.0.control.borrow().service_factor;
        let waiting = self.0.waiting.load(Ordering::Relaxed);
        let time = self.0.sampler.sample(&self.0.settings, factor, waiting);
        if !time.is_zero() {
            sleep(time).await;
        }
    }

    async fn wait_while_stalled(&self) {
        let mut control = self.0.control.subscribe();
        let resumed = control
            .wait_for(|control| control.fault != TargetFault::Stall)
            .await;
        drop(resumed);
    }

    /// Calls the next services; returns the first failure, if any.
    async fn call_next_services(&self, call: &InboundCall) -> Option<CallResult> {
        let hops = self.next_hops(&call.path);
        if self.0.settings.is_fan_out {
            let calls = hops
                .iter()
                .map(|(service, path)| self.call_service(call, service, path));
            let results = join_all(calls).await;
            return results.into_iter().find(|result| !result.is_complete());
        }
        for (service, path) in &hops {
            let result = self.call_service(call, service, path).await;
            if !result.is_complete() {
                return Some(result);
            }
        }
        None
    }

    fn next_hops(&self, path: &CallPath) -> Vec<(ServiceName, CallPath)> {
        if let Some(hop) = path.next_hop() {
            return vec![hop];
        }
        let calls = self.0.settings.called_services.iter();
        calls
            .map(|service| (service.clone(), CallPath::new(&path.name)))
            .collect()
    }

    async fn call_service(
        &self,
        call: &InboundCall,
        service: &ServiceName,
        path: &CallPath,
    ) -> CallResult {
        let outbound = OutboundCall {
            service: service.clone(),
            method: call.method.clone(),
            path: path.clone(),
            attempt: call.attempt.clone(),
            key: call.key.clone(),
            context: call.context.clone(),
            body: Bytes::new(),
            timeout: self.0.settings.call_timeout,
        };
        let result = self.0.client.call(&outbound).await;
        if matches!(result, CallResult::WrongResponse(_)) {
            self.0.ledger.record_wrong_response();
        }
        result
    }

    fn pattern_response(&self, call: &InboundCall) -> Response<StandinBody> {
        let service = self.0.settings.service.as_str();
        let identity = call.key.as_deref().unwrap_or(&call.attempt);
        let pattern =
            ResponsePattern::new(service, &call.full_path, identity, call.path.response_bytes);
        if self.has_fault(TargetFault::CloseMidway) {
            return Response::new(StandinBody::closed_midway(pattern));
        }
        Response::new(StandinBody::complete(pattern))
    }

    fn record_stage(&self, call: &InboundCall, stage: RunStage) {
        let service = self.0.settings.service.as_str();
        self.0.ledger.record_stage(service, &call.attempt, stage);
        if let (Some(key), RunStage::Started) = (&call.key, stage) {
            let address = self.address();
            let ledger = &self.0.ledger;
            ledger.record_key_start(service, key, &call.attempt, address);
        }
    }

    fn address(&self) -> SocketAddr {
        let settings = self.0.settings.listen;
        self.0.address.get().copied().unwrap_or(settings)
    }

    /// Sets the address on which the target listens.
    pub fn set_address(&self, address: SocketAddr) {
        // Only the first address is kept.
        let _ = self.0.address.set(address);
    }
}

impl HttpService for TargetService {
    async fn respond(&self, request: Request<Incoming>) -> Response<StandinBody> {
        match request.uri().path() {
            "/control" => self.control_response(request).await,
            "/control/runs" => {
                let report = serde_json::to_string(&self.0.ledger.report());
                text_response(StatusCode::OK, report.unwrap_or_default())
            }
            "/load" => self.lagged_response(Self::load_response).await,
            "/health" => self.lagged_response(Self::health_response).await,
            _ => self.call_response(request).await,
        }
    }
}

fn status_response(status: StatusCode) -> Response<StandinBody> {
    text_response(status, String::new())
}

fn text_response(status: StatusCode, text: String) -> Response<StandinBody> {
    let mut response = Response::new(StandinBody::text(text));
    *response.status_mut() = status;
    response
}

fn shed_response() -> Response<StandinBody> {
    with_retry_after(
        status_response(StatusCode::SERVICE_UNAVAILABLE),
        SHED_RETRY_AFTER,
    )
}

/// Response to a call whose call to another service failed.
fn failure_response(result: &CallResult) -> Response<StandinBody> {
    match result {
        CallResult::Refused {
            status: code,
            retry_after: Some(after),
            ..
        } => with_retry_after(status_response(*code), *after),
        CallResult::TimedOut => status_response(StatusCode::GATEWAY_TIMEOUT),
        _ => status_response(StatusCode::BAD_GATEWAY),
    }
}

fn with_retry_after(mut response: Response<StandinBody>, after: Duration) -> Response<StandinBody> {
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(after.as_secs()));
    response
}
