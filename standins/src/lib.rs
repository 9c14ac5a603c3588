//! Small stand-ins for what surrounds the daemons, for tests and examples.

pub mod platform;
