use {
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A whole answer of a target, kept for repeats of the call.
///
/// Clones share the header values and the body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    pub status: u16,
    pub headers: Arc<[RecordedHeader]>,
    pub body: Arc<[u8]>,
}

/// One header of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedHeader {
    pub name: String,
    pub value: Vec<u8>,
}

impl RecordedResponse {
    /// Bytes that the answer takes in memory.
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
