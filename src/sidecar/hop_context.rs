use {
    crate::{context::ServiceName, time::TimePoint},
    std::time::Duration,
};

/// Header that carries the context from one daemon to the next.
pub(crate) const HOP_HEADER: &str = "bt-hop";

/// Bytes of the longest context header that is read.
const MAX_HEADER_BYTES: usize = 256;
/// Hops of the deepest chain that is served.
pub const MAX_HOPS: u8 = 32;
const MAX_SPAN: Duration = Duration::from_secs(3_600);
const SEPARATOR: char = ';';

/// What a call carries from the daemon of its caller to that of its target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HopContext {
    /// Service that the call is for.
    pub service: ServiceName,
    /// Service beside which the call began.
    pub caller: ServiceName,
    /// Rank of the class at the front of the chain; higher is served longer.
    pub rank: u8,
    /// When the request at the front of the chain arrived.
    pub root_start: TimePoint,
    /// No work on the call is useful after this point.
    pub deadline: TimePoint,
    /// Calls between the front of the chain and this one.
    pub depth: u8,
    /// Targets that this call was offered to before.
    pub attempt: u8,
    /// A call above this one in the chain is run for the second time.
    pub is_inherited_retry: bool,
    pub is_idempotent: bool,
}

impl HopContext {
    /// Whether the arrival counts against the repeats of the service.
    #[must_use]
    pub const fn is_retry(&self) -> bool {
        self.attempt > 0 || self.is_inherited_retry
    }

    /// The header value at `now`; points in time travel as spans.
    #[must_use]
    pub fn encode(&self, now: TimePoint) -> String {
        format!(
            "{};{};{};{};{};{};{};{}{}",
            self.service,
            self.caller,
            self.rank,
            now.since(self.root_start).as_millis(),
            now.until(self.deadline).as_millis(),
            self.depth,
            self.attempt,
            if self.is_inherited_retry { "r" } else { "" },
            if self.is_idempotent { "i" } else { "" },
        )
    }

    /// Reads a header value that arrived at `now`; `None` if a field is out of its bounds.
    #[must_use]
    pub fn decode(text: &str, now: TimePoint) -> Option<Self> {
        if text.len() > MAX_HEADER_BYTES {
            return None;
        }
        let mut fields = text.split(SEPARATOR);
        let service = ServiceName::new(fields.next()?).ok()?;
        let caller = ServiceName::new(fields.next()?).ok()?;
        let rank = fields.next()?.parse().ok()?;
        let age = Duration::from_millis(fields.next()?.parse().ok()?);
        let remaining = Duration::from_millis(fields.next()?.parse().ok()?);
        let depth = fields.next()?.parse().ok()?;
        let attempt = fields.next()?.parse().ok()?;
        let flags = fields.next()?;
        let is_flag = |flag: char| matches!(flag, 'r' | 'i');
        let is_valid = fields.next().is_none()
            && depth <= MAX_HOPS
            && age <= MAX_SPAN
            && remaining <= MAX_SPAN
            && flags.chars().all(is_flag);
        is_valid.then(|| Self {
            service,
            caller,
            rank,
            root_start: now - age,
            deadline: now + remaining,
            depth,
            attempt,
            is_inherited_retry: flags.contains('r'),
            is_idempotent: flags.contains('i'),
        })
    }
}
