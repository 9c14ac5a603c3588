use {
    crate::client::{ATTEMPT_HEADER, CallPath, KEY_HEADER},
    banyantrestle::{
        context::{CONTEXT_HEADER, CallContext},
        time::TimePoint,
    },
    http::{HeaderValue, Method, request::Parts},
};

/// A call as its target receives it.
pub struct InboundCall {
    pub method: Method,
    /// Path and query as received.
    pub full_path: String,
    pub path: CallPath,
    /// Value of [`ATTEMPT_HEADER`]; empty if it is missing.
    pub attempt: String,
    /// Value of [`KEY_HEADER`].
    pub key: Option<String>,
    pub context: Option<HeaderValue>,
    /// Deadline in the context, if the context is valid.
    pub deadline: Option<TimePoint>,
}

impl InboundCall {
    pub fn from_parts(parts: &Parts, now: TimePoint) -> Self {
        let header = |name: &str| parts.headers.get(name)?.to_str().ok().map(str::to_owned);
        let full_path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let context = header(CONTEXT_HEADER);
        let decoded = context.and_then(|text| CallContext::decode(&text, now));
        Self {
            method: parts.method.clone(),
            full_path: full_path.into(),
            path: CallPath::parse(full_path),
            attempt: header(ATTEMPT_HEADER).unwrap_or_default(),
            key: header(KEY_HEADER),
            context: parts.headers.get(CONTEXT_HEADER).cloned(),
            deadline: decoded.map(|context| context.deadline),
        }
    }
}
