//! Stand-ins for the environment of the daemons: the platform, targets, callers and the network.
//!
//! Tests embed them as library modules. Thin programs in `src/bin` run them as processes; a program
//! that listens prints its addresses as one line of JSON, and each ends on SIGTERM or Ctrl-C.

pub mod caller;
pub mod client;
pub mod deployment;
pub mod gossip;
pub mod http;
pub mod model;
pub mod platform;
pub mod process;
pub mod relay;
pub mod response;
pub mod store;
pub mod target;
pub mod upstream;
