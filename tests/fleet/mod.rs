//! Daemons as processes, with the platform and the targets in the test.

#![allow(dead_code, unused_imports, reason = "each test program uses a part")]

mod process_fleet;
mod slow_reader;

use std::time::Duration;
pub use {
    process_fleet::{
        MAX_RETRIES, ProcessFleet, browse_call, buy_call, service_name, target_settings,
        test_policy,
    },
    slow_reader::SlowReader,
};

/// Longest wait for a condition; only a failure takes so long.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
