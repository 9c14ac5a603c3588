//! Overload control for service call graphs.
//!
//! One daemon runs beside each target. Callers enter at the edge of any daemon, calls between
//! services leave through the daemon of the calling service, and every call is admitted by the
//! daemon of the target that runs it. All daemons apply one policy document: which request
//! classes exist, how much each matters, and which are not idempotent.
//!
//! Everything that decides is plain code over tables: it takes the time and the randomness as
//! arguments and opens no socket. Actors and listeners feed it events and carry out its verdicts.
//!
//! ```
//! use banyantrestle::context::{CallPriority, RequestId};
//!
//! let request = RequestId::from_u128(7);
//! let browse = CallPriority::new(1, request);
//! let purchase = CallPriority::new(9, request);
//! assert!(purchase > browse);
//! ```

pub mod admission;
pub mod auth;
pub mod claims;
pub mod cli;
pub mod console;
pub mod context;
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
