use {
    super::FieldError,
    crate::context::ServiceName,
    std::{fmt::Display, ops::RangeInclusive},
};

/// Collects the errors of a document, one for each invalid value.
#[derive(Debug, Default)]
pub(crate) struct ErrorCollector {
    errors: Vec<FieldError>,
}

impl ErrorCollector {
    pub(crate) fn push(&mut self, field: impl Into<String>, message: impl Display) {
        self.errors.push(FieldError::new(field, message));
    }

    pub(crate) fn check_range(
        &mut self,
        field: impl Into<String>,
        value: u64,
        range: &RangeInclusive<u64>,
    ) {
        if !range.contains(&value) {
            let (start, end) = (range.start(), range.end());
            self.push(field, format_args!("{value} is not {start} to {end}"));
        }
    }

    pub(crate) fn check_name(&mut self, field: &str, name: &str) {
        if ServiceName::new(name).is_err() {
            self.push(field, "must be 1 to 64 characters from a-z, 0-9, - and _");
        }
    }

    /// Returns the collected errors, if any.
    ///
    /// # Errors
    /// All errors collected so far.
    pub(crate) fn into_result(self) -> Result<(), Vec<FieldError>> {
        if self.errors.is_empty() {
            Ok(())
        } else {
            Err(self.errors)
        }
    }
}
