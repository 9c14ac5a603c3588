use {
    super::{
        control_routes::{json, respond_to_control, status},
        platform_mode::{DownMode, HangPoint},
        platform_standin::SharedState,
        platform_state::PlatformState,
    },
    banyantrestle::table::wire::{
        MAX_BODY_BYTES, OBJECTS_PATH, READ_PATH, ReadRequest, ReadResponse, SCAN_PATH, ScanRequest,
        ScanResponse, TRANSACT_PATH, TransactRequest, TransactResponse,
    },
    bytes::Bytes,
    http::{Method, Request, Response, StatusCode},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
    std::{future::pending, io, time::Duration},
};

pub(super) const CONTROL_PATH: &str = "/control";

/// Serves one request under the mode in force; an error closes the connection.
pub(super) async fn respond(
    request: Request<Incoming>,
    state: SharedState,
) -> io::Result<Response<Full<Bytes>>> {
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES);
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    if head.uri.path() == CONTROL_PATH {
        return Ok(respond_to_control(&head.method, &body, &mut state.lock()));
    }
    let mode = state.lock().mode;
    tokio::time::sleep(Duration::from_millis(mode.delay_ms)).await;
    if mode.down != DownMode::Up {
        state.lock().counters.refused += 1;
    }
    match mode.down {
        DownMode::Up => {}
        DownMode::Refuse => return Ok(status(StatusCode::SERVICE_UNAVAILABLE)),
        DownMode::Close => return Err(io::Error::other("injected fault: outage")),
    }
    if mode.hang == HangPoint::BeforeEffect {
        pending::<()>().await;
    }
    let (response, is_lost) = {
        let mut state = state.lock();
        let response = dispatch(&head.method, head.uri.path(), body, &mut state);
        let is_lost = mode.hang == HangPoint::AfterEffect || state.draw_lost_response();
        state.counters.lost += u64::from(is_lost);
        (response, is_lost)
    };
    if mode.hang == HangPoint::AfterEffect {
        pending::<()>().await;
    }
    if is_lost {
        return Err(io::Error::other("injected fault: response lost"));
    }
    Ok(response)
}

fn dispatch(
    method: &Method,
    path: &str,
    body: Bytes,
    state: &mut PlatformState,
) -> Response<Full<Bytes>> {
    let is_write = path == TRANSACT_PATH || method == Method::PUT;
    if !state.admit(is_write) {
        return status(StatusCode::TOO_MANY_REQUESTS);
    }
    match path {
        TRANSACT_PATH => transact(&body, state),
        READ_PATH => read(&body, state),
        SCAN_PATH => scan(&body, state),
        _ => match path.strip_prefix(OBJECTS_PATH) {
            Some(name) => object(method, name.trim_start_matches('/'), body, state),
            None => status(StatusCode::NOT_FOUND),
        },
    }
}

fn transact(body: &[u8], state: &mut PlatformState) -> Response<Full<Bytes>> {
    let Ok(request) = serde_json::from_slice::<TransactRequest>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    state.counters.transactions += 1;
    state.counters.rows += request.writes.len() as u64;
    let results = state.tables.transact(&request.writes);
    json(&TransactResponse { results })
}

fn read(body: &[u8], state: &mut PlatformState) -> Response<Full<Bytes>> {
    let Ok(request) = serde_json::from_slice::<ReadRequest>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    state.counters.reads += 1;
    let rows = state.tables.read(&request.table, &request.keys);
    json(&ReadResponse { rows })
}

fn scan(body: &[u8], state: &mut PlatformState) -> Response<Full<Bytes>> {
    let Ok(request) = serde_json::from_slice::<ScanRequest>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    state.counters.scans += 1;
    let rows = state
        .tables
        .scan(&request.table, &request.after, request.limit);
    json(&ScanResponse { rows })
}

/// Serves a request for the object `name`; a `GET` of a name that is empty or ends in `/` lists
/// the names that start with it.
fn object(
    method: &Method,
    name: &str,
    body: Bytes,
    state: &mut PlatformState,
) -> Response<Full<Bytes>> {
    match *method {
        Method::PUT => {
            state.counters.object_writes += 1;
            state.objects.put(name, body);
            status(StatusCode::NO_CONTENT)
        }
        Method::GET if name.is_empty() || name.ends_with('/') => {
            state.counters.object_reads += 1;
            json(&state.objects.names(name))
        }
        Method::GET => {
            state.counters.object_reads += 1;
            match state.objects.get(name) {
                Some(body) => Response::new(Full::new(body)),
                None => status(StatusCode::NOT_FOUND),
            }
        }
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    }
}
