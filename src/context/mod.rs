//! What a call carries along the chain.
//!
//! The edge mints a [`CallContext`]; every hop hands on the same request id, class, priority,
//! deadline and root, with a call id of its own. One header, [`CONTEXT_HEADER`], carries it all,
//! so that copying that header is the one duty of a service.

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
