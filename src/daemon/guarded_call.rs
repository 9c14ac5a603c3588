use {
    super::{
        active_calls::ActiveEntry,
        daemon_state::DaemonState,
        local_target::{DaemonLimit, LocalTarget},
        shared_guard::AdmittedTicket,
    },
    crate::{
        admission::{AdmissionRefusal, AdmissionRequest, CompletionKind, RefusalReason},
        context::{CONTEXT_HEADER, CallContext, CallPriority, OUTCOME_HEADER, RunOutcome},
        events::EventKind,
        net::{
            CallRefusal, CallRequest, LOAD_HEADER, RefusalKind, ResponseBody, ResponsePrefix,
            SegmentedBody, SendFailure, StreamObserver, StreamOutcome, TargetConnection,
            clean_response_headers, read_response, remove_content_length, set_header,
        },
        routing::LoadFeedback,
        time::TimePoint,
    },
    http::{HeaderMap, Request, Response, header::HOST},
    hyper::body::Incoming,
    std::{sync::Arc, time::Duration},
    tokio::time::timeout_at,
    tokio_util::task::task_tracker::TaskTrackerToken,
};

/// Delay before a retry if the target cannot be reached.
const UNREACHABLE_TARGET_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A call to the target beside the daemon, before its admission.
#[derive(Debug)]
pub(crate) struct GuardedCall {
    pub(crate) state: Arc<DaemonState>,
    pub(crate) target: Arc<LocalTarget>,
    pub(crate) request: CallRequest,
    pub(crate) context: CallContext,
    /// Delays the shutdown of the daemon until the call has ended.
    pub(crate) token: TaskTrackerToken,
}

/// A call that holds a slot of the target.
#[derive(Debug)]
pub(crate) struct AdmittedCall {
    call: GuardedCall,
    ticket: AdmittedTicket<DaemonLimit>,
    started_at: TimePoint,
}

/// Holds the slot and the connection until a streamed response of the target has ended.
#[derive(Debug)]
pub(crate) struct GuardObserver {
    ticket: AdmittedTicket<DaemonLimit>,
    connection: TargetConnection,
    _entry: ActiveEntry,
    _token: TaskTrackerToken,
}

pub(crate) type GuardResponse = Response<ResponseBody<GuardObserver>>;

impl GuardedCall {
    /// Refuses the call if the guard would refuse it now; acquires no slot.
    pub(crate) fn check(&self) -> Result<(), CallRefusal> {
        let checked = self.target.guard.check(&self.admission_request());
        checked.map_err(|refusal| self.refuse(&refusal))
    }

    /// Waits for a slot of the target.
    pub(crate) async fn admit(self) -> Result<AdmittedCall, CallRefusal> {
        match self.target.guard.admit(self.admission_request()).await {
            Ok(ticket) => {
                self.record_admitted();
                let started_at = self.state.clock.now();
                Ok(AdmittedCall {
                    call: self,
                    ticket,
                    started_at,
                })
            }
            Err(refusal) => Err(self.refuse(&refusal)),
        }
    }

    fn admission_request(&self) -> AdmissionRequest {
        AdmissionRequest {
            priority: self.context.priority,
            depth: self.context.depth,
            deadline: self.context.deadline,
        }
    }

    fn refuse(&self, refusal: &AdmissionRefusal) -> CallRefusal {
        self.record_refused(refusal);
        admission_refusal(refusal, &self.request)
    }

    fn record_admitted(&self) {
        self.state.events.record(EventKind::CallAdmitted {
            request: self.context.request,
            call: self.context.call,
            service: self.request.service.clone(),
        });
    }

    fn record_refused(&self, refusal: &AdmissionRefusal) {
        let retry_after = refusal.retry_after.as_millis();
        self.state.events.record(EventKind::CallRefused {
            request: self.context.request,
            call: self.context.call,
            service: self.request.service.clone(),
            reason: <&'static str>::from(refusal.reason).into(),
            retry_after_ms: u64::try_from(retry_after).unwrap_or(u64::MAX),
        });
    }
}

impl AdmittedCall {
    /// Sends the call to the target and reads its response.
    pub(crate) async fn dispatch(self) -> Result<GuardResponse, CallRefusal> {
        let entry = self
            .call
            .state
            .active_calls
            .insert(self.call.context.clone());
        let deadline = self.call.state.clock.instant_of(self.call.context.deadline);
        let message = self.target_request();
        match self.call.target.pool.send(message, deadline).await {
            Ok((response, connection)) => self.read_body(entry, response, connection).await,
            Err(SendFailure::NotSent(error)) => {
                self.ticket.finish(CompletionKind::Failure);
                let refusal = CallRefusal::not_run(RefusalKind::NoTarget, error.to_string());
                Err(refusal.with_retry_after(UNREACHABLE_TARGET_RETRY_AFTER))
            }
            Err(SendFailure::Broken(error) | SendFailure::BadResponse(error)) => {
                self.ticket.finish(CompletionKind::Failure);
                let kind = RefusalKind::ResponseBroken;
                Err(CallRefusal::unknown(kind, error.to_string()))
            }
            Err(SendFailure::TimedOut(error)) => {
                self.ticket.finish(CompletionKind::Cancelled);
                let kind = RefusalKind::DeadlineExceeded;
                Err(CallRefusal::unknown(kind, error.to_string()))
            }
        }
    }

    async fn read_body(
        self,
        entry: ActiveEntry,
        response: Response<Incoming>,
        connection: TargetConnection,
    ) -> Result<GuardResponse, CallRefusal> {
        let state = self.call.state.clone();
        let limit = state.settings.limits.response_buffer_bytes;
        let deadline = state.clock.instant_of(self.call.context.deadline);
        let (mut head, body) = response.into_parts();
        clean_response_headers(&mut head.headers);
        let kind = if head.status.is_server_error() {
            CompletionKind::Failure
        } else {
            CompletionKind::Success
        };
        let prefix = timeout_at(deadline, read_response(body, limit)).await;
        let chain_threshold = entry.call.chain_threshold();
        let body = match prefix {
            Ok(Ok(ResponsePrefix::Complete { data, trailers })) => {
                connection.release();
                self.record_completed(head.status.as_u16());
                self.ticket.finish(kind);
                remove_content_length(&self.call.request.method, head.status, &mut head.headers);
                ResponseBody::buffered(data, trailers)
            }
            Ok(Ok(ResponsePrefix::Partial { prefix, rest })) => {
                self.record_completed(head.status.as_u16());
                let observer = GuardObserver {
                    ticket: self.ticket,
                    connection,
                    _entry: entry,
                    _token: self.call.token,
                };
                ResponseBody::streamed(prefix, rest, deadline, observer)
            }
            Ok(Err(error)) => {
                self.ticket.finish(CompletionKind::Failure);
                let detail = format!("response of {} ended early: {error}", connection.target());
                return Err(CallRefusal::unknown(RefusalKind::ResponseBroken, detail));
            }
            Err(_) => {
                self.ticket.finish(CompletionKind::Cancelled);
                let detail = "deadline passed before the response was complete";
                let kind = RefusalKind::DeadlineExceeded;
                return Err(CallRefusal::unknown(kind, detail));
            }
        };
        let mut response = Response::from_parts(head, body);
        let load = state.load_feedback(chain_threshold);
        set_feedback_headers(response.headers_mut(), RunOutcome::Run, load);
        Ok(response)
    }

    fn target_request(&self) -> Request<SegmentedBody> {
        let request = &self.call.request;
        let mut message = Request::new(request.body.clone().into());
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = request.path.clone().into();
        let headers = message.headers_mut();
        *headers = request.headers.clone();
        let now = self.call.state.clock.now();
        set_header(headers, CONTEXT_HEADER, &self.call.context.encode(now));
        let host = self.call.target.announcement.address.to_string();
        set_header(headers, HOST.as_str(), &host);
        message
    }

    fn record_completed(&self, status: u16) {
        let elapsed = self.call.state.clock.now().since(self.started_at);
        self.call.state.events.record(EventKind::CallCompleted {
            request: self.call.context.request,
            call: self.call.context.call,
            service: self.call.request.service.clone(),
            target: self.call.target.announcement.address,
            status,
            outcome: RunOutcome::Run,
            elapsed_us: u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX),
        });
    }
}

impl StreamObserver for GuardObserver {
    fn on_end(self, outcome: StreamOutcome) {
        match outcome {
            StreamOutcome::Complete => {
                self.connection.release();
                self.ticket.finish(CompletionKind::Streamed);
            }
            StreamOutcome::Broken => self.ticket.finish(CompletionKind::Failure),
            StreamOutcome::Abandoned => self.ticket.finish(CompletionKind::Streamed),
        }
    }
}

/// Sets the headers that report the outcome and the load to the router.
pub(crate) fn set_feedback_headers(
    headers: &mut HeaderMap,
    outcome: RunOutcome,
    load: LoadFeedback,
) {
    set_header(headers, OUTCOME_HEADER, outcome.into());
    set_header(headers, LOAD_HEADER, &load.encode());
}

fn admission_refusal(refusal: &AdmissionRefusal, request: &CallRequest) -> CallRefusal {
    let kind = match refusal.reason {
        RefusalReason::Draining => RefusalKind::Draining,
        RefusalReason::DeadlineTooNear => RefusalKind::DeadlineExceeded,
        RefusalReason::BelowThreshold
        | RefusalReason::QueueFull
        | RefusalReason::Sojourn
        | RefusalReason::DownstreamThreshold => RefusalKind::Overload,
    };
    let detail = format!("guard of {}: {}", request.service, refusal.reason);
    CallRefusal::not_run(kind, detail).with_retry_after(refusal.retry_after)
}

impl DaemonState {
    /// The load that responses of this daemon report.
    pub(crate) fn load_feedback(&self, chain_threshold: CallPriority) -> LoadFeedback {
        let Some(target) = self.target.get() else {
            return LoadFeedback::default();
        };
        let load = target.guard.load();
        LoadFeedback {
            threshold: load.threshold,
            chain_threshold: chain_threshold.max(load.threshold),
            utilization_percent: load.utilization_percent,
        }
    }
}
