//! Parses and formats log lines of sidecars.

use {
    crate::sidecar::CALL_ID_SEPARATOR,
    humantime::{format_rfc3339_millis, parse_rfc3339},
    serde_json::{Map, Value},
    std::time::SystemTime,
};

/// Maximum length of a line that is read, in bytes; sidecars write much shorter ones.
pub(super) const MAX_LINE_BYTES: usize = 64 * 1024;

const INDENT: &str = "  ";
/// Minimum width of the node column in characters.
const NODE_WIDTH: usize = 20;

/// One line of a sidecar's log.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LogLine {
    pub(super) time: SystemTime,
    pub(super) node: String,
    pub(super) message: String,
    fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; a prefix that a log collector put before the JSON is skipped.
    pub(super) fn parse(text: &str) -> Option<Self> {
        let start = text.find('{')?;
        let mut fields: Map<String, Value> = serde_json::from_str(&text[start..]).ok()?;
        let mut remove_text = |name| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let time = parse_rfc3339(&remove_text("ts")?).ok()?;
        let message = remove_text("msg")?;
        let node = remove_text("node").unwrap_or_default();
        fields.remove("level");
        Some(Self {
            time,
            node,
            message,
            fields,
        })
    }

    pub(super) fn text_field(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    pub(super) fn number_field(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Nesting depth of this line's call below the request with the id `root`; `None` if the line
    /// does not belong to that request.
    pub(super) fn depth_below(&self, root: &str) -> Option<usize> {
        let suffix = self.text_field("request")?.strip_prefix(root)?;
        let is_below = suffix.is_empty() || suffix.starts_with(CALL_ID_SEPARATOR);
        is_below.then(|| suffix.matches(CALL_ID_SEPARATOR).count())
    }

    /// Formats time, node, message and fields, indented by `depth`.
    pub(super) fn to_text(&self, depth: usize) -> String {
        let time = format_rfc3339_millis(self.time);
        let field_texts = self.fields.iter().map(|(name, value)| match value {
            Value::String(text) if !text.contains(' ') => format!(" {name}={text}"),
            other => format!(" {name}={other}"),
        });
        let fields: String = field_texts.collect();
        let Self { node, message, .. } = self;
        let indent = INDENT.repeat(depth);
        format!("{time}  {node:NODE_WIDTH$}  {indent}{message}{fields}")
    }
}

/// Id of the request that started the chain of calls to which `id` belongs.
pub(super) fn root_request_id(id: &str) -> &str {
    id.split(CALL_ID_SEPARATOR).next().unwrap_or(id)
}
