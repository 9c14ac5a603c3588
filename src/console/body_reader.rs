use {
    super::{ConsoleState, page_layout::text_response, respond},
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Limited},
    hyper::body::Body,
    std::{error::Error, time::Duration},
    tokio::time::timeout,
};

/// Maximum size of a request body in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Maximum time to receive a request body.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the body of a request within the limits and calls [`respond`].
///
/// Responds with status 413 if the body is too large or incomplete, with 408 after a timeout.
pub async fn read_and_respond<S, B>(state: &S, request: Request<B>) -> Response<Bytes>
where
    S: ConsoleState,
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let (head, body) = request.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES);
    match timeout(BODY_TIMEOUT, body.collect()).await {
        Ok(Ok(body)) => respond(state, Request::from_parts(head, body.to_bytes())).await,
        Ok(Err(_)) => text_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "request body too large or incomplete\n",
        ),
        Err(_) => text_response(
            StatusCode::REQUEST_TIMEOUT,
            "request body not received in time\n",
        ),
    }
}
