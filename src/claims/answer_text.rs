use {
    super::{RecordedAnswer, RecordedHeader},
    serde::{Deserialize, Serialize},
    std::str,
};

/// A short answer as it stands in the row of its claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerText {
    pub status: u16,
    pub headers: Vec<HeaderText>,
    pub body: String,
}

/// One header of an [`AnswerText`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderText {
    pub name: String,
    pub value: String,
}

impl AnswerText {
    /// The answer as text; `None` if it is larger than `limit` bytes or not text.
    #[must_use]
    pub fn of(answer: &RecordedAnswer, limit: usize) -> Option<Self> {
        if answer.size() > limit {
            return None;
        }
        let headers = answer.headers.iter().map(HeaderText::of);
        Some(Self {
            status: answer.status,
            headers: headers.collect::<Option<_>>()?,
            body: str::from_utf8(&answer.body).ok()?.into(),
        })
    }

    #[must_use]
    pub fn to_answer(&self) -> RecordedAnswer {
        let headers = self.headers.iter().map(|header| RecordedHeader {
            name: header.name.clone(),
            value: header.value.as_bytes().to_vec(),
        });
        RecordedAnswer {
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
