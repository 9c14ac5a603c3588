use {
    super::{
        body_budget::{BodyBudget, BudgetRefusal},
        reserved_body::ReservedBody,
        segmented_body::SegmentedBody,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, LengthLimitError, Limited},
    hyper::body::{Body, Incoming},
    std::{sync::Arc, time::Duration},
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
    #[error("no memory for the body: {0}")]
    NoMemory(#[from] BudgetRefusal),
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

/// Reads a complete request body like [`read_request`], and counts it toward `budget` until the
/// result and its clones have been dropped. The rest of a body that is refused stays unread.
pub(crate) async fn read_reserved_request(
    body: &mut Incoming,
    limit: usize,
    time_limit: Duration,
    budget: &Arc<BodyBudget>,
) -> Result<SegmentedBody, RequestError> {
    timeout(time_limit, collect_reserved(body, limit, budget))
        .await
        .unwrap_or(Err(RequestError::TooSlow { waited: time_limit }))
}

async fn collect_reserved(
    body: &mut Incoming,
    limit: usize,
    budget: &Arc<BodyBudget>,
) -> Result<SegmentedBody, RequestError> {
    // Of a body in chunks, the length is not known.
    let declared = body.size_hint().exact().unwrap_or(0);
    let declared = usize::try_from(declared).unwrap_or(usize::MAX);
    if declared > limit {
        return Err(RequestError::TooLarge { limit });
    }
    let mut reserved = ReservedBody::new(budget, declared)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| RequestError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if reserved.len() + data.len() > limit {
            return Err(RequestError::TooLarge { limit });
        }
        reserved.push(data)?;
    }
    Ok(reserved.into_body())
}

/// Reads and drops the rest of a request body for `time_limit` at most.
///
/// A connection that is closed with unread bytes is reset, and the reset may destroy the response
/// before the caller has read it.
pub(crate) async fn discard_request(mut body: Incoming, time_limit: Duration) {
    let discarding = async { while matches!(body.frame().await, Some(Ok(_))) {} };
    timeout(time_limit, discarding).await.ok();
}
