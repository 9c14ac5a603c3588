//! Stand-in for the platform: a transactional table service and an object store.
//!
//! [`PlatformStandin`] serves both over HTTP/1.1, embedded in a test or as the program
//! `standin-platform`. `POST /control` sets its faults at run time, and `GET /control` returns its
//! counters. [`MemoryTable`] implements the `TableStore` trait on the same tables without a socket.

mod control_routes;
mod memory_table;
mod object_map;
mod platform_counters;
mod platform_mode;
mod platform_standin;
mod platform_state;
mod rate_cap;
mod table_routes;
mod table_rows;

pub use {
    memory_table::{MemoryTable, RandomFaults, TableFault},
    platform_counters::PlatformCounters,
    platform_mode::{DownMode, HangPoint, PlatformMode},
    platform_standin::PlatformStandin,
    table_rows::TableRows,
};
