use {
    crate::{
        auth::SharedKey,
        error::{ProcessStep, StepError},
        net::{
            MeshPool, ResponsePrefix, SegmentedBody, SendFailure, TAG_HEADER, encode_tag,
            message_tag, read_response,
        },
    },
    bytes::Bytes,
    http::{Method, Request, StatusCode},
    serde::{Serialize, de::DeserializeOwned},
    std::{net::SocketAddr, time::Duration},
    tokio::time::{Instant, timeout_at},
};

/// Maximum size of a message between daemons, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Sends a message to another daemon and reads its response, both encoded with postcard.
///
/// # Errors
/// Fails if the peer does not respond within `timeout`, refuses, or sends a response that cannot be
/// decoded.
pub(crate) async fn post_message<Q, R>(
    mesh: &MeshPool,
    key: &SharedKey,
    peer: SocketAddr,
    path: &str,
    message: &Q,
    timeout: Duration,
) -> Result<R, StepError>
where
    Q: Serialize,
    R: DeserializeOwned,
{
    let error = |cause: String| StepError::new(ProcessStep::CallMesh, peer, cause);
    let deadline = Instant::now() + timeout;
    let body = postcard::to_allocvec(message).map_err(|cause| error(cause.to_string()))?;
    let tag = encode_tag(message_tag(key, path, &body));
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{peer}{path}"))
        .header(TAG_HEADER, tag)
        .body(SegmentedBody::from(Bytes::from(body)))
        .map_err(|cause| error(cause.to_string()))?;
    let response = mesh
        .send(peer, request, deadline)
        .await
        .map_err(SendFailure::into_error)?;
    let status = response.status();
    if status != StatusCode::OK {
        return Err(error(format!("response to {path} has status {status}")));
    }
    let read_future = read_response(response.into_body(), MAX_MESSAGE_BYTES);
    let prefix = timeout_at(deadline, read_future)
        .await
        .map_err(|_| error(format!("no complete response to {path} within {timeout:?}")))?
        .map_err(|cause| error(cause.to_string()))?;
    match prefix {
        ResponsePrefix::Complete { data, .. } => {
            postcard::from_bytes(&data).map_err(|cause| error(cause.to_string()))
        }
        ResponsePrefix::Partial { .. } => Err(error(format!(
            "response to {path} exceeds {MAX_MESSAGE_BYTES} bytes"
        ))),
    }
}
