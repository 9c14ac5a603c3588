use {
    super::super::{
        PlatformAdapter,
        request_log::LineCategory,
        sidecar_state::{SidecarPhase, SidecarState},
    },
    crate::{
        net::{CallerPresence, ResponseError},
        time::TimePoint,
    },
    metrics::counter,
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
    },
    strum::{Display, IntoStaticStr},
};

/// Why a request that had been sent to a target ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum UnansweredCause {
    /// The caller closed its connection, or its end of it.
    CallerLeft,
    /// The sidecar closed the connection when it stopped.
    Stopped,
    /// The task that served the connection panicked.
    Panicked,
    /// The connection of the caller failed.
    ConnectionLost,
    /// The deadline passed while the response was being relayed.
    DeadlinePassed,
    /// The target or its sidecar broke the response off.
    ResponseBroken,
}

impl From<&ResponseError> for UnansweredCause {
    fn from(error: &ResponseError) -> Self {
        match error {
            ResponseError::Broken(_) => Self::ResponseBroken,
            ResponseError::DeadlinePassed => Self::DeadlinePassed,
        }
    }
}

/// The response to a request, which is owed to its caller from the time that a target may run the
/// request. If this is dropped while it is owed, the request counts as unanswered.
#[derive(Debug)]
pub(crate) struct OwedAnswer<P: PlatformAdapter> {
    state: Arc<SidecarState<P>>,
    caller: CallerPresence,
    id: String,
    arrived_at: TimePoint,
    is_owed: AtomicBool,
}

impl<P: PlatformAdapter> OwedAnswer<P> {
    pub(crate) fn new(
        state: Arc<SidecarState<P>>,
        caller: CallerPresence,
        id: &str,
        arrived_at: TimePoint,
    ) -> Self {
        Self {
            state,
            caller,
            id: id.to_owned(),
            arrived_at,
            is_owed: AtomicBool::new(false),
        }
    }

    /// Records whether a target may have run the request.
    pub(crate) fn set_owed(&self, is_owed: bool) {
        self.is_owed.store(is_owed, Ordering::Relaxed);
    }

    /// Whether a target may have run the request.
    pub(crate) fn is_owed(&self) -> bool {
        self.is_owed.load(Ordering::Relaxed)
    }

    /// Records that the response is complete.
    pub(crate) fn finish(&self) {
        self.set_owed(false);
    }

    /// Counts a response that is broken off.
    pub(crate) fn break_off(&self, cause: UnansweredCause) {
        if !self.is_owed.swap(false, Ordering::Relaxed) {
            return;
        }
        let name: &'static str = cause.into();
        counter!("banyantrestle_unanswered_total", "cause" => name).increment(1);
        let is_expected = cause == UnansweredCause::CallerLeft;
        if !is_expected && self.state.log.try_acquire(LineCategory::Failure) {
            let elapsed = self.state.clock.now().since(self.arrived_at);
            slog::warn!(self.state.log.logger, "request ended without a response";
                "request" => &self.id, "cause" => name, "elapsed_ms" => elapsed.as_millis(),
                "phase" => %self.state.phase());
        }
    }

    fn drop_cause(&self) -> UnansweredCause {
        if thread::panicking() {
            UnansweredCause::Panicked
        } else if self.caller.has_left() {
            UnansweredCause::CallerLeft
        } else if self.state.phase() == SidecarPhase::Stopping {
            UnansweredCause::Stopped
        } else {
            UnansweredCause::ConnectionLost
        }
    }
}

impl<P: PlatformAdapter> Drop for OwedAnswer<P> {
    fn drop(&mut self) {
        self.break_off(self.drop_cause());
    }
}
