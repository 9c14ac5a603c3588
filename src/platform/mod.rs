//! The platform's table service, as the daemons use it.

mod table_error;
mod table_row;
mod table_store;
mod table_write;

pub use {
    table_error::TableError,
    table_row::TableRow,
    table_store::TableStore,
    table_write::{TableWrite, WriteCondition, WriteResult},
};
