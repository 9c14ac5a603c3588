use {
    super::{DocumentError, FieldError, LineError},
    json_comments::StripComments,
    serde::de::DeserializeOwned,
    serde_json::value::RawValue,
    serde_path_to_error::Error as PathError,
    std::{
        collections::BTreeMap,
        fs::File,
        io::{self, Read},
        path::Path,
    },
};

/// Maximum size of a document, in bytes.
pub const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// Words in a field path that mark its value as secret, so that errors omit the value.
const SECRET_FIELD_WORDS: [&str; 2] = ["secret", "token"];

/// Text of one document, with comments replaced by spaces.
#[derive(Clone, Debug)]
pub struct DocumentText {
    name: String,
    text: String,
}

impl DocumentText {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// The file cannot be read, or [`new`](Self::new) fails for its content.
    pub fn read(path: &Path) -> Result<Self, DocumentError> {
        let name = path.display().to_string();
        let unreadable = |source| DocumentError::Unreadable {
            name: name.clone(),
            source,
        };
        let file = File::open(path).map_err(unreadable)?;
        let limit = u64::try_from(MAX_DOCUMENT_BYTES).unwrap_or(u64::MAX);
        let mut source = Vec::new();
        file.take(limit.saturating_add(1))
            .read_to_end(&mut source)
            .map_err(unreadable)?;
        Self::new(&name, &source)
    }

    /// Strips the comments from `source`; errors give `name` in place of a file path.
    ///
    /// # Errors
    /// The text is too long, is not UTF-8, or ends within a comment or a string.
    pub fn new(name: &str, source: &[u8]) -> Result<Self, DocumentError> {
        if source.len() > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::TooLong {
                name: name.into(),
                limit: MAX_DOCUMENT_BYTES,
            });
        }
        let mut text = String::new();
        let stripped = StripComments::new(source).read_to_string(&mut text);
        stripped.map_err(|source| Self::unreadable(name, source))?;
        Ok(Self {
            name: name.into(),
            text,
        })
    }

    fn unreadable(name: &str, source: io::Error) -> DocumentError {
        let source = match source.kind() {
            io::ErrorKind::InvalidData => io::Error::new(
                source.kind(),
                "not UTF-8, or a comment or string has no end",
            ),
            _ => source,
        };
        DocumentError::Unreadable {
            name: name.into(),
            source,
        }
    }

    /// Deserializes the document; its values are not yet validated.
    ///
    /// # Errors
    /// The text is not JSON, or does not have the structure of the document.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, DocumentError> {
        let mut source = serde_json::Deserializer::from_str(&self.text);
        let parsed = serde_path_to_error::deserialize(&mut source);
        let document = parsed.map_err(|error| self.deserialize_error(&error))?;
        source.end().map_err(|error| {
            let field_error = FieldError::new("", message_without_position(&error));
            self.error_at_line(error.line(), field_error)
        })?;
        Ok(document)
    }

    /// Adds the line of its field to each error, and sorts the errors by line.
    #[must_use]
    pub fn locate_errors(&self, field_errors: Vec<FieldError>) -> DocumentError {
        let located = field_errors.into_iter().map(|field_error| LineError {
            name: self.name.clone(),
            line: self.line_of_field(&field_error.field),
            field_error,
        });
        let mut line_errors: Vec<_> = located.collect();
        line_errors.sort_by_key(|line_error| line_error.line);
        DocumentError::Invalid(line_errors)
    }

    /// Returns the line of the value of `field`, or of the innermost value that exists on its path.
    #[must_use]
    pub fn line_of_field(&self, field: &str) -> usize {
        let mut innermost: Option<&RawValue> = serde_json::from_str(&self.text).ok();
        let keys = field.split(['.', '[']);
        for key in keys.map(|key| key.trim_end_matches(']')) {
            match innermost.and_then(|value| child_value(value, key)) {
                Some(value) => innermost = Some(value),
                None => break,
            }
        }
        innermost.map_or(1, |value| self.line_of_slice(value.get()))
    }

    /// Returns the line at which `slice`, which must be a slice of the text, starts.
    fn line_of_slice(&self, slice: &str) -> usize {
        let offset = slice.as_ptr().addr() - self.text.as_ptr().addr();
        1 + self.text[..offset].matches('\n').count()
    }

    fn deserialize_error(&self, error: &PathError<serde_json::Error>) -> DocumentError {
        let path = error.path().to_string();
        let path = if path == "." { String::new() } else { path };
        let serde_error = error.inner();
        let is_secret = SECRET_FIELD_WORDS.iter().any(|word| path.contains(word));
        let message = if is_secret && serde_error.is_data() {
            "not a string".into()
        } else {
            message_without_position(serde_error)
        };
        self.error_at_line(serde_error.line(), FieldError::new(path, message))
    }

    fn error_at_line(&self, line: usize, field_error: FieldError) -> DocumentError {
        DocumentError::Invalid(vec![LineError {
            name: self.name.clone(),
            line: line.max(1),
            field_error,
        }])
    }
}

fn child_value<'a>(value: &'a RawValue, key: &str) -> Option<&'a RawValue> {
    let text = value.get();
    if let Ok(position) = key.parse::<usize>() {
        let items: Vec<&RawValue> = serde_json::from_str(text).ok()?;
        return items.get(position).copied();
    }
    let fields: BTreeMap<String, &RawValue> = serde_json::from_str(text).ok()?;
    fields.get(key).copied()
}

/// Returns the serde message without line and column, since the error starts with the line.
fn message_without_position(error: &serde_json::Error) -> String {
    let message = error.to_string();
    let end = message.rfind(" at line ").unwrap_or(message.len());
    message[..end].into()
}
