use {
    super::{
        PlatformAdapter, SidecarDaemon,
        drain_window::{DrainWindow, LAST_WRITE_TIME},
        sidecar_state::SidecarPhase,
    },
    crate::net::ListenerShutdown,
    futures_util::future::{join, join_all},
    std::time::Duration,
    tokio::time::{Instant, interval, sleep_until, timeout, timeout_at},
};

/// Time in which other sidecars answer that a connection is closed. They owe and are owed nothing by
/// then, and one that is suspended or can't be reached never answers.
const PEER_CLOSE_TIME: Duration = Duration::from_millis(500);
/// Time in which the membership protocol stops.
const MEMBERSHIP_STOP_TIME: Duration = Duration::from_millis(50);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

impl<P: PlatformAdapter> SidecarDaemon<P> {
    /// Fails the readiness check, waits for calls in flight, and stops within the shutdown grace.
    pub async fn shutdown(self) {
        let start = Instant::now();
        let drain = DrainWindow::new(self.state.clock.now(), self.state.settings.shutdown_grace);
        self.state.start_drain(drain);
        let log = &self.state.log.logger;
        let completing = self.complete_calls(drain);
        let end = self.state.clock.instant_of(drain.end);
        if timeout_at(end, completing).await.is_err() {
            slog::warn!(log, "calls ended by the stop: the grace was over";
                "in_flight" => self.state.in_flight.len(), "taken" => self.state.taken.len());
        }
        self.state.advance_to(SidecarPhase::Stopping);
        let shutdowns = [
            &self.outbound_shutdown,
            &self.mesh_shutdown,
            &self.internal_shutdown,
        ];
        let closing = join_all(shutdowns.map(close_gracefully));
        if timeout(LAST_WRITE_TIME, closing).await.is_err() {
            let [callers, peers, internal] = shutdowns.map(|shutdown| shutdown.tracker.len());
            slog::warn!(log, "connections ended by the stop: still open after the last responses";
                "callers" => callers, "peers" => peers, "internal" => internal);
        }
        let stopping = timeout(MEMBERSHIP_STOP_TIME, self.state.membership.stop());
        if stopping.await.is_err() {
            slog::info!(log, "membership protocol still running: it took longer to stop";
                "limit_ms" => MEMBERSHIP_STOP_TIME.as_millis());
        }
        for shutdown in shutdowns {
            shutdown.close();
        }
        slog::info!(log, "stopped";
            "took_ms" => start.elapsed().as_millis(), "in_flight" => self.state.in_flight.len());
    }

    /// Takes calls until callers and other sidecars know of the shutdown, and waits until all that
    /// have been taken are complete.
    async fn complete_calls(&self, drain: DrainWindow) {
        let clock = self.state.clock;
        sleep_until(clock.instant_of(drain.leave_at)).await;
        let membership = self.state.membership.clone();
        tokio::spawn(async move { membership.leave().await });
        sleep_until(clock.instant_of(drain.callers_end)).await;
        // Calls that the target runs may make calls of their own on the listener of the callers.
        wait_until(|| self.is_target_idle()).await;
        self.state.advance_to(SidecarPhase::Closing);
        self.outbound_shutdown.draining.cancel();
        wait_until(|| self.is_target_idle() && self.state.in_flight.is_empty()).await;
        // A connection ends once its responses have been written.
        let closing_mesh = timeout(PEER_CLOSE_TIME, close_gracefully(&self.mesh_shutdown));
        let closing_callers = close_gracefully(&self.outbound_shutdown);
        let ((), closed_mesh) = join(closing_callers, closing_mesh).await;
        if closed_mesh.is_err() {
            slog::info!(self.state.log.logger, "connections of peers still open: not closed in time";
                "peers" => self.mesh_shutdown.tracker.len());
        }
    }

    fn is_target_idle(&self) -> bool {
        let now = self.state.clock.now();
        self.state.taken.is_empty() && !self.state.running.has_active(now)
    }
}

/// Closes a listener, and its connections once they have written their responses.
async fn close_gracefully(shutdown: &ListenerShutdown) {
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
