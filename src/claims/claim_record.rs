use {
    super::{CallFingerprint, ResponseText, WriteId},
    crate::{context::RequestId, membership::MemberId, table::TableRow},
    serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error},
    std::net::SocketAddr,
};

/// Value of a claim's row, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Process that claimed the key; it alone may dispatch the call.
    pub holder: MemberId,
    pub holder_mesh: SocketAddr,
    pub fingerprint: CallFingerprint,
    #[serde(serialize_with = "write_request", deserialize_with = "read_request")]
    pub request: RequestId,
    /// Wall clock of the holder, in ms of the Unix epoch.
    pub created_ms: u64,
    /// Time for which the call may be retried, in s.
    pub window_s: u64,
    /// Response of the call, once it has run, if it is short enough.
    #[serde(default, rename = "answer")]
    pub response: Option<ResponseText>,
}

impl ClaimRecord {
    /// Serializes the record as JSON.
    #[must_use]
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Claim that is stored in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldClaim {
    pub write_id: WriteId,
    /// `None` if the value of the row cannot be parsed.
    pub record: Option<Box<ClaimRecord>>,
}

impl From<&TableRow> for HeldClaim {
    fn from(row: &TableRow) -> Self {
        Self {
            write_id: WriteId::from_row(&row.write_id),
            record: serde_json::from_str(&row.value).ok(),
        }
    }
}

fn write_request<S: Serializer>(request: &RequestId, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(request)
}

fn read_request<'de, D: Deserializer<'de>>(deserializer: D) -> Result<RequestId, D::Error> {
    let text = String::deserialize(deserializer)?;
    RequestId::parse(&text).ok_or_else(|| D::Error::custom("request id is not valid"))
}
