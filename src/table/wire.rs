//! Messages of the table service, as JSON bodies of POST requests.

use {
    super::{TableRow, TableWrite, WriteResult},
    serde::{Deserialize, Serialize},
};

pub const TRANSACT_PATH: &str = "/table/transact";
pub const READ_PATH: &str = "/table/read";
pub const SCAN_PATH: &str = "/table/scan";
pub const OBJECTS_PATH: &str = "/objects";

/// Bytes of the largest body of a request or an answer.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactRequest {
    pub writes: Vec<TableWrite>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TransactResponse {
    /// One result a write, in order.
    pub results: Vec<WriteResult>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadRequest {
    pub table: String,
    pub keys: Vec<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadResponse {
    /// One entry a key, in order.
    pub rows: Vec<Option<TableRow>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanRequest {
    pub table: String,
    /// Rows whose key is greater are read.
    pub after: String,
    pub limit: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScanResponse {
    pub rows: Vec<TableRow>,
}
