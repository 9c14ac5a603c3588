//! Overload control for service call graphs.
//!
//! One daemon runs beside each target. Callers send requests to the ingress of any daemon, its edge
//! listener. Calls between services go through the daemon of the calling service, and every call is
//! admitted by the daemon of the target that runs it. All daemons apply one policy document, which
//! defines the request classes, the importance of each, and which of them are not idempotent.
//!
//! Code that makes decisions works on in-memory tables. It receives the time and the random number
//! generator as arguments and opens no socket. Actors and listeners pass events to it and carry out
//! its decisions.
//!
//! ```
//! use banyantrestle::context::{CallPriority, RequestId};
//!
//! let request = RequestId::from_u128(7);
//! let browse = CallPriority::new(1, request);
//! let purchase = CallPriority::new(9, request);
//! assert!(purchase > browse);
//! ```

pub mod accounts;
pub mod admission;
pub mod auth;
pub mod claims;
pub mod cli;
pub mod console;
pub mod context;
pub mod crash;
pub mod daemon;
pub mod error;
pub mod events;
pub mod jsonc;
pub mod membership;
pub mod net;
pub mod policy;
pub mod replay;
pub mod retry;
pub mod routing;
pub mod settings;
pub mod sidecar;
pub mod table;
pub mod time;
