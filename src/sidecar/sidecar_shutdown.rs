use {
    super::{
        PlatformAdapter, SidecarDaemon, drain_window::DrainWindow, sidecar_state::SidecarPhase,
    },
    std::time::Duration,
    tokio::time::{Instant, interval, sleep},
};

/// Time until the sidecar leaves the membership. Its target still serves calls of other sidecars
/// until then, and calls that they have sent end within it.
const TARGET_SERVE_TIME: Duration = Duration::from_millis(1_300);
/// Time for which new callers are accepted after the readiness check has started to fail.
const CALLER_DRAIN_TIME: Duration = Duration::from_millis(2_300);
/// Time without a call in flight after which no more calls are expected.
const IDLE_TIME: Duration = Duration::from_millis(300);
/// Share of the shutdown grace after which the sidecar itself responds to calls still in flight.
const DRAIN_SHARE: f64 = 0.86;
/// Time for writing those last responses.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(250);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl<P: PlatformAdapter> SidecarDaemon<P> {
    /// Fails the readiness check, waits for calls in flight, and stops within the shutdown grace.
    pub async fn shutdown(self) {
        let start = Instant::now();
        let drain_time = self.state.settings.shutdown_grace.mul_f64(DRAIN_SHARE);
        let drain_deadline = start + drain_time;
        let now = self.state.clock.now();
        self.state.start_drain(DrainWindow {
            callers_end: now + CALLER_DRAIN_TIME,
            end: now + drain_time,
        });
        let mut checks = interval(CHECK_INTERVAL);
        let mut idle_since = Instant::now();
        let mut has_closed_listener = false;
        let mut has_left_membership = false;
        while Instant::now() < drain_deadline {
            checks.tick().await;
            if !has_left_membership && start.elapsed() > TARGET_SERVE_TIME {
                has_left_membership = true;
                let membership = self.state.membership.clone();
                tokio::spawn(async move { membership.leave().await });
            }
            // Calls that the target is running may make calls of their own on the same listener.
            let has_running = !self.state.running.is_empty();
            if !has_closed_listener && !has_running && start.elapsed() > CALLER_DRAIN_TIME {
                has_closed_listener = true;
                self.outbound_shutdown.draining.cancel();
            }
            if self.is_busy(has_closed_listener) {
                idle_since = Instant::now();
            }
            if has_closed_listener && idle_since.elapsed() > IDLE_TIME {
                break;
            }
        }
        self.state.advance_to(SidecarPhase::Stopping);
        sleep(FINAL_WRITE_TIME).await;
        self.state.membership.stop().await;
        self.outbound_shutdown.close();
        self.internal_shutdown.close();
        slog::info!(self.state.log.logger, "stopped";
            "took_ms" => start.elapsed().as_millis(), "in_flight" => self.state.in_flight.len());
    }

    /// Whether requests are in flight or responses are being written. Connections of callers end
    /// after their last response once the listener is closed.
    fn is_busy(&self, has_closed_listener: bool) -> bool {
        let is_writing = has_closed_listener && !self.outbound_shutdown.tracker.is_empty();
        is_writing || !self.state.in_flight.is_empty() || !self.state.running.is_empty()
    }
}
