//! JSON with comments, read into typed documents with errors that name file, line and field.
//!
//! A document is checked in two steps: its shape by serde, then its values by the document's own
//! check, which returns one [`FieldError`] for each value. [`DocumentText`] finds the line of a
//! field in the text that it was read from.

mod document_error;
mod document_text;
mod error_collector;
mod field_error;

pub use {
    document_error::{DocumentError, LineError},
    document_text::{DocumentText, MAX_DOCUMENT_BYTES},
    field_error::FieldError,
};

pub(crate) use error_collector::ErrorCollector;
