use std::borrow::Cow;

/// Maximum length of a path that is normalised, in bytes.
const MAX_PATH_BYTES: usize = 8 * 1024;
/// Percent-decoding passes after which a path that still changes counts as ambiguous.
const MAX_DECODE_PASSES: usize = 4;

/// Removes the query and the fragment.
pub(super) fn strip_query(request_target: &str) -> &str {
    let end = request_target
        .find(['?', '#'])
        .unwrap_or(request_target.len());
    &request_target[..end]
}

/// Whether all servers interpret the path alike.
///
/// Such a path is lower case and has no escapes, no empty segments and no dot segments.
pub(super) fn is_canonical(path: &str) -> bool {
    let is_canonical_byte =
        |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'~' | b'/' | b'.');
    let is_canonical_segment = |segment: &str| !segment.is_empty() && !segment.ends_with('.');
    let Some(inner) = path.strip_prefix('/') else {
        return false;
    };
    let inner = inner.strip_suffix('/').unwrap_or(inner);
    let is_root = inner.is_empty() && path.len() == 1;
    path.bytes().all(is_canonical_byte) && (is_root || inner.split('/').all(is_canonical_segment))
}

/// Interpretations that a lenient server may give to one path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PathVariants {
    /// Percent-decoded and in lower case, without empty segments and path parameters.
    pub decoded: String,
    /// `decoded` with dot segments resolved.
    pub resolved: String,
}

impl PathVariants {
    /// Returns `None` if the path is too long, still changes after the last decoding pass, or
    /// does not decode to printable UTF-8.
    pub(super) fn parse(path: &str) -> Option<Self> {
        if path.len() > MAX_PATH_BYTES {
            return None;
        }
        let text = percent_decode_repeatedly(path)?
            .replace('\\', "/")
            .to_lowercase();
        let segments = text.split('/').map(normalise_segment);
        let segments: Vec<_> = segments.filter(|segment| !segment.is_empty()).collect();
        Some(Self {
            decoded: join_segments(&segments),
            resolved: join_segments(&resolve_dot_segments(&segments)),
        })
    }
}

fn percent_decode_repeatedly(path: &str) -> Option<String> {
    let mut text = Cow::Borrowed(path);
    for _ in 0..MAX_DECODE_PASSES {
        let decoded = percent_decode_once(&text)?;
        if decoded == text {
            let is_printable = !text.chars().any(char::is_control);
            return is_printable.then(|| text.into_owned());
        }
        text = Cow::Owned(decoded);
    }
    None
}

fn percent_decode_once(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let hex_digits = (first == b'%').then(|| tail.get(..2)).flatten();
        if let Some(byte) = hex_digits.and_then(parse_hex_byte) {
            bytes.push(byte);
            rest = &tail[2..];
        } else {
            bytes.push(first);
            rest = tail;
        }
    }
    String::from_utf8(bytes).ok()
}

fn parse_hex_byte(hex_digits: &[u8]) -> Option<u8> {
    let is_hex = hex_digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(hex_digits).ok()?;
    is_hex.then(|| u8::from_str_radix(text, 16).ok()).flatten()
}

/// Removes path parameters, and trailing dots and spaces, which some servers drop.
fn normalise_segment(segment: &str) -> &str {
    let end = segment.find(';').unwrap_or(segment.len());
    let segment = segment[..end].trim();
    if matches!(segment, "." | "..") {
        return segment;
    }
    segment.trim_end_matches('.').trim_end()
}

fn resolve_dot_segments<'a>(segments: &[&'a str]) -> Vec<&'a str> {
    let mut resolved = Vec::with_capacity(segments.len());
    for segment in segments {
        match *segment {
            "." => {}
            ".." => {
                resolved.pop();
            }
            name => resolved.push(name),
        }
    }
    resolved
}

fn join_segments(segments: &[&str]) -> String {
    format!("/{}", segments.join("/"))
}
