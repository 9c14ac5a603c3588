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

/// Writes what a guard is told and what it answers as the lines of a trace.
pub struct TraceRecorder {
    text: String,
    expectations: Peekable<IntoIter<PlannedExpectation>>,
    calls: HashMap<TicketKey, u64>,
    offered: u64,
    /// The line that may still get effects.
    open: Option<TraceLine<'static>>,
}

impl TraceRecorder {
    pub fn new(plan: &TracePlan, policy: &OverloadPolicy) -> Self {
        let mut recorder = Self {
            text: String::new(),
            expectations: plan.expectations.clone().into_iter().peekable(),
            calls: HashMap::new(),
            offered: 0,
            open: None,
        };
        recorder.write(&TraceLine {
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
        self.close();
        self.text
    }

    fn open(&mut self, now: TimePoint, event: TraceEvent<'static>, outcome: Vec<CallOutcome>) {
        self.close();
        self.write_due(now);
        self.open = Some(TraceLine {
            at_us: now.as_micros(),
            event,
            outcome: Some(outcome),
        });
    }

    fn close(&mut self) {
        if let Some(line) = self.open.take() {
            self.write(&line);
        }
    }

    fn write_due(&mut self, now: TimePoint) {
        while let Some(planned) = self.expectations.next_if(|planned| planned.at <= now) {
            self.write(&TraceLine {
                at_us: now.as_micros(),
                event: TraceEvent::Expect(planned.expectation),
                outcome: None,
            });
        }
    }

    fn write(&mut self, line: &TraceLine<'_>) {
        let text = serde_json::to_string(line).expect("a trace line is plain JSON");
        self.text.push_str(&text);
        self.text.push('\n');
    }
}

impl GuardObserver for TraceRecorder {
    fn offer(&mut self, now: TimePoint, request: &AdmissionRequest, verdict: &AdmissionDecision) {
        self.offered += 1;
        let call = self.offered;
        let outcome = match *verdict {
            AdmissionDecision::Start(key) => {
                self.calls.insert(key, call);
                CallOutcome::Start(call)
            }
            AdmissionDecision::Queued(key) => {
                self.calls.insert(key, call);
                CallOutcome::Queue(call)
            }
            AdmissionDecision::Refused(refusal) => CallOutcome::Refuse {
                call,
                reason: refusal.reason,
            },
        };
        let offered = OfferedCall {
            call,
            priority: request.priority.as_u32(),
            depth: request.depth,
            deadline_us: request.deadline.as_micros(),
        };
        self.open(now, TraceEvent::Offer(offered), vec![outcome]);
    }

    fn finish(&mut self, now: TimePoint, key: TicketKey, kind: CompletionKind) {
        let call = self.calls[&key];
        self.open(now, TraceEvent::Finish { call, kind }, Vec::new());
    }

    fn report_load(&mut self, now: TimePoint, report: LoadReport) {
        self.open(now, TraceEvent::Load(report), Vec::new());
    }

    fn tick(&mut self, now: TimePoint) {
        self.open(now, TraceEvent::Tick, Vec::new());
    }

    fn effect(&mut self, effect: &GuardEffect) {
        let outcome = match *effect {
            GuardEffect::Start(key) => CallOutcome::Start(self.calls[&key]),
            GuardEffect::Drop(key, refusal) => CallOutcome::Refuse {
                call: self.calls[&key],
                reason: refusal.reason,
            },
        };
        if let Some(outcomes) = self.open.as_mut().and_then(|line| line.outcome.as_mut()) {
            outcomes.push(outcome);
        }
    }
}
