//! The metadata store of the users' platform: rows, transactions and a feed, with faults.

mod store_mode;
mod store_rows;
mod store_standin;

pub use {store_mode::StoreMode, store_rows::StoreRows, store_standin::StoreStandin};
