//! Stand-ins for the store, upstreams and clients, and the sidecar processes of the review's cases.
//!
//! Only the standard library is used. Everything listens on loopback addresses of its own, one
//! address for each machine.

pub mod case;
pub mod fleet;
pub mod http;
pub mod json;
pub mod store;
pub mod tenant;
pub mod upstream;
