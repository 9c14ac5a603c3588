use {
    super::{
        EndedRequest, IngressRefusal, PlatformAdapter, RouteRule, sidecar_state::SidecarState,
    },
    crate::time::TimePoint,
    metrics::counter,
};

/// A request that the ingress admission counts as in flight until this is dropped.
pub(super) struct AdmittedRequest<'a, P: PlatformAdapter> {
    state: &'a SidecarState<P>,
    route: &'a str,
    ended: EndedRequest,
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
        let admission = state.admission().admit(now, route, rank)?;
        if admission.is_lifted {
            counter!("banyantrestle_lifted_requests_total", "route" => route.clone()).increment(1);
        }
        Ok(Self {
            state,
            route,
            ended: EndedRequest {
                rank,
                is_lifted: admission.is_lifted,
                is_served: false,
            },
            queue_rank: admission.queue_rank,
        })
    }

    /// Records a complete response.
    pub(super) fn record_success(&mut self, arrived_at: TimePoint, rule: &RouteRule) {
        self.ended.is_served = true;
        let elapsed = self.state.clock.now().since(arrived_at);
        let limit = rule.latency_objective.min(rule.timeout);
        let mut admission = self.state.admission();
        admission.record_latency(self.route, elapsed, limit);
    }
}

impl<P: PlatformAdapter> Drop for AdmittedRequest<'_, P> {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        let mut admission = self.state.admission();
        admission.record_end(now, self.route, self.ended);
    }
}
