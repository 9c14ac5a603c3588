use {
    super::super::{
        ConfigSource, ConfigStanding, FeedPosition, PlatformAdapter, attempt_report::RelayBody,
        config_watch::apply_row, sidecar_state::SidecarState,
    },
    crate::{
        accounts::{ProofSchedule, ProofStep},
        error::{ProcessStep, StepError},
        membership::MemberState,
        net::{ResponseBody, SegmentedBody, SendFailure, set_header},
    },
    bytes::Bytes,
    http::{Request, Response},
    rand::seq::IteratorRandom,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, MissedTickBehavior, interval, timeout},
};

/// Path at which a sidecar reports its proof.
pub(crate) const PROOF_PATH: &str = "/bt/proof";
/// Header of responses between sidecars with the proof of the one that responds.
pub(crate) const PROOF_HEADER: &str = "bt-proof";

/// Time allowed for the answer of another sidecar.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Keeps the proof of the configuration new until the process ends, while accounts are in use.
///
/// Responses of other sidecars bring their proofs along, so that a small number of sidecars asks the
/// store on behalf of all.
pub(crate) async fn keep_proof<P: PlatformAdapter, S: ConfigSource>(
    state: Arc<SidecarState<P>>,
    source: S,
) {
    if state.accounts.rule.max_age().is_none() {
        return;
    }
    let mut ticks = interval(ProofSchedule::STEP_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut schedule = ProofSchedule::default();
    let mut position = None;
    loop {
        ticks.tick().await;
        if state
            .config()
            .is_none_or(|config| config.accounts.is_none())
        {
            continue;
        }
        let now = state.clock.now();
        let members = state.membership.view().borrow().members.len();
        let age = state.accounts.proof_age(now);
        let step = schedule.next_step(now, age, members, &mut rand::rng());
        match step {
            ProofStep::Wait => {}
            ProofStep::AskPeer => ask_peer(&state).await,
            ProofStep::AskStore => {
                metrics::counter!("banyantrestle_proof_requests_total").increment(1);
                let result = ask_store(&state, &source, &mut position).await;
                let now = state.clock.now();
                schedule.record_store(now, result.is_ok(), &mut rand::rng());
                if let Err(error) = result {
                    slog::info!(state.log.logger, "configuration not confirmed by the store";
                        "step" => %error.step, "peer" => &error.peer, "error" => %error.source);
                }
            }
        }
    }
}

/// Proves that the configuration in force is the newest, or applies the one that is.
async fn ask_store<P: PlatformAdapter, S: ConfigSource>(
    state: &SidecarState<P>,
    source: &S,
    position: &mut Option<FeedPosition>,
) -> Result<(), StepError> {
    let asked_at = state.clock.now();
    if let Some(known) = *position {
        match source.confirm(known).await? {
            ConfigStanding::Unchanged => {
                state.accounts.record_proof(asked_at);
                return Ok(());
            }
            ConfigStanding::Outdated => {
                slog::info!(
                    state.log.logger,
                    "outdated answer of the store proves nothing"
                );
                return Ok(());
            }
            ConfigStanding::Changed => *position = None,
        }
    }
    let asked_at = state.clock.now();
    let row = source.read().await?;
    let row_position = row.position;
    if apply_row(state, row, asked_at).await {
        *position = Some(row_position);
    }
    Ok(())
}

/// Asks a random sidecar for its proof.
async fn ask_peer<P: PlatformAdapter>(state: &SidecarState<P>) {
    let own_address = state.settings.listen.mesh;
    let peer = {
        let view = state.membership.view().borrow().clone();
        let others = view
            .members
            .iter()
            .filter(|record| record.mesh != own_address && record.state == MemberState::Alive);
        others.map(|record| record.mesh).choose(&mut rand::rng())
    };
    let Some(peer) = peer else {
        return;
    };
    let asked_at = state.clock.now();
    match request_proof(state, peer).await {
        Ok(Some(text)) => {
            let version = state.config().map_or(0, |config| config.version);
            state.accounts.merge_proof(version, asked_at, &text);
        }
        Ok(None) => {}
        Err(error) => {
            slog::debug!(state.log.logger, "no proof from the peer";
                "step" => %error.step, "peer" => &error.peer, "error" => %error.source);
        }
    }
}

async fn request_proof<P: PlatformAdapter>(
    state: &SidecarState<P>,
    peer: SocketAddr,
) -> Result<Option<String>, StepError> {
    let failed = |reason: String| StepError::new(ProcessStep::RequestProof, peer, reason);
    let request = Request::get(format!("http://{peer}{PROOF_PATH}"))
        .body(SegmentedBody::default())
        .map_err(|error| failed(error.to_string()))?;
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let response = timeout(
        ANSWER_TIMEOUT,
        state.mesh_pool.send(peer, request, deadline),
    )
    .await;
    let response = response
        .map_err(|_| failed(format!("no answer within {ANSWER_TIMEOUT:?}")))?
        .map_err(SendFailure::into_error)?;
    let text = response.headers().get(PROOF_HEADER);
    let text = text.and_then(|text| text.to_str().ok());
    Ok(text.map(str::to_owned))
}

/// Reports the proof of this sidecar to another.
pub(crate) fn serve_proof<P: PlatformAdapter>(state: &SidecarState<P>) -> Response<RelayBody> {
    let mut response = Response::new(ResponseBody::buffered(Bytes::new(), None));
    if let Some(text) = state.proof_report() {
        set_header(response.headers_mut(), PROOF_HEADER, &text);
    }
    response
}
