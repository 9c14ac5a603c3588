use {
    super::{announce_service::withdraw_target, daemon_phase::DaemonPhase, daemon_process::Daemon},
    crate::{events::EventKind, net::ListenerShutdown},
    std::time::Duration,
    tokio::time::{Instant, interval, sleep, sleep_until},
    tokio_util::task::TaskTracker,
};

/// Time for which work still arrives while leaving is spread.
const LEAVE_GRACE: Duration = Duration::from_secs(2);
/// Longest wait for the rows of ended calls.
const CLAIM_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two looks at what is in flight.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Daemon {
    /// Leaves the deployment, lets what is in flight end, and stops.
    ///
    /// Ends early when `force` does.
    pub async fn shutdown<F: Future<Output = ()>>(self, force: F) {
        let limit = Duration::from_secs(self.state.settings.limits.shutdown_s);
        let deadline = Instant::now() + limit;
        tokio::select! {
            () = self.drain() => {}
            () = force => slog::warn!(self.state.log, "shutdown hurried, calls are cut off"),
            () = sleep_until(deadline) => {
                slog::warn!(self.state.log, "shutdown took too long, calls are cut off";
                    "limit_s" => limit.as_secs());
            }
        }
        self.state.membership.stop().await;
        self.enter_phase(DaemonPhase::Stopped);
    }

    /// The target's own calls and the questions of other daemons are part of what is in flight, so
    /// their listeners close last.
    async fn drain(&self) {
        self.enter_phase(DaemonPhase::Leaving);
        self.state.membership.leave().await;
        sleep(LEAVE_GRACE).await;
        self.enter_phase(DaemonPhase::Draining);
        drain_listener(&self.ingress_shutdown).await;
        wait_until_empty(&self.state.running_calls).await;
        if !self.state.claims.drain(CLAIM_WRITE_TIMEOUT).await {
            slog::warn!(self.state.log, "answers of ended calls were not written";
                "limit_ms" => CLAIM_WRITE_TIMEOUT.as_millis());
        }
        withdraw_target(&self.state, "daemon stopped").await;
        drain_listener(&self.internal_shutdown).await;
    }

    fn enter_phase(&self, phase: DaemonPhase) {
        self.state.phase.send_replace(phase);
        self.state.events.record(EventKind::ShutdownStep {
            step: <&'static str>::from(phase).into(),
        });
        slog::info!(self.state.log, "phase"; "phase" => %phase);
    }
}

/// Accepts no connection any more and waits until those that are open have ended.
async fn drain_listener(shutdown: &ListenerShutdown) {
    shutdown.draining.cancel();
    wait_until_empty(&shutdown.tracker).await;
}

async fn wait_until_empty(tracker: &TaskTracker) {
    let mut checks = interval(DRAIN_CHECK_INTERVAL);
    while !tracker.is_empty() {
        checks.tick().await;
    }
}
