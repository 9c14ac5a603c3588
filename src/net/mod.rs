//! HTTP servers and clients between callers, daemons and targets, based on hyper.
//!
//! A response is forwarded completely or fails visibly. A response up to a size limit is read to
//! its end before its first byte is forwarded; a longer one is streamed, and a stream that ends
//! early is aborted, so that the receiver cannot mistake it for a complete one.

mod body_budget;
mod call_refusal;
mod call_request;
mod caller_connection;
mod caller_input;
mod chunk_list;
mod fair_stream;
mod final_status;
mod header_names;
mod interim_count;
mod listener;
mod mesh_pool;
mod mesh_protocol;
mod read_ahead_stream;
mod request_reader;
mod reserved_body;
mod response_body;
mod response_reader;
mod segmented_body;
mod send_failure;
mod silence_watch;
mod target_pool;

pub(crate) use {
    body_budget::{BodyBudget, BodyReservation, BudgetRefusal},
    call_request::{CallRequest, parse_route},
    caller_input::{CallerPresence, RequestArrival},
    header_names::{
        CLAIM_HEADER, LOAD_HEADER, REQUEST_HEADER, TAG_HEADER, clean_response_headers,
        remove_content_length, remove_daemon_headers, remove_hop_by_hop_headers, set_header,
    },
    listener::{
        ListenerLimits, ListenerShutdown, MAX_SEND_BUFFER_BYTES, bind, serve_callers, serve_http,
        serve_http1, serve_mesh,
    },
    mesh_pool::{MeshPool, STREAM_WINDOW_BYTES, SilenceLimits},
    mesh_protocol::{
        CLAIMS_PATH, HOLDER_QUERY_PATH, MESH_PREFIX, PERMIT_PATH, POLICY_PATH, call_tag,
        encode_tag, is_valid_call_tag, is_valid_message_tag, message_tag,
    },
    request_reader::{RequestError, discard_request, read_request, read_reserved_request},
    response_body::{NoObserver, ResponseBody, ResponseError, StreamObserver, StreamOutcome},
    response_reader::{ResponsePrefix, read_reserved_response, read_response},
    segmented_body::SegmentedBody,
    send_failure::SendFailure,
    silence_watch::SilenceWatch,
    target_pool::{MAX_READ_BUFFER_BYTES, ReuseRule, TargetConnection, TargetPool},
};
pub use {
    call_refusal::{CallRefusal, RefusalKind},
    header_names::PROBLEM_TYPE,
};

#[cfg(test)]
mod tests;
