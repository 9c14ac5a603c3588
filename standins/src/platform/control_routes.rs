use {
    super::{PlatformCounters, PlatformMode, platform_state::PlatformState},
    bytes::Bytes,
    http::{Method, Response, StatusCode, header::CONTENT_TYPE},
    http_body_util::Full,
    serde::{Deserialize, Serialize},
};

/// Body of the response to `GET /control`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct ControlResponse {
    mode: PlatformMode,
    counters: PlatformCounters,
}

/// Responds to a control request: `POST` replaces the mode, `GET` returns it with the counters.
pub(super) fn respond_to_control(
    method: &Method,
    body: &[u8],
    state: &mut PlatformState,
) -> Response<Full<Bytes>> {
    match *method {
        Method::POST => match serde_json::from_slice(body) {
            Ok(mode) => {
                state.set_mode(mode);
                status(StatusCode::NO_CONTENT)
            }
            Err(error) => {
                let text = error.to_string();
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = StatusCode::BAD_REQUEST;
                response
            }
        },
        Method::GET => json(&ControlResponse {
            mode: state.mode,
            counters: state.counters,
        }),
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

pub(super) fn json<T: Serialize>(message: &T) -> Response<Full<Bytes>> {
    let Ok(body) = serde_json::to_vec(message) else {
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    response
}

pub(super) fn status(code: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}
