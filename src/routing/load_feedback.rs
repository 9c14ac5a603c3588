use crate::context::CallPriority;

const FIELD_SEPARATOR: char = ';';

/// Load of a guard and its downstream services, returned on a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadFeedback {
    /// Lowest priority that the guard admits.
    pub threshold: CallPriority,
    /// Highest threshold among this guard and the downstream services of the call.
    pub chain_threshold: CallPriority,
    /// Running and queued calls of the guard in percent of its limit.
    pub utilization_percent: u8,
}

impl LoadFeedback {
    /// Formats the value of the response header.
    #[must_use]
    pub fn encode(&self) -> String {
        format!(
            "{};{};{}",
            self.threshold.as_u32(),
            self.chain_threshold.as_u32(),
            self.utilization_percent
        )
    }

    /// Parses a header value; `None` if a field is missing, extra or out of range.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let mut fields = text.split(FIELD_SEPARATOR);
        let threshold = CallPriority::from_u32(fields.next()?.parse().ok()?);
        let chain_threshold = CallPriority::from_u32(fields.next()?.parse().ok()?);
        let utilization_percent = fields.next()?.parse().ok()?;
        if fields.next().is_some() {
            return None;
        }
        Some(Self {
            threshold,
            chain_threshold,
            utilization_percent,
        })
    }
}
