use {
    super::{
        SlotOutcome, run_guard::RunGuard, running_calls::RunningGuard, slot_semaphore::SlotPermit,
    },
    crate::{
        crash::RunEnd,
        net::{BodyReservation, StreamObserver, StreamOutcome},
    },
    tokio_util::task::task_tracker::TaskTrackerToken,
};

/// A call whose response is being relayed: its slot, and its place among the calls that the target
/// is running.
#[derive(Debug)]
pub(crate) struct StreamedRun {
    pub(crate) permit: SlotPermit,
    pub(crate) run: RunGuard,
    /// Keeps the sidecar from ending meanwhile.
    pub(crate) _in_flight: TaskTrackerToken,
    /// Memory of the buffers between the target and the caller.
    pub(crate) _buffers: BodyReservation,
    /// Makes the call known as the parent of the target's own calls.
    pub(crate) running: RunningGuard,
}

/// The call that a relayed response belongs to, at the sidecar of its target.
pub(crate) type ResponseRun = Option<StreamedRun>;

impl StreamObserver for ResponseRun {
    fn on_end(self, outcome: StreamOutcome) {
        let Some(call) = self else {
            return;
        };
        let (slot_outcome, end) = match outcome {
            StreamOutcome::Complete => (SlotOutcome::Responded, RunEnd::Answered),
            StreamOutcome::Broken => (SlotOutcome::Failed, RunEnd::Broken),
            StreamOutcome::Abandoned => (SlotOutcome::Abandoned, RunEnd::Abandoned),
        };
        if end == RunEnd::Broken {
            call.permit.release(slot_outcome);
            call.run.finish_broken();
        } else {
            call.finish(slot_outcome, end);
        }
    }
}

impl StreamedRun {
    pub(crate) fn finish(self, outcome: SlotOutcome, end: RunEnd) {
        self.permit.release(outcome);
        self.run.finish(end);
        // After any other end the target may still be running the call.
        if matches!(end, RunEnd::Answered | RunEnd::NotRun) {
            self.running.finish();
        }
    }

    /// Ends a call that was not sent to the target.
    pub(crate) fn finish_not_run(self) {
        self.finish(SlotOutcome::Abandoned, RunEnd::NotRun);
    }
}
