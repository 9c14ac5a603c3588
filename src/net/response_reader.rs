use {
    super::{
        body_budget::{BodyBudget, BodyReservation},
        chunk_list::ChunkList,
    },
    bytes::{Bytes, BytesMut},
    http::HeaderMap,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{collections::VecDeque, sync::Arc},
};

/// Length up to which a response does not count toward the budget.
const UNCOUNTED_BYTES: usize = 16 * 1024;

/// Result of reading a response body up to a size limit.
#[derive(Debug)]
pub(crate) enum ResponsePrefix {
    Complete {
        data: Bytes,
        trailers: Option<HeaderMap>,
    },
    /// The body is longer than the limit.
    Partial {
        prefix: VecDeque<Bytes>,
        rest: Incoming,
    },
}

/// Reads a body to its end, or until more than `limit` bytes have arrived.
pub(crate) async fn read_response(
    body: Incoming,
    limit: usize,
) -> Result<ResponsePrefix, hyper::Error> {
    read_prefix(body, limit, None).await
}

/// Reads a body like [`read_response`]. A body counts toward `budget` until it has been dropped,
/// unless it is short, and reading ends where the budget does.
pub(crate) async fn read_reserved_response(
    body: Incoming,
    limit: usize,
    budget: &Arc<BodyBudget>,
) -> Result<ResponsePrefix, hyper::Error> {
    read_prefix(body, limit, Some(budget)).await
}

async fn read_prefix(
    mut body: Incoming,
    limit: usize,
    budget: Option<&Arc<BodyBudget>>,
) -> Result<ResponsePrefix, hyper::Error> {
    let mut list = ChunkList::default();
    let mut length = 0;
    let mut trailers = None;
    let mut reservation = None;
    while let Some(frame) = body.frame().await {
        match frame?.into_data() {
            Ok(data) => {
                length += data.len();
                list.push(data);
            }
            Err(frame) => trailers = frame.into_trailers().ok(),
        }
        if length > limit || !try_reserve(&mut reservation, budget, length) {
            let mut chunks = list.into_chunks();
            if let Some(reservation) = reservation
                && let Some(last) = chunks.pop_back()
            {
                chunks.push_back(reservation.attach(last));
            }
            return Ok(ResponsePrefix::Partial {
                prefix: chunks,
                rest: body,
            });
        }
    }
    let data = concat_chunks(list.into_chunks(), length);
    let data = match reservation {
        Some(reservation) => reservation.attach(data),
        None => data,
    };
    Ok(ResponsePrefix::Complete { data, trailers })
}

/// Extends the reservation to a body of `length`; false if the budget is used up. Short bodies need
/// none.
fn try_reserve(
    reservation: &mut Option<BodyReservation>,
    budget: Option<&Arc<BodyBudget>>,
    length: usize,
) -> bool {
    let Some(budget) = budget else {
        return true;
    };
    if length <= UNCOUNTED_BYTES {
        return true;
    }
    if let Some(reservation) = reservation {
        let added = length - reservation.bytes();
        return reservation.try_grow(added).is_ok();
    }
    *reservation = budget.try_reserve(length).ok();
    reservation.is_some()
}

fn concat_chunks(mut chunks: VecDeque<Bytes>, length: usize) -> Bytes {
    if chunks.len() <= 1 {
        return chunks.pop_front().unwrap_or_default();
    }
    let mut joined = BytesMut::with_capacity(length);
    for chunk in chunks {
        joined.extend_from_slice(&chunk);
    }
    joined.freeze()
}
