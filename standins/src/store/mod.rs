//! Stand-in for the metadata store of the users' platform.
//!
//! It serves rows, conditional transactions and a change feed, and injects faults.

mod store_mode;
mod store_rows;
mod store_standin;

pub use {store_mode::StoreMode, store_rows::StoreRows, store_standin::StoreStandin};
