//! Small stand-ins for the platform, targets, callers and the network, for tests and examples.

pub mod model;
