//! Messages of the table service, sent as JSON bodies of POST requests and their responses.

use {
    super::{TableRow, TableWrite, WriteResult},
    serde::{Deserialize, Serialize},
};

pub const TRANSACT_PATH: &str = "/table/transact";
pub const READ_PATH: &str = "/table/read";
pub const SCAN_PATH: &str = "/table/scan";
pub const OBJECTS_PATH: &str = "/objects";

/// Maximum size of a request or response body, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactRequest {
    pub writes: Vec<TableWrite>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactResponse {
    /// One result per write, in the same order.
    pub results: Vec<WriteResult>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    pub table: String,
    pub keys: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResponse {
    /// One entry per key, in the same order.
    pub rows: Vec<Option<TableRow>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanRequest {
    pub table: String,
    /// Only rows with a greater key are read.
    pub after: String,
    pub limit: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanResponse {
    pub rows: Vec<TableRow>,
}
