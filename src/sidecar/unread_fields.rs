use {
    http::{HeaderMap, HeaderName, header},
    slog::Logger,
    std::{
        collections::HashSet,
        sync::{Mutex, PoisonError},
    },
    strum::{Display, IntoStaticStr},
};

/// Maximum number of names that are tracked, which bounds the log and the metric labels.
const MAX_NAMES: usize = 64;
/// Maximum length of a tracked name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Response headers that any HTTP server may send and that no sidecar acts on.
const COMMON_HEADERS: [HeaderName; 16] = [
    header::CONTENT_TYPE,
    header::CONTENT_LENGTH,
    header::DATE,
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_ENCODING,
    header::SERVER,
    header::ETAG,
    header::CACHE_CONTROL,
    header::LAST_MODIFIED,
    header::VARY,
    header::LOCATION,
    header::SET_COOKIE,
    header::RETRY_AFTER,
    header::ACCEPT_RANGES,
    header::TRAILER,
];
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Where a field occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum FieldSource {
    TargetResponse,
    TargetReport,
    Configuration,
    /// A header that is read, with a value that can't be.
    MalformedResponseHeader,
}

/// Names that targets and the platform use and that this version does not read.
///
/// Each name is logged once and counted in the metrics, so that an extension of the platform's
/// protocol is noticed.
#[derive(Debug, Default)]
pub(crate) struct UnreadFields {
    names: Mutex<HashSet<(FieldSource, String)>>,
}

impl UnreadFields {
    /// Records a name; logs its first occurrence.
    pub(crate) fn record(&self, source: FieldSource, name: &str, log: &Logger) {
        let ends = name
            .char_indices()
            .map(|(start, char)| start + char.len_utf8());
        let end = ends.take_while(|end| *end <= MAX_NAME_BYTES).last();
        let name = &name[..end.unwrap_or(0)];
        let is_first = {
            let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
            let key = (source, name.to_owned());
            let is_known = names.contains(&key);
            if !is_known && names.len() >= MAX_NAMES {
                return;
            }
            !is_known && names.insert(key)
        };
        if is_first {
            slog::warn!(log, "unread field"; "source" => %source, "name" => name);
        }
        let source: &'static str = source.into();
        metrics::counter!("banyantrestle_unread_fields_total", "source" => source,
            "name" => name.to_owned())
        .increment(1);
    }

    /// Records the headers of a target's response that are neither common nor in `read`.
    pub(crate) fn record_response(&self, headers: &HeaderMap, read: &[&HeaderName], log: &Logger) {
        for name in headers.keys() {
            let is_common = COMMON_HEADERS.contains(name) || *name == KEEP_ALIVE;
            if !is_common && !read.contains(&name) {
                self.record(FieldSource::TargetResponse, name.as_str(), log);
            }
        }
    }
}
