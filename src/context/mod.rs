//! Context that is propagated along a call chain.
//!
//! The daemon that receives a request from a caller creates a [`CallContext`]. Every hop propagates
//! the same request id, class, priority, deadline and root, and assigns a new call id. The context
//! is sent in a single header, [`CONTEXT_HEADER`], so a service only has to copy that header to its
//! outgoing calls.

mod call_context;
mod call_id;
mod call_priority;
mod class_name;
mod hex_id;
mod request_id;
mod run_outcome;
mod service_name;

pub(crate) use hex_id::{HexId, deserialize_hex_or_number, impl_hex_id, parse_hex};

pub use {
    call_context::{CONTEXT_HEADER, CallContext, MAX_CONTEXT_BYTES, MAX_DEPTH},
    call_id::CallId,
    call_priority::CallPriority,
    class_name::ClassName,
    hex_id::IdError,
    request_id::RequestId,
    run_outcome::{OUTCOME_HEADER, RunOutcome},
    service_name::{NameError, ServiceName},
};
