use {
    super::{ConsoleState, page_layout::text_response, respond},
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    http_body_util::{BodyExt, Limited},
    hyper::body::Body,
    std::{error::Error, time::Duration},
    tokio::time::timeout,
};

/// Bytes of the longest body that is read.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Longest time to receive a body.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads the body of a request and answers it.
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
        Ok(Err(_)) => text_response(StatusCode::PAYLOAD_TOO_LARGE, "body too long or cut off\n"),
        Err(_) => text_response(StatusCode::REQUEST_TIMEOUT, "body too slow\n"),
    }
}
