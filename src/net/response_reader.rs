use {
    bytes::{Bytes, BytesMut},
    http::HeaderMap,
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::collections::VecDeque,
};

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
    mut body: Incoming,
    limit: usize,
) -> Result<ResponsePrefix, hyper::Error> {
    let mut chunks = VecDeque::new();
    let mut length = 0;
    let mut trailers = None;
    while let Some(frame) = body.frame().await {
        match frame?.into_data() {
            Ok(data) => {
                length += data.len();
                chunks.push_back(data);
            }
            Err(frame) => trailers = frame.into_trailers().ok(),
        }
        if length > limit {
            return Ok(ResponsePrefix::Partial {
                prefix: chunks,
                rest: body,
            });
        }
    }
    Ok(ResponsePrefix::Complete {
        data: concat_chunks(chunks, length),
        trailers,
    })
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
