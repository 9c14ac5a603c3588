use {
    super::{CallId, CallPriority, ClassName, RequestId},
    crate::time::TimePoint,
    std::{net::SocketAddr, time::Duration},
};

/// Request header that contains the context of a call.
pub const CONTEXT_HEADER: &str = "banyantrestle-context";
/// Maximum length of the value of a context header, in bytes.
pub const MAX_CONTEXT_BYTES: usize = 256;
/// Maximum depth of a call chain, in hops from the ingress.
pub const MAX_DEPTH: u8 = 32;

const CONTEXT_VERSION: &str = "1";
const FIELD_SEPARATOR: char = ';';
/// Maximum time until the deadline in a header that is accepted.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Context of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallContext {
    pub request: RequestId,
    /// Id of this call.
    pub call: CallId,
    pub class: ClassName,
    pub priority: CallPriority,
    /// Hops from the ingress; the call of a caller has depth 0.
    pub depth: u8,
    /// Time after which the caller no longer uses the response.
    pub deadline: TimePoint,
    /// Mesh address of the daemon that holds the retry budget of the request.
    pub root: SocketAddr,
}

impl CallContext {
    /// Formats the header value at `now`. The deadline is written as the remaining time in
    /// milliseconds, since a [`TimePoint`] is valid in one process only.
    #[must_use]
    pub fn encode(&self, now: TimePoint) -> String {
        format!(
            "{CONTEXT_VERSION};{};{};{};{};{};{};{}",
            self.request,
            self.call,
            self.class,
            self.priority.as_u32(),
            self.depth,
            now.until(self.deadline).as_millis(),
            self.root,
        )
    }

    /// Parses a header value received at `now`; `None` if it is malformed or a field is out of
    /// range.
    #[must_use]
    pub fn decode(text: &str, now: TimePoint) -> Option<Self> {
        if text.len() > MAX_CONTEXT_BYTES {
            return None;
        }
        let mut fields = text.split(FIELD_SEPARATOR);
        if fields.next()? != CONTEXT_VERSION {
            return None;
        }
        let request = RequestId::parse(fields.next()?)?;
        let call = CallId::parse(fields.next()?)?;
        let class = ClassName::new(fields.next()?).ok()?;
        let priority = CallPriority::from_u32(fields.next()?.parse().ok()?);
        let depth = fields.next()?.parse().ok()?;
        let remaining = Duration::from_millis(fields.next()?.parse().ok()?);
        let root = fields.next()?.parse().ok()?;
        if fields.next().is_some() || depth > MAX_DEPTH || remaining > MAX_DEADLINE {
            return None;
        }
        Some(Self {
            request,
            call,
            class,
            priority,
            depth,
            deadline: now + remaining,
            root,
        })
    }

    /// Context of a call that this call makes; `None` if it would exceed [`MAX_DEPTH`].
    #[must_use]
    pub fn child(&self, call: CallId) -> Option<Self> {
        if self.depth >= MAX_DEPTH {
            return None;
        }
        Some(Self {
            call,
            depth: self.depth + 1,
            ..self.clone()
        })
    }
}
