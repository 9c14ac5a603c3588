use {
    super::{CallId, CallPriority, ClassName, RequestId},
    crate::time::TimePoint,
    std::{net::SocketAddr, time::Duration},
};

/// Header that carries the context from hop to hop.
pub const CONTEXT_HEADER: &str = "banyantrestle-context";
/// Bytes of the longest context header that is read.
pub const MAX_CONTEXT_BYTES: usize = 256;
/// Hops of the deepest chain that is served.
pub const MAX_DEPTH: u8 = 32;

const CONTEXT_VERSION: &str = "1";
const FIELD_SEPARATOR: char = ';';
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// What a call carries along the chain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallContext {
    pub request: RequestId,
    /// This hop of the request.
    pub call: CallId,
    pub class: ClassName,
    pub priority: CallPriority,
    /// Hops from the edge; the first call has depth 0.
    pub depth: u8,
    /// No work of the request is useful after this point.
    pub deadline: TimePoint,
    /// Mesh address of the daemon that holds the retry budget.
    pub root: SocketAddr,
}

impl CallContext {
    /// The header value at `now`; the deadline travels as the time that remains.
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

    /// Reads a header value that arrived at `now`; `None` if any field is out of its bounds.
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

    /// The context of a call that this call makes; `None` past the deepest chain.
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
