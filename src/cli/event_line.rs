//! Formats events of the timeline.

use {
    crate::{
        events::{EventRecord, TimelineEntry},
        membership::MemberId,
    },
    humantime::format_rfc3339_millis,
    serde::Serialize,
    serde_json::Value,
    std::time::{Duration, UNIX_EPOCH},
};

/// End of the year 9999 in ms since the Unix epoch; later times can't be formatted.
const MAX_PRINTED_WALL_MS: u64 = 253_402_300_799_999;
const INDENT: &str = "  ";
/// Width of the address column in characters, enough for any IPv4 address and port.
const ADDRESS_WIDTH: usize = 21;
/// Fields that identify calls and requests, printed after the other fields.
const IDENTITY_FIELDS: [&str; 3] = ["call", "parent", "request"];

/// One event as a line of the timeline, in JSON or as text.
#[derive(Serialize)]
pub(super) struct EventLine<'a> {
    process: &'a MemberId,
    depth: usize,
    #[serde(flatten)]
    record: &'a EventRecord,
}

impl<'a> EventLine<'a> {
    pub(super) const fn new(entry: TimelineEntry<'a>) -> Self {
        Self {
            process: entry.process,
            depth: entry.depth,
            record: entry.record,
        }
    }

    /// Formats time, process and event; calls are indented by their depth.
    pub(super) fn to_text(&self) -> String {
        let stamp = self.record.stamp;
        let since_epoch = Duration::from_millis(stamp.wall_ms.min(MAX_PRINTED_WALL_MS));
        let time = format_rfc3339_millis(UNIX_EPOCH + since_epoch);
        let address = self.process.address.to_string();
        let indent = INDENT.repeat(self.depth);
        let name = self.record.kind.name();
        let fields = self.fields();
        format!(
            "{time}+{:04x}  {address:ADDRESS_WIDTH$}  {indent}{name}{fields}",
            stamp.count
        )
    }

    fn fields(&self) -> String {
        let Ok(Value::Object(fields)) = serde_json::to_value(&self.record.kind) else {
            return String::new();
        };
        let is_identity_field = |name: &str| IDENTITY_FIELDS.contains(&name);
        let other_fields = fields
            .iter()
            .filter(|(name, _)| *name != "kind" && !is_identity_field(name));
        let identity_fields = fields.iter().filter(|(name, _)| is_identity_field(name));
        let texts = other_fields
            .chain(identity_fields)
            .map(|(name, value)| match value {
                Value::String(text) if !text.contains(' ') => format!(" {name}={text}"),
                other => format!(" {name}={other}"),
            });
        texts.collect()
    }
}
