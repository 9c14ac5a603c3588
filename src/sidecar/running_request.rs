use {
    super::{PlatformAdapter, sidecar_state::SidecarState},
    crate::time::TimePoint,
};

/// A request that starts a chain, between its first attempt and its end; counted as running until
/// this is dropped.
pub(crate) struct RunningRequest<'a, P: PlatformAdapter> {
    state: &'a SidecarState<P>,
    route: &'a str,
    started_at: TimePoint,
}

impl<'a, P: PlatformAdapter> RunningRequest<'a, P> {
    pub(crate) fn start(state: &'a SidecarState<P>, route: &'a str) -> Self {
        let started_at = state.clock.now();
        state.durations().add_running(started_at, route);
        Self {
            state,
            route,
            started_at,
        }
    }

    /// Records how long the request takes that ends at `ended_at`.
    pub(crate) fn finish(self, ended_at: TimePoint) {
        let duration = self.started_at.until(ended_at);
        let now = self.state.clock.now();
        self.state.durations().record(now, self.route, duration);
    }
}

impl<P: PlatformAdapter> Drop for RunningRequest<'_, P> {
    fn drop(&mut self) {
        let mut durations = self.state.durations();
        durations.remove_running(self.route, self.started_at);
    }
}
