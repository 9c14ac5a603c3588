use {
    super::{daemon_phase::DaemonPhase, daemon_state::DaemonState},
    crate::{
        console::{AdminToken, ConsoleState, DaemonReadiness, LoadView, read_and_respond},
        events::EventPage,
        membership::{MemberId, MemberRecord},
        net::{NoObserver, ResponseBody},
        policy::{AcceptedPolicy, ActivePolicy, PolicyDocument, SubmitError},
    },
    http::{Request, Response},
    hyper::body::Incoming,
    std::sync::Arc,
};

/// Serves the console and the operators' API.
pub(crate) async fn serve_admin(
    state: Arc<DaemonState>,
    request: Request<Incoming>,
) -> Response<ResponseBody<NoObserver>> {
    read_and_respond(state.as_ref(), request)
        .await
        .map(|body| ResponseBody::buffered(body, None))
}

impl ConsoleState for DaemonState {
    fn admin_token(&self) -> &AdminToken {
        &self.admin_token
    }

    fn local_member(&self) -> MemberId {
        self.member
    }

    fn members(&self) -> Vec<MemberRecord> {
        let view = self.membership.view().borrow().clone();
        view.members
            .iter()
            .map(|record| record.as_ref().clone())
            .collect()
    }

    fn load(&self) -> Vec<LoadView> {
        let Some(target) = self.target.get() else {
            return Vec::new();
        };
        let load = target.guard.load();
        vec![LoadView {
            service: target.announcement.service.clone(),
            target: target.announcement.address,
            running: load.in_flight,
            limit: load.limit,
            queued: load.queued,
            threshold: load.threshold,
        }]
    }

    fn policy(&self) -> Arc<ActivePolicy> {
        self.policy()
    }

    fn events(&self, since: u64, limit: usize) -> EventPage {
        self.events.since(since, limit)
    }

    fn metrics(&self) -> String {
        self.recorder.render()
    }

    fn readiness(&self) -> DaemonReadiness {
        let phase = self.phase();
        if phase == DaemonPhase::Serving {
            return DaemonReadiness::Ready;
        }
        DaemonReadiness::NotReady {
            reason: phase.to_string(),
        }
    }

    async fn submit_policy(
        &self,
        document: PolicyDocument,
        base_version: u64,
    ) -> Result<AcceptedPolicy, SubmitError> {
        self.policies.submit(document, base_version).await
    }
}
