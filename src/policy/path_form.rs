use std::borrow::Cow;

/// Bytes of the longest path that is taken apart.
const MAX_PATH_LENGTH: usize = 8 * 1024;
/// Times that a path is percent-decoded before it counts as ambiguous.
const MAX_DECODE_ROUNDS: usize = 4;

/// Cuts the query and the fragment off.
pub(super) fn without_query(target: &str) -> &str {
    let end = target.find(['?', '#']).unwrap_or(target.len());
    &target[..end]
}

/// Whether all servers read the path alike: lower case, nothing encoded, no empty or dot segment.
pub(super) fn is_plain(path: &str) -> bool {
    let is_plain_byte =
        |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'~' | b'/' | b'.');
    let is_plain_segment = |segment: &str| !segment.is_empty() && !segment.ends_with('.');
    let Some(inner) = path.strip_prefix('/') else {
        return false;
    };
    let inner = inner.strip_suffix('/').unwrap_or(inner);
    let is_root = inner.is_empty() && path.len() == 1;
    path.bytes().all(is_plain_byte) && (is_root || inner.split('/').all(is_plain_segment))
}

/// The readings that a lenient server may give to one path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PathReadings {
    /// Decoded, in lower case, without empty segments and path parameters.
    pub decoded: String,
    /// The same with dot segments resolved.
    pub resolved: String,
}

impl PathReadings {
    /// `None` if the path is too long, keeps changing under decoding, or decodes to no text.
    pub(super) fn of(path: &str) -> Option<Self> {
        if path.len() > MAX_PATH_LENGTH {
            return None;
        }
        let text = decode(path)?.replace('\\', "/").to_lowercase();
        let segments = text.split('/').map(bare_segment);
        let segments: Vec<_> = segments.filter(|segment| !segment.is_empty()).collect();
        Some(Self {
            decoded: join(&segments),
            resolved: join(&resolve(&segments)),
        })
    }
}

fn decode(path: &str) -> Option<String> {
    let mut text = Cow::Borrowed(path);
    for _ in 0..MAX_DECODE_ROUNDS {
        let decoded = decode_once(&text)?;
        if decoded == text {
            let is_text = !text.chars().any(char::is_control);
            return is_text.then(|| text.into_owned());
        }
        text = Cow::Owned(decoded);
    }
    None
}

fn decode_once(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&first, tail)) = rest.split_first() {
        let escape = (first == b'%').then(|| tail.get(..2)).flatten();
        if let Some(byte) = escape.and_then(hex_byte) {
            bytes.push(byte);
            rest = &tail[2..];
        } else {
            bytes.push(first);
            rest = tail;
        }
    }
    String::from_utf8(bytes).ok()
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let is_hex = digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok()?;
    is_hex.then(|| u8::from_str_radix(text, 16).ok()).flatten()
}

/// A segment without its parameters; some servers drop a trailing dot or space as well.
fn bare_segment(segment: &str) -> &str {
    let end = segment.find(';').unwrap_or(segment.len());
    let segment = segment[..end].trim();
    if matches!(segment, "." | "..") {
        return segment;
    }
    segment.trim_end_matches('.').trim_end()
}

fn resolve<'a>(segments: &[&'a str]) -> Vec<&'a str> {
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

fn join(segments: &[&str]) -> String {
    format!("/{}", segments.join("/"))
}
