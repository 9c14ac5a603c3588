use {
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Complete response of a target, kept for retries of the call.
///
/// Clones share the header values and the body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    pub status: u16,
    pub headers: Arc<[RecordedHeader]>,
    pub body: Arc<[u8]>,
}

/// Header of a [`RecordedResponse`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedHeader {
    pub name: String,
    pub value: Vec<u8>,
}

impl RecordedResponse {
    /// Size of the response in memory, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|header| size_of::<RecordedHeader>() + header.name.len() + header.value.len())
            .sum();
        size_of::<Self>() + headers + self.body.len()
    }
}
