use {
    super::{
        daemon_state::{DaemonState, new_call_id},
        in_flight_call::InFlightCall,
        metrics_recorder::count_retry,
        permit_client::request_permit,
        registered_budget::RegisteredBudget,
    },
    crate::{
        context::{CONTEXT_HEADER, CallContext, OUTCOME_HEADER, RunOutcome},
        events::EventKind,
        net::{
            CLAIM_HEADER, CallRefusal, CallRequest, LOAD_HEADER, RefusalKind, ResponseBody,
            ResponsePrefix, SegmentedBody, SendFailure, TAG_HEADER, call_tag,
            clean_response_headers, encode_tag, read_response, remove_content_length, set_header,
        },
        retry::{AttemptHistory, RetrySafety},
        routing::{LoadFeedback, RoutingDecision, TargetKey, TargetOutcome},
    },
    bytes::Bytes,
    http::{HeaderMap, Request, Response, Uri, header::HOST},
    hyper::body::Incoming,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Delay before a retry if the service has no available target.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Response of a target, with the load that its headers report.
#[derive(Debug)]
pub(crate) struct RoutedResponse {
    pub(crate) response: Response<ResponseBody<InFlightCall>>,
    pub(crate) load: Option<LoadFeedback>,
}

/// Refusal of a call of which no attempt got a response from a target.
#[derive(Debug)]
pub(crate) struct RoutedRefusal {
    pub(crate) refusal: CallRefusal,
    pub(crate) load: Option<LoadFeedback>,
}

impl From<CallRefusal> for RoutedRefusal {
    fn from(refusal: CallRefusal) -> Self {
        Self {
            refusal,
            load: None,
        }
    }
}

/// Sends one call to targets of its service until one of them responds.
#[derive(Debug)]
pub(crate) struct CallRouter<'a> {
    state: &'a Arc<DaemonState>,
    request: &'a CallRequest,
    /// Context of the call. Each attempt gets its own call id with this call as its parent.
    context: &'a CallContext,
    tried_targets: Vec<TargetKey>,
    history: AttemptHistory,
    /// Whether the latest attempt failed with a broken connection or response.
    is_connection_broken: bool,
    /// Retry budget of the request. A streamed response keeps it registered until its end.
    budget: Option<RegisteredBudget>,
}

impl<'a> CallRouter<'a> {
    pub(crate) fn new(
        state: &'a Arc<DaemonState>,
        request: &'a CallRequest,
        context: &'a CallContext,
        safety: RetrySafety,
    ) -> Self {
        Self {
            state,
            request,
            context,
            tried_targets: Vec::new(),
            history: AttemptHistory::new(safety),
            is_connection_broken: false,
            budget: None,
        }
    }

    /// Keeps the retry budget of the request registered until the response has ended.
    pub(crate) fn with_budget(mut self, budget: RegisteredBudget) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Tries targets until one responds, none is left, or no retry is allowed.
    pub(crate) async fn run(mut self) -> Result<RoutedResponse, RoutedRefusal> {
        self.state.record_attempt(&self.request.service);
        let mut last_refusal = None;
        loop {
            let (key, peer) = match self.pick_target() {
                Ok(picked) => picked,
                Err(refusal) => return Err(self.final_refusal(last_refusal.unwrap_or(refusal))),
            };
            if let Some(earlier) = last_refusal.take() {
                if !request_permit(self.state, self.context, &self.request.service).await {
                    return Err(self.final_refusal(earlier));
                }
                self.record_retry(earlier.refusal.kind);
            }
            match self.send_attempt(key, peer).await {
                Ok(response) => return Ok(response),
                Err(refusal) => {
                    if !self.allows_retry(&refusal.refusal) {
                        return Err(self.final_refusal(refusal));
                    }
                    self.tried_targets.push(key);
                    self.is_connection_broken = refusal.refusal.kind == RefusalKind::ResponseBroken;
                    last_refusal = Some(refusal);
                }
            }
        }
    }

    fn pick_target(&self) -> Result<(TargetKey, SocketAddr), RoutedRefusal> {
        let now = self.state.clock.now();
        let service = &self.request.service;
        if now >= self.context.deadline {
            return Err(RoutedRefusal::from(deadline_refusal(service.as_str())));
        }
        let priority = self.state.routing_priority(self.context.priority);
        let table = self.state.target_table();
        let mut decision = table.pick(
            now,
            service,
            priority,
            &self.tried_targets,
            &mut rand::rng(),
        );
        if decision == RoutingDecision::NoTarget && self.is_connection_broken {
            // A new connection to the same target may work even if the old one was unresponsive.
            decision = table.pick(now, service, priority, &[], &mut rand::rng());
        }
        match decision {
            RoutingDecision::Target(key) => match table.get(key) {
                Some(entry) => Ok((key, entry.mesh())),
                None => Err(RoutedRefusal::from(no_target_refusal(service.as_str()))),
            },
            RoutingDecision::Shed { retry_after } => {
                let detail = format!("every target of {service} admits only higher priorities");
                let refusal = CallRefusal::not_run(RefusalKind::Overload, detail);
                Err(RoutedRefusal::from(refusal.with_retry_after(retry_after)))
            }
            RoutingDecision::NoTarget => {
                Err(RoutedRefusal::from(no_target_refusal(service.as_str())))
            }
        }
    }

    async fn send_attempt(
        &mut self,
        key: TargetKey,
        peer: SocketAddr,
    ) -> Result<RoutedResponse, RoutedRefusal> {
        let in_flight = InFlightCall::start(self.state.clone(), key);
        let context = self.attempt_context();
        self.record_attempt_start(&context, peer);
        let deadline = self.state.clock.instant_of(self.context.deadline);
        let message = self.mesh_request(&context, peer);
        match self.state.mesh.send(peer, message, deadline).await {
            Ok(response) => self.read_response(peer, in_flight, response).await,
            Err(SendFailure::NotSent(error)) => {
                in_flight.finish(TargetOutcome::Unreachable);
                let refusal = CallRefusal::not_run(RefusalKind::NoTarget, error.to_string());
                Err(RoutedRefusal::from(
                    refusal.with_retry_after(NO_TARGET_RETRY_AFTER),
                ))
            }
            Err(SendFailure::Broken(error) | SendFailure::BadResponse(error)) => {
                in_flight.finish(TargetOutcome::Broken);
                Err(RoutedRefusal::from(broken_refusal(error.to_string())))
            }
            Err(SendFailure::TimedOut(error)) => {
                in_flight.finish(TargetOutcome::Abandoned);
                let kind = RefusalKind::DeadlineExceeded;
                Err(RoutedRefusal::from(CallRefusal::unknown(
                    kind,
                    error.to_string(),
                )))
            }
        }
    }

    async fn read_response(
        &mut self,
        peer: SocketAddr,
        in_flight: InFlightCall,
        response: Response<Incoming>,
    ) -> Result<RoutedResponse, RoutedRefusal> {
        self.state.observe_stamp_header(response.headers());
        let load = parse_load(response.headers());
        let Some(outcome) = parse_outcome(response.headers()) else {
            in_flight.finish(TargetOutcome::Broken);
            return Err(RoutedRefusal::from(broken_refusal(format!(
                "the response of {peer} has no valid {OUTCOME_HEADER} header"
            ))));
        };
        let in_flight = in_flight.with_load(load);
        if outcome == RunOutcome::Run {
            return self.read_body(in_flight, response, load).await;
        }
        let refusal = self.read_refusal(response, outcome).await;
        in_flight.finish(TargetOutcome::Responded(load));
        Err(RoutedRefusal { refusal, load })
    }

    async fn read_body(
        &mut self,
        in_flight: InFlightCall,
        response: Response<Incoming>,
        load: Option<LoadFeedback>,
    ) -> Result<RoutedResponse, RoutedRefusal> {
        let limit = self.state.settings.limits.response_buffer_bytes;
        let deadline = self.state.clock.instant_of(self.context.deadline);
        let (mut head, body) = response.into_parts();
        let prefix = tokio::time::timeout_at(deadline, read_response(body, limit)).await;
        clean_response_headers(&mut head.headers);
        let body = match prefix {
            Ok(Ok(ResponsePrefix::Complete { data, trailers })) => {
                in_flight.finish(TargetOutcome::Responded(load));
                remove_content_length(&self.request.method, head.status, &mut head.headers);
                ResponseBody::buffered(data, trailers)
            }
            Ok(Ok(ResponsePrefix::Partial { prefix, rest })) => {
                let observer = in_flight.with_budget(self.budget.take());
                ResponseBody::streamed(prefix, rest, deadline, observer)
            }
            Ok(Err(error)) => {
                in_flight.finish(TargetOutcome::Broken);
                return Err(RoutedRefusal::from(broken_refusal(error.to_string())));
            }
            Err(_) => {
                in_flight.finish(TargetOutcome::Abandoned);
                let detail = "deadline passed before the response was complete";
                let refusal = CallRefusal::unknown(RefusalKind::DeadlineExceeded, detail);
                return Err(RoutedRefusal::from(refusal));
            }
        };
        let response = Response::from_parts(head, body);
        Ok(RoutedResponse { response, load })
    }

    async fn read_refusal(&self, response: Response<Incoming>, outcome: RunOutcome) -> CallRefusal {
        let limit = self.state.settings.limits.response_buffer_bytes;
        let (head, body) = response.into_parts();
        let data = match read_response(body, limit).await {
            Ok(ResponsePrefix::Complete { data, .. }) => data,
            _ => Bytes::new(),
        };
        CallRefusal::from_parts(&head.headers, &data, outcome)
    }

    fn attempt_context(&self) -> CallContext {
        CallContext {
            call: new_call_id(),
            ..self.context.clone()
        }
    }

    fn mesh_request(&self, context: &CallContext, peer: SocketAddr) -> Request<SegmentedBody> {
        let path = format!("/{}{}", self.request.service, self.request.path);
        let context = context.encode(self.state.clock.now());
        let key = &self.state.key;
        let tag = encode_tag(call_tag(key, self.request.method.as_str(), &path, &context));
        let mut request = Request::new(self.request.body.clone().into());
        *request.method_mut() = self.request.method.clone();
        *request.uri_mut() = mesh_uri(peer, &path);
        let headers = request.headers_mut();
        *headers = self.request.headers.clone();
        headers.remove(HOST);
        set_header(headers, CONTEXT_HEADER, &context);
        set_header(headers, TAG_HEADER, &tag);
        if self.history.safety() == RetrySafety::NonIdempotent {
            set_header(headers, CLAIM_HEADER, "1");
        }
        self.state.set_stamp_header(headers);
        request
    }

    fn allows_retry(&mut self, refusal: &CallRefusal) -> bool {
        self.history
            .record_failure(refusal.outcome, refusal.kind.scope())
    }

    /// Returns the last refusal with the outcome of all attempts together.
    fn final_refusal(&self, mut last: RoutedRefusal) -> RoutedRefusal {
        last.refusal.outcome = self.history.outcome();
        last
    }

    fn record_attempt_start(&self, context: &CallContext, peer: SocketAddr) {
        let attempt = u32::try_from(self.tried_targets.len()).unwrap_or(u32::MAX);
        self.state.events.record(EventKind::CallStarted {
            request: context.request,
            call: context.call,
            parent: Some(self.context.call),
            service: self.request.service.clone(),
            peer,
            attempt,
        });
    }

    fn record_retry(&self, kind: RefusalKind) {
        count_retry();
        let attempt = u32::try_from(self.tried_targets.len()).unwrap_or(u32::MAX);
        self.state.events.record(EventKind::CallRetried {
            request: self.context.request,
            call: self.context.call,
            service: self.request.service.clone(),
            attempt,
            reason: <&'static str>::from(kind).into(),
        });
    }
}

fn mesh_uri(peer: SocketAddr, path: &str) -> Uri {
    Uri::builder()
        .scheme("http")
        .authority(peer.to_string())
        .path_and_query(path)
        .build()
        .unwrap_or_default()
}

fn parse_load(headers: &HeaderMap) -> Option<LoadFeedback> {
    LoadFeedback::decode(headers.get(LOAD_HEADER)?.to_str().ok()?)
}

fn parse_outcome(headers: &HeaderMap) -> Option<RunOutcome> {
    headers.get(OUTCOME_HEADER)?.to_str().ok()?.parse().ok()
}

fn broken_refusal(detail: String) -> CallRefusal {
    CallRefusal::unknown(RefusalKind::ResponseBroken, detail)
}

fn no_target_refusal(service: &str) -> CallRefusal {
    let detail = format!("no target of {service} is available");
    CallRefusal::not_run(RefusalKind::NoTarget, detail).with_retry_after(NO_TARGET_RETRY_AFTER)
}

fn deadline_refusal(service: &str) -> CallRefusal {
    let detail = format!("the deadline passed before a target of {service} was called");
    CallRefusal::not_run(RefusalKind::DeadlineExceeded, detail)
}
