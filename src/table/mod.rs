//! Client of the platform's table service.
//!
//! All access goes through the trait [`TableStore`]. [`HttpTable`] implements it with JSON over
//! HTTP/1.1 and the messages of [`wire`]. Support for a platform with another interface requires
//! only another implementation of the trait.

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
