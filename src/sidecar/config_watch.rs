use {
    super::{
        ConfigRow, ConfigSource, FeedEvent, PlatformAdapter,
        sidecar_state::{ActiveConfig, SidecarState},
    },
    crate::{
        error::{ProcessStep, StepError},
        net::{SendFailure, read_request},
    },
    bytes::Bytes,
    http::{Request, StatusCode},
    http_body_util::Full,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Path at which sidecars hand the document in force to each other.
pub(crate) const PLAN_PATH: &str = "/bt/plan";

/// Longest wait for one change; a feed that went silent is noticed after that at the latest.
const FEED_PATIENCE: Duration = Duration::from_secs(10);
const FIRST_RETRY: Duration = Duration::from_millis(150);
const LAST_RETRY: Duration = Duration::from_secs(2);
/// Time for the own feed to bring a version that others have, before it is fetched from them.
const FEED_HEADSTART: Duration = Duration::from_millis(150);
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of the largest document.
const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// Puts a document in force if it is newer than the one that is; versions never go back.
pub(crate) async fn adopt<D: PlatformAdapter>(
    state: &SidecarState<D>,
    document: Bytes,
    origin: &str,
) {
    let plan = match state.dialect.read_plan(&document) {
        Ok(plan) => Arc::new(plan),
        Err(error) => {
            slog::warn!(state.log.logger, "configuration passed over";
                "origin" => origin, "error" => error);
            return;
        }
    };
    let version = plan.version;
    let is_new = state.plan.send_if_modified(|current| {
        let is_new = current
            .as_ref()
            .is_none_or(|in_force| in_force.plan.version < version);
        if is_new {
            *current = Some(ActiveConfig { plan, document });
        }
        is_new
    });
    if is_new {
        slog::info!(state.log.logger, "configuration in force";
            "version" => version, "origin" => origin);
        metrics::counter!("banyantrestle_plan_version").absolute(version);
        state.membership.set_policy_in_force(version, version).await;
    }
}

/// Follows the configuration in the store for as long as the process runs.
pub(crate) async fn follow_store<D: PlatformAdapter, S: ConfigSource>(
    state: Arc<SidecarState<D>>,
    source: S,
) {
    let mut retry = FIRST_RETRY;
    let mut is_lost = false;
    loop {
        let error = match source.read().await {
            Ok(row) => {
                let mut position = 0;
                take_row(&state, row, &mut position).await;
                if std::mem::take(&mut is_lost) {
                    slog::info!(state.log.logger, "store regained");
                }
                retry = FIRST_RETRY;
                follow_feed(&state, &source, position).await
            }
            Err(error) => Some(error),
        };
        if let Some(error) = error
            && !std::mem::replace(&mut is_lost, true)
        {
            slog::warn!(state.log.logger, "store lost";
                "step" => %error.step, "peer" => &error.peer, "error" => %error.source);
        }
        sleep(retry.mul_f64(rand::random_range(0.75..1.25))).await;
        retry = (retry * 2).min(LAST_RETRY);
    }
}

/// Takes changes until the feed fails or has lost the position.
async fn follow_feed<D: PlatformAdapter, S: ConfigSource>(
    state: &SidecarState<D>,
    source: &S,
    mut position: u64,
) -> Option<StepError> {
    loop {
        match source.wait(position, FEED_PATIENCE).await {
            Ok(FeedEvent::Changed(row)) => take_row(state, row, &mut position).await,
            Ok(FeedEvent::HistoryLost) => {
                slog::info!(state.log.logger, "history of the store lost"; "position" => position);
                return None;
            }
            Err(error) => return Some(error),
        }
    }
}

async fn take_row<D: PlatformAdapter>(state: &SidecarState<D>, row: ConfigRow, position: &mut u64) {
    *position = row.position.max(*position);
    if let Some(document) = row.document {
        adopt(state, document, "store").await;
    }
}

/// Fetches versions that gossip tells of and the own feed does not bring.
pub(crate) async fn follow_gossip<D: PlatformAdapter>(state: Arc<SidecarState<D>>) {
    let mut sightings = state.membership.highest_policy();
    while sightings.changed().await.is_ok() {
        sleep(FEED_HEADSTART).await;
        let seen = *sightings.borrow_and_update();
        let known = state.plan().map_or(0, |plan| plan.version);
        if seen.version <= known {
            continue;
        }
        match fetch(&state, seen.holder).await {
            Ok(document) => adopt(&state, document, "peer").await,
            Err(error) => slog::warn!(state.log.logger, "configuration not fetched";
                "step" => %error.step, "peer" => &error.peer, "error" => %error.source),
        }
    }
}

async fn fetch<D: PlatformAdapter>(
    state: &SidecarState<D>,
    peer: SocketAddr,
) -> Result<Bytes, StepError> {
    let failed = |reason: String| StepError::new(ProcessStep::LoadPolicy, peer, reason);
    let request = Request::get(format!("http://{peer}{PLAN_PATH}"))
        .body(Full::new(Bytes::new()))
        .map_err(|error| failed(error.to_string()))?;
    let deadline = Instant::now() + FETCH_TIMEOUT;
    let response = state.mesh.send(peer, request, deadline).await;
    let response = response.map_err(SendFailure::into_error)?;
    if response.status() != StatusCode::OK {
        return Err(failed(format!("status {}", response.status())));
    }
    let document = read_request(response.into_body(), MAX_DOCUMENT_BYTES, FETCH_TIMEOUT).await;
    document.map_err(|error| failed(error.to_string()))
}
