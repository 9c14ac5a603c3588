use {
    super::{announce_service::withdraw, daemon_phase::DaemonPhase, daemon_process::Daemon},
    crate::{events::EventKind, net::ListenerShutdown},
    std::time::Duration,
    tokio::time::{Instant, interval, sleep, sleep_until},
    tokio_util::task::TaskTracker,
};

/// Time for which work still arrives while leaving is spread.
const LEAVE_GRACE: Duration = Duration::from_secs(2);
/// Longest wait for the rows of ended calls.
const CLAIM_TIME: Duration = Duration::from_secs(2);
/// Time between two looks at what is in flight.
const DRAIN_CHECK: Duration = Duration::from_millis(20);

impl Daemon {
    /// Leaves the deployment, lets what is in flight end, and stops.
    ///
    /// Ends early when `hurry` does.
    pub async fn shutdown<H: Future<Output = ()>>(self, hurry: H) {
        let limit = Duration::from_secs(self.state.settings.limits.shutdown_s);
        let deadline = Instant::now() + limit;
        tokio::select! {
            () = self.drain() => {}
            () = hurry => slog::warn!(self.state.log, "shutdown hurried, calls are cut off"),
            () = sleep_until(deadline) => {
                slog::warn!(self.state.log, "shutdown took too long, calls are cut off";
                    "limit_s" => limit.as_secs());
            }
        }
        self.state.membership.stop().await;
        self.enter(DaemonPhase::Stopped);
    }

    /// The target's own calls and the questions of other daemons are part of what is in flight, so
    /// their listeners close last.
    async fn drain(&self) {
        self.enter(DaemonPhase::Leaving);
        self.state.membership.leave().await;
        sleep(LEAVE_GRACE).await;
        self.enter(DaemonPhase::Draining);
        drain_gate(&self.entry_gate).await;
        wait_until_empty(&self.state.work).await;
        if !self.state.claims.drain(CLAIM_TIME).await {
            slog::warn!(self.state.log, "answers of ended calls were not written";
                "limit_ms" => CLAIM_TIME.as_millis());
        }
        withdraw(&self.state, "daemon stopped").await;
        drain_gate(&self.service_gate).await;
    }

    fn enter(&self, phase: DaemonPhase) {
        self.state.phase.send_replace(phase);
        self.state.events.record(EventKind::ShutdownStep {
            step: <&'static str>::from(phase).into(),
        });
        slog::info!(self.state.log, "phase"; "phase" => %phase);
    }
}

/// Accepts no connection any more and waits until those that are open have ended.
async fn drain_gate(gate: &ListenerShutdown) {
    gate.draining.cancel();
    wait_until_empty(&gate.tracker).await;
}

async fn wait_until_empty(tracker: &TaskTracker) {
    let mut checks = interval(DRAIN_CHECK);
    while !tracker.is_empty() {
        checks.tick().await;
    }
}
