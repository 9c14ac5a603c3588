//! HTTP between callers, daemons and targets, by hyper on both sides.
//!
//! Answers are whole or they fail: an answer up to a bound is read to its end before its first
//! byte goes on, a longer one is streamed, and a stream that breaks off is never ended cleanly.

mod answer_body;
mod answer_reader;
mod call_refusal;
mod call_request;
mod header_names;
mod listener;
mod mesh_pool;
mod mesh_wire;
mod request_reader;
mod send_failure;
mod target_pool;

pub(crate) use {
    answer_body::{AnswerBody, NoHold, StreamEnd, StreamHold},
    answer_reader::{AnswerPrefix, read_answer},
    call_request::{CallRequest, parse_route},
    header_names::{
        CLAIM_HEADER, LOAD_HEADER, REQUEST_HEADER, TAG_HEADER, clean_answer_headers,
        remove_hop_headers, remove_length, remove_own_headers, set_header,
    },
    listener::{ConnectionGate, ListenerLimits, bind, serve_http, serve_http1, serve_mesh},
    mesh_pool::MeshPool,
    mesh_wire::{
        ANSWER_PATH, CLAIMS_PATH, MESH_PREFIX, PERMIT_PATH, POLICY_PATH, call_tag, encode_tag,
        is_valid_call_tag, is_valid_message_tag, message_tag,
    },
    request_reader::{RequestError, read_request},
    send_failure::SendFailure,
    target_pool::{TargetConnection, TargetPool},
};
pub use {
    call_refusal::{CallRefusal, RefusalKind},
    header_names::PROBLEM_TYPE,
};

#[cfg(test)]
mod tests;
