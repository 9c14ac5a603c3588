//! HTTP client of the stand-ins: calls services through daemons, or directly with retries at each
//! hop.

mod call_client;
mod call_path;
mod call_result;
mod call_router;
mod outbound_call;
mod text_request;

pub use {
    call_client::CallClient,
    call_path::CallPath,
    call_result::CallResult,
    call_router::{CallRouter, DirectRoutes},
    outbound_call::{ATTEMPT_HEADER, KEY_HEADER, OutboundCall},
    text_request::{TextRequest, TextResponse},
};
