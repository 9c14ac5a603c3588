//! Carrier for member cores of one process, in logical time and with losses.

mod simulated_network;

pub use simulated_network::{MemberLocation, SimulatedNetwork};
