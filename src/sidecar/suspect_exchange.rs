use {
    super::{PlatformAdapter, attempt_report::RelayBody, sidecar_state::SidecarState},
    crate::{
        crash::{RecordScope, SuspectRecord},
        error::{ProcessStep, StepError},
        membership::{MemberRecord, MemberState},
        net::{ResponseBody, SendFailure, read_request},
    },
    bytes::Bytes,
    futures_util::stream::{self, StreamExt},
    http::{Request, Response, StatusCode},
    hyper::body::Incoming,
    rand::{RngExt, seq::IndexedRandom},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{Instant, MissedTickBehavior, interval, timeout},
};

/// Path at which sidecars tell each other of suspected requests.
pub(crate) const SUSPECTS_PATH: &str = "/bt/suspects";

/// Interval at which a sidecar with suspects compares them with another one.
const COMPARISON_INTERVAL: Duration = Duration::from_secs(1);
/// Number of sidecars that are asked at the start.
const START_COMPARISONS: usize = 3;
/// Time allowed for one message and its response.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of messages in flight.
const MAX_CONCURRENT_MESSAGES: usize = 16;
/// Maximum size of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 512 * 1024;
/// Probability that a comparison is made with a sidecar of the same service, if there is one.
const SAME_SERVICE_SHARE: f64 = 0.5;

/// A message about suspected requests.
#[derive(Debug, Serialize, Deserialize)]
enum SuspectMessage {
    /// Records that have changed, or that the recipient may lack.
    Records(Vec<SuspectRecord>),
    /// Asks for all records in scope, unless their fingerprint is this one.
    Compare {
        scope: RecordScope,
        fingerprint: u64,
    },
}

/// Another sidecar, and which records it needs.
#[derive(Clone, Copy, Debug)]
struct ExchangePeer {
    address: SocketAddr,
    scope: RecordScope,
}

/// Sends changes of the suspects to the sidecars that need them, until the process ends.
pub(crate) async fn announce_suspects<P: PlatformAdapter>(state: Arc<SidecarState<P>>) {
    let mut changes = state.crash_watch.changes();
    while changes.changed().await.is_ok() {
        let count = *changes.borrow_and_update();
        let records = state.crash_watch.suspects().take_changes();
        let (near, far): (Vec<_>, Vec<_>) = exchange_peers(&state)
            .into_iter()
            .partition(|peer| peer.scope == RecordScope::Service);
        send_records(&state, &near, &records).await;
        state.crash_watch.set_announced(count);
        let is_wide = |record: &SuspectRecord| record.entry.is_shared_widely();
        let records: Vec<_> = records.into_iter().filter(is_wide).collect();
        send_records(&state, &far, &records).await;
    }
}

/// Compares the suspects with those of other sidecars at the start, and in intervals while there
/// are any. This repairs what a sidecar has missed.
pub(crate) async fn compare_suspects<P: PlatformAdapter>(state: Arc<SidecarState<P>>) {
    let mut views = state.membership.view();
    while exchange_peers(&state).is_empty() {
        if views.changed().await.is_err() {
            return;
        }
    }
    for _ in 0..START_COMPARISONS {
        compare_with_any(&state).await;
    }
    let mut ticks = interval(COMPARISON_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        state.crash_watch.expire();
        let has_suspects = !state.crash_watch.suspects().is_empty();
        if has_suspects {
            compare_with_any(&state).await;
        }
    }
}

/// Handles a message of another sidecar.
pub(crate) async fn serve_suspects<P: PlatformAdapter>(
    state: &SidecarState<P>,
    body: Incoming,
) -> Response<RelayBody> {
    let respond = |status, body| {
        let mut response = Response::new(ResponseBody::buffered(body, None));
        *response.status_mut() = status;
        response
    };
    let body = match read_request(body, MAX_MESSAGE_BYTES, MESSAGE_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => {
            slog::info!(state.log.logger, "message about suspects did not arrive";
                "error" => %error);
            return respond(StatusCode::BAD_REQUEST, Bytes::new());
        }
    };
    match postcard::from_bytes(&body) {
        Ok(SuspectMessage::Records(records)) => {
            state.crash_watch.merge(&records);
            respond(StatusCode::NO_CONTENT, Bytes::new())
        }
        Ok(SuspectMessage::Compare { scope, fingerprint }) => {
            let records = {
                let table = state.crash_watch.suspects();
                (table.fingerprint(scope) != fingerprint).then(|| table.records(scope))
            };
            match records {
                Some(records) => respond(StatusCode::OK, encode(&SuspectMessage::Records(records))),
                None => respond(StatusCode::NO_CONTENT, Bytes::new()),
            }
        }
        Err(error) => {
            slog::warn!(state.log.logger, "malformed message about suspects"; "error" => %error);
            respond(StatusCode::BAD_REQUEST, Bytes::new())
        }
    }
}

async fn compare_with_any<P: PlatformAdapter>(state: &SidecarState<P>) {
    let peers = exchange_peers(state);
    let near: Vec<_> = peers
        .iter()
        .filter(|peer| peer.scope == RecordScope::Service)
        .collect();
    let is_near = !near.is_empty() && rand::rng().random_bool(SAME_SERVICE_SHARE);
    let chosen = if is_near {
        near.choose(&mut rand::rng()).copied()
    } else {
        peers.choose(&mut rand::rng())
    };
    if let Some(peer) = chosen
        && let Err(error) = compare_with(state, *peer).await
    {
        slog::info!(state.log.logger, "suspects not compared";
            "step" => %error.step, "peer" => &error.peer, "error" => %error.source);
    }
}

/// Brings the records that either side lacks to the other.
async fn compare_with<P: PlatformAdapter>(
    state: &SidecarState<P>,
    peer: ExchangePeer,
) -> Result<(), StepError> {
    let scope = peer.scope;
    let fingerprint = state.crash_watch.suspects().fingerprint(scope);
    let question = SuspectMessage::Compare { scope, fingerprint };
    let Some(answer) = send_message(state, peer.address, encode(&question)).await? else {
        return Ok(());
    };
    let SuspectMessage::Records(records) = answer else {
        return Ok(());
    };
    state.crash_watch.merge(&records);
    let records = state.crash_watch.suspects().records(scope);
    if !records.is_empty() {
        let message = encode(&SuspectMessage::Records(records));
        send_message(state, peer.address, message).await?;
    }
    Ok(())
}

async fn send_records<P: PlatformAdapter>(
    state: &SidecarState<P>,
    peers: &[ExchangePeer],
    records: &[SuspectRecord],
) {
    if records.is_empty() {
        return;
    }
    let message = encode(&SuspectMessage::Records(records.to_vec()));
    let sending = stream::iter(peers.to_vec()).map(|peer| {
        let message = message.clone();
        async move { (peer, send_message(state, peer.address, message).await) }
    });
    let mut sending = sending.buffer_unordered(MAX_CONCURRENT_MESSAGES);
    while let Some((peer, result)) = sending.next().await {
        if let Err(error) = result {
            slog::info!(state.log.logger, "sidecar not told of suspects; left to the comparisons";
                "peer" => %peer.address, "error" => %error.source);
        }
    }
}

/// Sends a message; returns the message in the response, if there is one.
async fn send_message<P: PlatformAdapter>(
    state: &SidecarState<P>,
    peer: SocketAddr,
    message: Bytes,
) -> Result<Option<SuspectMessage>, StepError> {
    let failed = |reason: String| StepError::new(ProcessStep::ExchangeSuspects, peer, reason);
    let exchange = async {
        let request = Request::post(format!("http://{peer}{SUSPECTS_PATH}"))
            .body(message.into())
            .map_err(|error| failed(error.to_string()))?;
        let deadline = Instant::now() + MESSAGE_TIMEOUT;
        let response = state.mesh_pool.send(peer, request, deadline).await;
        let response = response.map_err(SendFailure::into_error)?;
        match response.status() {
            StatusCode::NO_CONTENT => return Ok(None),
            StatusCode::OK => {}
            status => return Err(failed(format!("status {status}"))),
        }
        let body = read_request(response.into_body(), MAX_MESSAGE_BYTES, MESSAGE_TIMEOUT).await;
        let body = body.map_err(|error| failed(error.to_string()))?;
        let message = postcard::from_bytes(&body).map_err(|error| failed(error.to_string()))?;
        Ok(Some(message))
    };
    timeout(MESSAGE_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err(failed(format!("no response within {MESSAGE_TIMEOUT:?}"))))
}

/// The other sidecars. One without a target may be of any service.
fn exchange_peers<P: PlatformAdapter>(state: &SidecarState<P>) -> Vec<ExchangePeer> {
    let own_address = state.settings.listen.mesh;
    let view = state.membership.view().borrow().clone();
    let is_other =
        |record: &&MemberRecord| record.mesh != own_address && record.state != MemberState::Dead;
    let peers = view.members.iter().map(AsRef::as_ref).filter(is_other);
    let peers = peers.map(|record| {
        let target = record.target.as_ref();
        let is_near = target.is_none_or(|target| target.service == state.settings.service);
        ExchangePeer {
            address: record.mesh,
            scope: if is_near {
                RecordScope::Service
            } else {
                RecordScope::Fleet
            },
        }
    });
    peers.collect()
}

fn encode(message: &SuspectMessage) -> Bytes {
    // The message consists of plain data that always encodes.
    postcard::to_extend(message, Vec::new())
        .unwrap_or_default()
        .into()
}
