use {
    super::{RecordedHeader, RecordedResponse},
    serde::{Deserialize, Serialize},
    std::str,
};

/// Short response as it is stored in the row of its claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseText {
    pub status: u16,
    pub headers: Vec<HeaderText>,
    pub body: String,
}

/// Header of a [`ResponseText`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderText {
    pub name: String,
    pub value: String,
}

impl ResponseText {
    /// Converts a response; `None` if it is larger than `limit` bytes or not UTF-8.
    #[must_use]
    pub fn of(response: &RecordedResponse, limit: usize) -> Option<Self> {
        if response.size() > limit {
            return None;
        }
        let headers = response.headers.iter().map(HeaderText::of);
        Some(Self {
            status: response.status,
            headers: headers.collect::<Option<_>>()?,
            body: str::from_utf8(&response.body).ok()?.into(),
        })
    }

    #[must_use]
    pub fn to_response(&self) -> RecordedResponse {
        let headers = self.headers.iter().map(|header| RecordedHeader {
            name: header.name.clone(),
            value: header.value.as_bytes().to_vec(),
        });
        RecordedResponse {
            status: self.status,
            headers: headers.collect(),
            body: self.body.as_bytes().into(),
        }
    }
}

impl HeaderText {
    fn of(header: &RecordedHeader) -> Option<Self> {
        Some(Self {
            name: header.name.clone(),
            value: str::from_utf8(&header.value).ok()?.into(),
        })
    }
}
