use {
    super::{PlatformAdapter, SidecarDaemon, sidecar_state::SidecarPhase},
    std::time::Duration,
    tokio::time::{Instant, interval, sleep},
};

/// Time for which the target still takes calls of other sidecars; what they send ends by then.
const SERVE_TIME: Duration = Duration::from_millis(1_300);
/// Time for which callers still come after the platform was told to send them elsewhere.
const LEAVE_TIME: Duration = Duration::from_millis(2_300);
/// Time without work after which nothing more is expected.
const QUIET_TIME: Duration = Duration::from_millis(300);
/// Part of the grace after which what is still in flight gets a final answer.
const END_SHARE: f64 = 0.86;
/// Time for those answers to be written.
const LAST_WRITES: Duration = Duration::from_millis(250);
const CHECK_PERIOD: Duration = Duration::from_millis(20);

impl<D: PlatformAdapter> SidecarDaemon<D> {
    /// Sends callers elsewhere, lets what is in flight end, and stops within the grace.
    pub async fn shutdown(self) {
        let start = Instant::now();
        let end = start + self.state.settings.grace.mul_f64(END_SHARE);
        self.state.enter(SidecarPhase::Leaving);
        let mut checks = interval(CHECK_PERIOD);
        let mut quiet_since = Instant::now();
        let mut is_refusing = false;
        let mut is_left = false;
        while Instant::now() < end {
            checks.tick().await;
            if !self.state.work.is_empty() || !self.state.running.is_empty() {
                quiet_since = Instant::now();
            }
            if !is_left && start.elapsed() > SERVE_TIME {
                is_left = true;
                let membership = self.state.membership.clone();
                tokio::spawn(async move { membership.leave().await });
            }
            if !is_refusing && start.elapsed() > LEAVE_TIME {
                is_refusing = true;
                self.outbound_gate.draining.cancel();
            }
            if is_refusing && quiet_since.elapsed() > QUIET_TIME {
                break;
            }
        }
        self.state.enter(SidecarPhase::Ending);
        sleep(LAST_WRITES).await;
        self.state.membership.stop().await;
        self.outbound_gate.close();
        self.inner_gate.close();
        slog::info!(self.state.log.logger, "stopped";
            "took_ms" => start.elapsed().as_millis(), "in_flight" => self.state.work.len());
    }
}
