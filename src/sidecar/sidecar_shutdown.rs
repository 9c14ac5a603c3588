use {
    super::{
        PlatformAdapter, SidecarDaemon, drain_window::DrainWindow, sidecar_state::SidecarPhase,
    },
    crate::net::ListenerShutdown,
    futures_util::future::{join, join_all},
    std::time::Duration,
    tokio::time::{Instant, interval, sleep_until, timeout, timeout_at},
};

/// Time until the sidecar leaves the membership. Its target still serves calls of other sidecars
/// until then, and calls that they have sent end within it.
const TARGET_SERVE_TIME: Duration = Duration::from_millis(1_300);
/// Time for which new callers are accepted after the readiness check has started to fail.
const CALLER_DRAIN_TIME: Duration = Duration::from_millis(2_300);
/// Share of the shutdown grace after which the sidecar itself responds to calls still in flight.
const DRAIN_SHARE: f64 = 0.86;
/// Time in which those last responses are written.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(250);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl<P: PlatformAdapter> SidecarDaemon<P> {
    /// Fails the readiness check, waits for calls in flight, and stops within the shutdown grace.
    pub async fn shutdown(self) {
        let start = Instant::now();
        let drain_time = self.state.settings.shutdown_grace.mul_f64(DRAIN_SHARE);
        let now = self.state.clock.now();
        self.state.start_drain(DrainWindow {
            callers_end: now + CALLER_DRAIN_TIME,
            end: now + drain_time,
        });
        // The calls that are left at the end are ended below.
        timeout_at(start + drain_time, self.complete_calls(start))
            .await
            .ok();
        self.state.advance_to(SidecarPhase::Stopping);
        let shutdowns = [
            &self.outbound_shutdown,
            &self.mesh_shutdown,
            &self.internal_shutdown,
        ];
        timeout(FINAL_WRITE_TIME, join_all(shutdowns.map(drain)))
            .await
            .ok();
        self.state.membership.stop().await;
        for shutdown in shutdowns {
            shutdown.close();
        }
        slog::info!(self.state.log.logger, "stopped";
            "took_ms" => start.elapsed().as_millis(), "in_flight" => self.state.in_flight.len());
    }

    /// Takes calls until callers and other sidecars know of the shutdown, and waits until all that
    /// have been taken are complete.
    async fn complete_calls(&self, start: Instant) {
        sleep_until(start + TARGET_SERVE_TIME).await;
        let membership = self.state.membership.clone();
        tokio::spawn(async move { membership.leave().await });
        sleep_until(start + CALLER_DRAIN_TIME).await;
        // Calls that the target runs may make calls of their own on the listener of the callers.
        wait_until(|| self.is_target_idle()).await;
        self.state.advance_to(SidecarPhase::Closing);
        self.outbound_shutdown.draining.cancel();
        wait_until(|| self.is_target_idle() && self.state.in_flight.is_empty()).await;
        // A connection ends once its responses have been written.
        join(drain(&self.outbound_shutdown), drain(&self.mesh_shutdown)).await;
    }

    fn is_target_idle(&self) -> bool {
        self.state.taken.is_empty() && self.state.running.is_empty()
    }
}

/// Closes a listener, and its connections once they have written their responses.
async fn drain(shutdown: &ListenerShutdown) {
    shutdown.draining.cancel();
    shutdown.tracker.close();
    shutdown.tracker.wait().await;
}

async fn wait_until<F: FnMut() -> bool>(mut condition: F) {
    let mut checks = interval(CHECK_INTERVAL);
    while !condition() {
        checks.tick().await;
    }
}
