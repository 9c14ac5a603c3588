use {
    super::{
        LoadMode, RunLedger, RunStage, TargetControl, TargetFault, TargetSettings,
        busy_time::BusyTime, counted_place::CountedPlace, inbound_call::InboundCall,
        service_clock::ServiceClock,
    },
    crate::{
        answer::{AnswerBody, AnswerPattern},
        client::{CallClient, CallPath, CallResult, OutboundCall},
        http::HttpService,
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

/// Serves the calls of one target.
#[derive(Clone, Debug)]
pub struct TargetService(Arc<ServiceState>);

#[derive(Debug)]
struct ServiceState {
    settings: TargetSettings,
    client: CallClient,
    clock: ProcessClock,
    times: ServiceClock,
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
        let times = ServiceClock::new(settings.seed);
        Self(Arc::new(ServiceState {
            settings,
            client,
            clock: ProcessClock::start(),
            times,
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

    fn load(&self) -> LoadReport {
        let slots = self.0.settings.slots.max(1);
        LoadReport {
            utilization_percent: self.in_flight() * 100 / slots,
        }
    }

    /// Calls that were read so far.
    pub fn arrived(&self) -> u64 {
        self.0.arrived.load(Ordering::SeqCst)
    }

    /// Calls that run or wait.
    pub fn in_flight(&self) -> u32 {
        self.0.running.load(Ordering::Relaxed) + self.0.waiting.load(Ordering::Relaxed)
    }

    async fn answer_control(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let Ok(body) = request.into_body().collect().await else {
            return status(StatusCode::BAD_REQUEST);
        };
        match serde_json::from_slice(&body.to_bytes()) {
            Ok(control) => {
                self.0.control.send_replace(control);
                status(StatusCode::NO_CONTENT)
            }
            Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn answer_load(&self) -> Response<AnswerBody> {
        let report = match self.0.control.borrow().load {
            LoadMode::Honest => self.load(),
            LoadMode::Constant(report) => report,
        };
        let report = serde_json::to_string(&report);
        text(StatusCode::OK, report.unwrap_or_default())
    }

    fn answer_health(&self) -> Response<AnswerBody> {
        if self.0.control.borrow().is_unhealthy {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        status(StatusCode::OK)
    }

    async fn answer_lagging(
        &self,
        answer: impl FnOnce(&Self) -> Response<AnswerBody>,
    ) -> Response<AnswerBody> {
        let answer = answer(self);
        sleep(self.0.settings.report_lag).await;
        answer
    }

    async fn answer_call(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        if self.has_fault(TargetFault::Shedding) {
            return shed();
        }
        let now = self.0.clock.now();
        let (parts, body) = request.into_parts();
        let call = InboundCall::read(&parts, now);
        self.0.arrived.fetch_add(1, Ordering::SeqCst);
        self.record(&call, RunStage::Arrived);
        if body.collect().await.is_err() {
            return status(StatusCode::BAD_REQUEST);
        }
        self.run(&call).await
    }

    async fn run(&self, call: &InboundCall) -> Response<AnswerBody> {
        let place = CountedPlace::take(&self.0.waiting);
        let Ok(_slot) = self.0.slots.acquire().await else {
            return shed();
        };
        drop(place);
        if call
            .deadline
            .is_some_and(|deadline| deadline <= self.0.clock.now())
        {
            return status(StatusCode::GATEWAY_TIMEOUT);
        }
        let _place = CountedPlace::take(&self.0.running);
        let _busy = BusyTime::start(&self.0.ledger, &call.attempt);
        self.record(call, RunStage::Started);
        self.work().await;
        let failure = self.call_on(call).await;
        self.wait_until_thawed().await;
        if let Some(result) = failure {
            return passed_on(&result);
        }
        self.record(call, RunStage::Finished);
        self.whole_answer(call)
    }

    fn has_fault(&self, fault: TargetFault) -> bool {
        self.0.control.borrow().fault == fault
    }

    async fn work(&self) {
        let factor = self.0.control.borrow().service_factor;
        let waiting = self.0.waiting.load(Ordering::Relaxed);
        let time = self.0.times.draw(&self.0.settings, factor, waiting);
        if !time.is_zero() {
            sleep(time).await;
        }
    }

    async fn wait_until_thawed(&self) {
        let mut control = self.0.control.subscribe();
        let thawed = control
            .wait_for(|control| control.fault != TargetFault::Frozen)
            .await;
        drop(thawed);
    }

    /// Makes the calls to other services; the first that failed, if any.
    async fn call_on(&self, call: &InboundCall) -> Option<CallResult> {
        let hops = self.next_hops(&call.path);
        if self.0.settings.is_fan_out {
            let calls = hops
                .iter()
                .map(|(service, path)| self.call_hop(call, service, path));
            let results = join_all(calls).await;
            return results.into_iter().find(|result| !result.is_whole());
        }
        for (service, path) in &hops {
            let result = self.call_hop(call, service, path).await;
            if !result.is_whole() {
                return Some(result);
            }
        }
        None
    }

    fn next_hops(&self, path: &CallPath) -> Vec<(ServiceName, CallPath)> {
        if let Some(hop) = path.next_hop() {
            return vec![hop];
        }
        let calls = self.0.settings.calls.iter();
        calls
            .map(|service| (service.clone(), CallPath::new(&path.name)))
            .collect()
    }

    async fn call_hop(
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
        if matches!(result, CallResult::Wrong(_)) {
            self.0.ledger.record_wrong_answer();
        }
        result
    }

    fn whole_answer(&self, call: &InboundCall) -> Response<AnswerBody> {
        let service = self.0.settings.service.as_str();
        let identity = call.key.as_deref().unwrap_or(&call.attempt);
        let pattern = AnswerPattern::new(service, &call.full_path, identity, call.path.bytes);
        if self.has_fault(TargetFault::Cutting) {
            return Response::new(AnswerBody::cut(pattern));
        }
        Response::new(AnswerBody::whole(pattern))
    }

    fn record(&self, call: &InboundCall, stage: RunStage) {
        let service = self.0.settings.service.as_str();
        self.0.ledger.record(service, &call.attempt, stage);
        if let (Some(key), RunStage::Started) = (&call.key, stage) {
            let address = self.address();
            let ledger = &self.0.ledger;
            ledger.record_key(service, key, &call.attempt, address);
        }
    }

    fn address(&self) -> SocketAddr {
        let settings = self.0.settings.listen;
        self.0.address.get().copied().unwrap_or(settings)
    }

    /// Notes where the target listens.
    pub fn set_address(&self, address: SocketAddr) {
        // The first address stands.
        let _ = self.0.address.set(address);
    }
}

impl HttpService for TargetService {
    async fn answer(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        match request.uri().path() {
            "/control" => self.answer_control(request).await,
            "/control/runs" => {
                let report = serde_json::to_string(&self.0.ledger.report());
                text(StatusCode::OK, report.unwrap_or_default())
            }
            "/load" => self.answer_lagging(Self::answer_load).await,
            "/health" => self.answer_lagging(Self::answer_health).await,
            _ => self.answer_call(request).await,
        }
    }
}

fn status(status: StatusCode) -> Response<AnswerBody> {
    text(status, String::new())
}

fn text(status: StatusCode, text: String) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::text(text));
    *response.status_mut() = status;
    response
}

fn shed() -> Response<AnswerBody> {
    with_retry_after(
        status(StatusCode::SERVICE_UNAVAILABLE),
        Duration::from_secs(1),
    )
}

/// The answer to a call of which a call to the next service failed.
fn passed_on(result: &CallResult) -> Response<AnswerBody> {
    match result {
        CallResult::Refused {
            status: code,
            retry_after: Some(after),
            ..
        } => with_retry_after(status(*code), *after),
        CallResult::TimedOut => status(StatusCode::GATEWAY_TIMEOUT),
        _ => status(StatusCode::BAD_GATEWAY),
    }
}

fn with_retry_after(mut response: Response<AnswerBody>, after: Duration) -> Response<AnswerBody> {
    response
        .headers_mut()
        .insert(RETRY_AFTER, HeaderValue::from(after.as_secs()));
    response
}
