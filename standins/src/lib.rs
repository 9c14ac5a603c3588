//! Small stand-ins for what surrounds the daemons: the platform, targets, callers, the network.
//!
//! Each is a library part that tests embed and a thin program that one command starts. A program
//! prints its addresses as one line of JSON and ends on SIGTERM or ctrl-c.

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
