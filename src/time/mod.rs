//! Points in time, clocks and periodic timers.
//!
//! Code that makes decisions reads no clock; the current [`TimePoint`] is an argument.

mod boot_clock;
mod clock_reading;
mod decay_factor;
mod pause_detector;
mod process_clock;
mod remote_clocks;
mod time_point;
mod timer_service;

pub use boot_clock::BootClock;
pub use clock_reading::{ClockId, ClockReading};
pub(crate) use decay_factor::decay_factor;
pub use pause_detector::PauseDetector;
pub use process_clock::ProcessClock;
pub use remote_clocks::RemoteClocks;
pub use time_point::TimePoint;
pub use timer_service::{TimerService, TimerTick};
