use {
    super::{announce_service::withdraw_target, daemon_phase::DaemonPhase, daemon_process::Daemon},
    crate::{events::EventKind, net::ListenerShutdown},
    std::time::Duration,
    tokio::time::{Instant, interval, sleep, sleep_until},
    tokio_util::task::TaskTracker,
};

/// Time for which the daemon still serves new calls while its leave announcement reaches the other
/// daemons.
const LEAVE_GRACE: Duration = Duration::from_secs(2);
/// Maximum wait until the claim rows of ended calls are written.
const CLAIM_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the daemon checks whether connections or calls are still open.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl Daemon {
    /// Leaves the deployment, waits until the running calls have ended, and stops.
    ///
    /// Cuts off the remaining calls once `force` completes or the shutdown limit has passed.
    pub async fn shutdown<F: Future<Output = ()>>(self, force: F) {
        let limit = Duration::from_secs(self.state.settings.limits.shutdown_s);
        let deadline = Instant::now() + limit;
        tokio::select! {
            () = self.drain() => {}
            () = force => slog::warn!(self.state.log, "shutdown forced; cutting off the remaining calls"),
            () = sleep_until(deadline) => {
                slog::warn!(self.state.log, "shutdown limit has passed; cutting off the remaining calls";
                    "limit_s" => limit.as_secs());
            }
        }
        self.state.membership.stop().await;
        self.enter_phase(DaemonPhase::Stopped);
    }

    /// Drains the ingress listener first. The listeners for the target and the other daemons close
    /// last, since running calls may depend on further calls through them.
    async fn drain(&self) {
        self.enter_phase(DaemonPhase::Leaving);
        self.state.membership.leave().await;
        sleep(LEAVE_GRACE).await;
        self.enter_phase(DaemonPhase::Draining);
        drain_listener(&self.ingress_shutdown).await;
        wait_until_empty(&self.state.running_calls).await;
        if !self.state.claims.drain(CLAIM_WRITE_TIMEOUT).await {
            slog::warn!(self.state.log, "claim rows of ended calls were not written in time; shutdown continues";
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

/// Stops accepting connections and waits until the open ones have ended.
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
