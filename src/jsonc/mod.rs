//! JSON with comments, parsed into typed documents with errors that name file, line and field.
//!
//! A document is validated in two steps: serde checks its structure, then the document type checks
//! its values and returns one [`FieldError`] for each invalid value. [`DocumentText`] finds the
//! line of a field in the source text.

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
