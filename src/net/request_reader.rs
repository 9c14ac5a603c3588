use {
    bytes::Bytes,
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::Incoming,
    std::time::Duration,
    thiserror::Error,
    tokio::time::timeout,
};

/// Error of reading a request body.
#[derive(Debug, Error)]
pub(crate) enum RequestError {
    #[error("body is larger than {limit} bytes")]
    TooLarge { limit: usize },
    #[error("body did not arrive within {waited:?}")]
    TooSlow { waited: Duration },
    #[error("body ended early: {0}")]
    Broken(String),
}

/// Reads a complete request body of at most `limit` bytes within `time_limit`.
pub(crate) async fn read_request(
    body: Incoming,
    limit: usize,
    time_limit: Duration,
) -> Result<Bytes, RequestError> {
    match timeout(time_limit, Limited::new(body, limit).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(RequestError::TooLarge { limit }),
        Ok(Err(error)) => Err(RequestError::Broken(error.to_string())),
        Err(_) => Err(RequestError::TooSlow { waited: time_limit }),
    }
}
