use {super::TargetLoad, std::time::Duration};

/// Response header with the load of a target, for the sidecars that call it.
pub(crate) const LOAD_HEADER: &str = "bt-load";

const PERCENT: f64 = 100.0;
const STALLED_FLAG: &str = "s";

impl TargetLoad {
    /// Encodes the header value: running calls, waiting calls, concurrency limit, service time in
    /// microseconds, failure rate in percent, the stall flag, waiting calls above the lowest rank,
    /// and the rate limit in calls per second, if there is one.
    #[must_use]
    pub fn encode(&self) -> String {
        let rate_limit = self.rate_limit.map(|limit| format!(";{limit}"));
        format!(
            "{};{};{};{};{:.0};{};{}{}",
            self.running,
            self.waiting,
            self.limit,
            self.service_time.as_micros(),
            self.failure_rate * PERCENT,
            if self.is_stalled { STALLED_FLAG } else { "" },
            self.urgent_waiting,
            rate_limit.unwrap_or_default(),
        )
    }

    /// Parses a header value; `None` if a field is malformed.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let mut fields = text.split(';');
        let running = fields.next()?.parse().ok()?;
        let waiting = fields.next()?.parse().ok()?;
        let limit: u32 = fields.next()?.parse().ok()?;
        let service_time = Duration::from_micros(fields.next()?.parse().ok()?);
        let failures: u32 = fields.next()?.parse().ok()?;
        let is_stalled = fields.next()? == STALLED_FLAG;
        let urgent_waiting = fields.next()?.parse().ok()?;
        let rate_limit = match fields.next() {
            Some(text) => {
                let rate: f64 = text.parse().ok()?;
                Some(Some(rate).filter(|rate| rate.is_finite() && *rate > 0.0)?)
            }
            None => None,
        };
        (limit > 0 && fields.next().is_none()).then(|| Self {
            running,
            waiting,
            urgent_waiting,
            limit,
            service_time,
            failure_rate: f64::from(failures) / PERCENT,
            is_stalled,
            rate_limit,
        })
    }
}
