use {
    super::{
        ConfigRow, ConfigSource, FeedEvent, FeedPosition, PlatformAdapter,
        sidecar_state::{ActiveConfig, SidecarState},
        unread_fields::FieldSource,
    },
    crate::{
        accounts::AccountTable,
        error::{ProcessStep, StepError},
        net::{SegmentedBody, SendFailure, read_request},
        time::TimePoint,
    },
    bytes::Bytes,
    http::{Request, StatusCode},
    std::{net::SocketAddr, ops::Range, sync::Arc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Path at which sidecars fetch the configuration document in force from each other.
pub(crate) const CONFIG_PATH: &str = "/bt/plan";

/// Maximum wait for one change, which bounds the time until a feed that sends nothing is detected.
const MAX_FEED_WAIT: Duration = Duration::from_secs(10);
/// Random factors of the delay, so that sidecars do not read the store at the same time.
const RETRY_JITTER: Range<f64> = 0.75..1.25;
/// Bounds of the exponential delay between attempts to read the store.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(150);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_200);
/// Time that the store's feed has to deliver a version that gossip announces before it is fetched
/// from a peer.
const PEER_FETCH_DELAY: Duration = Duration::from_millis(150);
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a document, in bytes.
const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

/// What became of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DocumentStanding {
    InForce,
    /// A newer version is in force.
    Outdated,
    /// It is not valid; the version in force stays.
    Rejected,
}

/// Puts a document in force if its version is newer than the active one; `origin` names its source
/// in the log.
pub(crate) async fn apply_document<P: PlatformAdapter>(
    state: &SidecarState<P>,
    document: Bytes,
    origin: &str,
) -> DocumentStanding {
    let config = match state.platform.parse_config(&document) {
        Ok(config) => Arc::new(config),
        Err(error) => {
            slog::warn!(state.log.logger, "invalid configuration rejected";
                "origin" => origin, "error" => error);
            return DocumentStanding::Rejected;
        }
    };
    for name in state.platform.unread_config_fields(&document) {
        let source = FieldSource::Configuration;
        state.unread_fields.record(source, &name, &state.log.logger);
    }
    let version = config.version;
    let is_newer = state.config.send_if_modified(|current| {
        let is_newer = current
            .as_ref()
            .is_none_or(|active| active.config.version < version);
        if is_newer {
            *current = Some(ActiveConfig {
                config: config.clone(),
                document,
            });
        }
        is_newer
    });
    if is_newer {
        state.admission().reset_ranks();
        let accounts = config.accounts.as_ref();
        slog::info!(state.log.logger, "configuration in force";
            "version" => version, "origin" => origin,
            "accounts" => accounts.map_or(0, AccountTable::len));
        metrics::counter!("banyantrestle_plan_version").absolute(version);
        // Gossip announces the configuration version in the fields for a policy's version and hash.
        state.membership.set_policy_in_force(version, version).await;
    }
    let active = state.config();
    if active.is_some_and(|active| active.version == version) {
        DocumentStanding::InForce
    } else {
        DocumentStanding::Outdated
    }
}

/// Follows the configuration in the store until the process ends.
pub(crate) async fn watch_store<P: PlatformAdapter, S: ConfigSource>(
    state: Arc<SidecarState<P>>,
    source: S,
) {
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut is_store_lost = false;
    loop {
        let asked_at = state.clock.now();
        let error = match source.read().await {
            Ok(row) => {
                let position = row.position;
                apply_row(&state, row, asked_at).await;
                if std::mem::take(&mut is_store_lost) {
                    slog::info!(state.log.logger, "store regained");
                }
                retry_delay = MIN_RETRY_DELAY;
                watch_feed(&state, &source, position).await
            }
            Err(error) => Some(error),
        };
        if let Some(error) = error
            && !std::mem::replace(&mut is_store_lost, true)
        {
            slog::warn!(state.log.logger, "store lost";
                "step" => %error.step, "peer" => &error.peer, "error" => %error.source);
        }
        sleep(retry_delay.mul_f64(rand::random_range(RETRY_JITTER))).await;
        retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Applies changes until the feed fails or the store doesn't have the history after the position;
/// returns the error of a failed feed.
async fn watch_feed<P: PlatformAdapter, S: ConfigSource>(
    state: &SidecarState<P>,
    source: &S,
    mut position: FeedPosition,
) -> Option<StepError> {
    loop {
        match source.wait_for_change(position, MAX_FEED_WAIT).await {
            Ok(FeedEvent::Changed(row)) if position.precedes(row.position) => {
                position = row.position;
                if let Some(document) = row.document {
                    apply_document(state, document, "store").await;
                }
            }
            Ok(_) => {
                slog::info!(state.log.logger,
                    "store doesn't have the history after this position; rereading";
                    "version" => position.version, "epoch" => position.epoch);
                return None;
            }
            Err(error) => return Some(error),
        }
    }
}

/// Applies a row that was requested at `asked_at`; returns whether it proves that the configuration
/// in force was the newest then.
///
/// Changes that the store's feed brings are no such proof: it may leave later ones out for a while.
pub(crate) async fn apply_row<P: PlatformAdapter>(
    state: &SidecarState<P>,
    row: ConfigRow,
    asked_at: TimePoint,
) -> bool {
    let Some(document) = row.document else {
        return false;
    };
    // A document that is not valid is no configuration, so the one in force is still the newest.
    let standing = apply_document(state, document, "store").await;
    let is_proof = standing != DocumentStanding::Outdated && row.is_current;
    if is_proof {
        state.accounts.record_proof(asked_at);
    }
    is_proof
}

/// Fetches versions that gossip announces and the store's feed does not deliver.
pub(crate) async fn watch_gossip<P: PlatformAdapter>(state: Arc<SidecarState<P>>) {
    let mut versions = state.membership.highest_policy();
    while versions.changed().await.is_ok() {
        sleep(PEER_FETCH_DELAY).await;
        let announced = *versions.borrow_and_update();
        let version_in_force = state.config().map_or(0, |config| config.version);
        if announced.version <= version_in_force {
            continue;
        }
        match fetch_from_peer(&state, announced.holder).await {
            Ok(document) => {
                apply_document(&state, document, "peer").await;
            }
            Err(error) => slog::warn!(state.log.logger,
                "configuration not fetched from the peer; waiting for the store or gossip";
                "step" => %error.step, "peer" => &error.peer, "error" => %error.source),
        }
    }
}

async fn fetch_from_peer<P: PlatformAdapter>(
    state: &SidecarState<P>,
    peer: SocketAddr,
) -> Result<Bytes, StepError> {
    let failed = |reason: String| StepError::new(ProcessStep::LoadPolicy, peer, reason);
    let request = Request::get(format!("http://{peer}{CONFIG_PATH}"))
        .body(SegmentedBody::default())
        .map_err(|error| failed(error.to_string()))?;
    let deadline = Instant::now() + FETCH_TIMEOUT;
    let response = state.mesh_pool.send(peer, request, deadline).await;
    let response = response.map_err(SendFailure::into_error)?;
    if response.status() != StatusCode::OK {
        return Err(failed(format!("status {}", response.status())));
    }
    let document = read_request(response.into_body(), MAX_DOCUMENT_BYTES, FETCH_TIMEOUT).await;
    document.map_err(|error| failed(error.to_string()))
}
