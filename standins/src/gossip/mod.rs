//! Simulated network between membership cores of one process, in simulated time, with faults.

mod simulated_network;

pub use simulated_network::{MemberLocation, SimulatedNetwork};
