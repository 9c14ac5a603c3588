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

/// Bytes of the longest document.
pub const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// Parts of a field's name whose value never shows in an error.
const SECRET_WORDS: [&str; 2] = ["secret", "token"];

/// Text of one document, its comments blanked out.
#[derive(Clone, Debug)]
pub struct DocumentText {
    name: String,
    text: String,
}

impl DocumentText {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// The file cannot be read, is too long, or is not text.
    pub fn read(path: &Path) -> Result<Self, DocumentError> {
        let name = path.display().to_string();
        let unreadable = |source| DocumentError::Unreadable {
            name: name.clone(),
            source,
        };
        let file = File::open(path).map_err(unreadable)?;
        let bound = u64::try_from(MAX_DOCUMENT_BYTES).unwrap_or(u64::MAX);
        let mut source = Vec::new();
        file.take(bound.saturating_add(1))
            .read_to_end(&mut source)
            .map_err(unreadable)?;
        Self::new(&name, &source)
    }

    /// Takes the text from memory; `name` stands for the file in errors.
    ///
    /// # Errors
    /// The text is too long, is not UTF-8, or ends within a comment or a string.
    pub fn new(name: &str, source: &[u8]) -> Result<Self, DocumentError> {
        if source.len() > MAX_DOCUMENT_BYTES {
            return Err(DocumentError::TooLong {
                name: name.into(),
                bound: MAX_DOCUMENT_BYTES,
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

    /// Reads the document; its values are still to be checked.
    ///
    /// # Errors
    /// The text is no JSON, or does not have the shape of the document.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, DocumentError> {
        let mut source = serde_json::Deserializer::from_str(&self.text);
        let parsed = serde_path_to_error::deserialize(&mut source);
        let document = parsed.map_err(|error| self.shape_error(&error))?;
        source.end().map_err(|error| {
            let fault = FieldError::new("", without_place(&error));
            self.fault_at(error.line(), fault)
        })?;
        Ok(document)
    }

    /// Places each fault on the line of its field.
    #[must_use]
    pub fn locate(&self, faults: Vec<FieldError>) -> DocumentError {
        let placed = faults.into_iter().map(|fault| LineError {
            name: self.name.clone(),
            line: self.line_of(&fault.field),
            fault,
        });
        let mut faults: Vec<_> = placed.collect();
        faults.sort_by_key(|fault| fault.line);
        DocumentError::Faults(faults)
    }

    /// Line of the value of `field`, or of the innermost value on the way to it.
    #[must_use]
    pub fn line_of(&self, field: &str) -> usize {
        let mut place: Option<&RawValue> = serde_json::from_str(&self.text).ok();
        let keys = field.split(['.', '[']);
        for key in keys.map(|key| key.trim_end_matches(']')) {
            match place.and_then(|value| child(value, key)) {
                Some(inner) => place = Some(inner),
                None => break,
            }
        }
        place.map_or(1, |value| self.line_at(value.get()))
    }

    /// `part` is a slice of the text.
    fn line_at(&self, part: &str) -> usize {
        let offset = part.as_ptr().addr() - self.text.as_ptr().addr();
        1 + self.text[..offset].matches('\n').count()
    }

    fn shape_error(&self, error: &PathError<serde_json::Error>) -> DocumentError {
        let path = error.path().to_string();
        let path = if path == "." { String::new() } else { path };
        let inner = error.inner();
        let is_secret = SECRET_WORDS.iter().any(|word| path.contains(word));
        let message = if is_secret && inner.is_data() {
            "not a string".into()
        } else {
            without_place(inner)
        };
        self.fault_at(inner.line(), FieldError::new(path, message))
    }

    fn fault_at(&self, line: usize, fault: FieldError) -> DocumentError {
        DocumentError::Faults(vec![LineError {
            name: self.name.clone(),
            line: line.max(1),
            fault,
        }])
    }
}

fn child<'a>(value: &'a RawValue, key: &str) -> Option<&'a RawValue> {
    let text = value.get();
    if let Ok(position) = key.parse::<usize>() {
        let items: Vec<&RawValue> = serde_json::from_str(text).ok()?;
        return items.get(position).copied();
    }
    let fields: BTreeMap<String, &RawValue> = serde_json::from_str(text).ok()?;
    fields.get(key).copied()
}

/// Message of serde without its line and column, which the error gives in front.
fn without_place(error: &serde_json::Error) -> String {
    let message = error.to_string();
    let end = message.rfind(" at line ").unwrap_or(message.len());
    message[..end].into()
}
