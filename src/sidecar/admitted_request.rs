use {
    super::{IngressRefusal, PlatformAdapter, RouteRule, sidecar_state::SidecarState},
    crate::time::TimePoint,
};

/// A request that the ingress admission counts as in flight until this is dropped.
pub(super) struct AdmittedRequest<'a, P: PlatformAdapter> {
    state: &'a SidecarState<P>,
    route: &'a str,
    /// Rank with which the calls of the request wait for slots.
    pub(super) queue_rank: u8,
}

impl<'a, P: PlatformAdapter> AdmittedRequest<'a, P> {
    pub(super) fn admit(
        state: &'a SidecarState<P>,
        rule: &'a RouteRule,
        rank: u8,
        now: TimePoint,
    ) -> Result<Self, IngressRefusal> {
        let route = &rule.name;
        let queue_rank = state.admission().admit(now, route, rank)?;
        Ok(Self {
            state,
            route,
            queue_rank,
        })
    }

    pub(super) fn record_latency(&self, arrived_at: TimePoint, rule: &RouteRule) {
        let elapsed = self.state.clock.now().since(arrived_at);
        let limit = rule.latency_objective.min(rule.timeout);
        let mut admission = self.state.admission();
        admission.record_latency(self.route, elapsed, limit);
    }
}

impl<P: PlatformAdapter> Drop for AdmittedRequest<'_, P> {
    fn drop(&mut self) {
        self.state.admission().record_end(self.route);
    }
}
