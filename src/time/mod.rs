//! Points in time and the timer service that parts subscribe to.
//!
//! Decisions never read a clock: they are handed a [`TimePoint`].

mod boot_clock;
mod decay_factor;
mod process_clock;
mod time_point;
mod timer_service;

pub use boot_clock::BootClock;
pub(crate) use decay_factor::decay_factor;
pub use process_clock::ProcessClock;
pub use time_point::TimePoint;
pub use timer_service::{TimerService, TimerTick};
