//! Points in time and the timer service that parts subscribe to.
//!
//! Decisions never read a clock: they are handed a [`TimePoint`].

mod boot_clock;
mod fading;
mod process_clock;
mod time_point;
mod timer_service;

pub use boot_clock::BootClock;
pub(crate) use fading::fading;
pub use process_clock::ProcessClock;
pub use time_point::TimePoint;
pub use timer_service::{TimerService, TimerTick};
