//! Calls that enter at this sidecar: from callers on the VM and from the local target.
//!
//! The stages of a call: its route, parent and key are found ([`outbound_service`]), its account and
//! the services it reaches admit it ([`request_admission`]), and it is sent to one target after
//! another until one responds ([`call_forwarding`]).

mod answer_body;
mod call_forwarding;
mod outbound_log;
mod outbound_service;
mod owed_answer;
mod request_admission;
mod retry_delay;

pub(crate) use outbound_service::serve_outbound;
