//! Carrier for member cores of one process, in logical time and with losses.

mod lossy_carrier;

pub use lossy_carrier::{LossyCarrier, MemberPlace};
