use {
    crate::trace_plan::{PlannedExpectation, TracePlan},
    banyantrestle::{
        admission::{
            AdmissionDecision, AdmissionRequest, CompletionKind, GuardEffect, LoadReport, TicketKey,
        },
        policy::OverloadPolicy,
        replay::{CallOutcome, GuardHeader, OfferedCall, TraceEvent, TraceLine},
        time::TimePoint,
    },
    standins::model::GuardObserver,
    std::{collections::HashMap, iter::Peekable, vec::IntoIter},
};

/// Writes the inputs of an admission guard and its decisions as the lines of a trace.
pub struct TraceRecorder {
    text: String,
    expectations: Peekable<IntoIter<PlannedExpectation>>,
    call_numbers: HashMap<TicketKey, u64>,
    offered_calls: u64,
    /// Line of the latest input. The effects that follow are added to its outcomes.
    current_line: Option<TraceLine<'static>>,
}

impl TraceRecorder {
    pub fn new(plan: &TracePlan, policy: &OverloadPolicy) -> Self {
        let mut recorder = Self {
            text: String::new(),
            expectations: plan.expectations.clone().into_iter().peekable(),
            call_numbers: HashMap::new(),
            offered_calls: 0,
            current_line: None,
        };
        recorder.write_line(&TraceLine {
            at_us: 0,
            event: TraceEvent::Guard(GuardHeader {
                name: plan.scenario.name,
                slots: plan.scenario.announced_slots,
                queue_target_ms: policy.queue_target_ms,
                queue_interval_ms: policy.queue_interval_ms,
            }),
            outcome: None,
        });
        recorder
    }

    pub fn into_text(mut self) -> String {
        self.finish_line();
        self.text
    }

    fn start_line(
        &mut self,
        now: TimePoint,
        event: TraceEvent<'static>,
        outcome: Vec<CallOutcome>,
    ) {
        self.finish_line();
        self.write_due_expectations(now);
        self.current_line = Some(TraceLine {
            at_us: now.as_micros(),
            event,
            outcome: Some(outcome),
        });
    }

    fn finish_line(&mut self) {
        if let Some(line) = self.current_line.take() {
            self.write_line(&line);
        }
    }

    fn write_due_expectations(&mut self, now: TimePoint) {
        while let Some(planned) = self.expectations.next_if(|planned| planned.at <= now) {
            self.write_line(&TraceLine {
                at_us: now.as_micros(),
                event: TraceEvent::Expect(planned.expectation),
                outcome: None,
            });
        }
    }

    fn write_line(&mut self, line: &TraceLine<'_>) {
        let text = serde_json::to_string(line).expect("trace lines can be serialized as JSON");
        self.text.push_str(&text);
        self.text.push('\n');
    }
}

impl GuardObserver for TraceRecorder {
    fn offer(&mut self, now: TimePoint, request: &AdmissionRequest, decision: &AdmissionDecision) {
        self.offered_calls += 1;
        let call = self.offered_calls;
        let outcome = match *decision {
            AdmissionDecision::Start(key) => {
                self.call_numbers.insert(key, call);
                CallOutcome::Start(call)
            }
            AdmissionDecision::Queued(key) => {
                self.call_numbers.insert(key, call);
                CallOutcome::Queue(call)
            }
            AdmissionDecision::Refused(refusal) => CallOutcome::Refuse {
                call,
                reason: refusal.reason,
            },
        };
        let offered_call = OfferedCall {
            call,
            priority: request.priority.as_u32(),
            depth: request.depth,
            deadline_us: request.deadline.as_micros(),
        };
        self.start_line(now, TraceEvent::Offer(offered_call), vec![outcome]);
    }

    fn finish(&mut self, now: TimePoint, key: TicketKey, kind: CompletionKind) {
        let call = self.call_numbers[&key];
        self.start_line(now, TraceEvent::Finish { call, kind }, Vec::new());
    }

    fn report_load(&mut self, now: TimePoint, report: LoadReport) {
        self.start_line(now, TraceEvent::Load(report), Vec::new());
    }

    fn tick(&mut self, now: TimePoint) {
        self.start_line(now, TraceEvent::Tick, Vec::new());
    }

    fn effect(&mut self, effect: &GuardEffect) {
        let outcome = match *effect {
            GuardEffect::Start(key) => CallOutcome::Start(self.call_numbers[&key]),
            GuardEffect::Drop(key, refusal) => CallOutcome::Refuse {
                call: self.call_numbers[&key],
                reason: refusal.reason,
            },
        };
        if let Some(outcomes) = self
            .current_line
            .as_mut()
            .and_then(|line| line.outcome.as_mut())
        {
            outcomes.push(outcome);
        }
    }
}
