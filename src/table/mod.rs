//! The platform's table service, as the daemons use it.
//!
//! Everything asks through the small trait [`TableStore`]. [`HttpTable`] is the one place that
//! speaks a protocol: JSON over HTTP/1.1, with the messages of [`wire`]. A platform with another
//! interface needs another implementation of the trait and nothing else.

pub mod wire;

mod connection_pool;
mod http_table;
mod table_error;
mod table_row;
mod table_store;
mod table_write;

pub use {
    http_table::HttpTable,
    table_error::TableError,
    table_row::TableRow,
    table_store::TableStore,
    table_write::{TableWrite, WriteCondition, WriteResult},
};
