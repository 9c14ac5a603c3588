//! Daemons that run as processes, with the platform and the targets in the test process.

#![allow(
    dead_code,
    unused_imports,
    reason = "each test binary uses some of the items"
)]

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

/// Maximum wait for a condition; reached only when a test fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
