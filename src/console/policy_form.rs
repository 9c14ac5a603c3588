use {
    super::{ClassRow, RouteRow},
    crate::{
        context::ClassName,
        jsonc::FieldError,
        policy::{
            ActivePolicy, MAX_CLASSES, MAX_ROUTES, OverloadPolicy, PolicyDocument, RetryPolicy,
        },
    },
    form_urlencoded::parse,
    std::{fmt::Display, str::FromStr},
};

/// Maximum number of fields that are decoded; further ones are ignored.
///
/// A class has 5 fields, a route has 4, and there are fewer than 32 others.
pub const MAX_FORM_FIELDS: usize = 5 * MAX_CLASSES + 4 * MAX_ROUTES + 32;

/// Policy form with the text that the operator entered; [`PolicyForm::to_document`] parses it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PolicyForm {
    /// Policy version that the form was filled from.
    pub base_version: String,
    pub deployment: String,
    pub default_class: String,
    pub default_unsafe_class: String,
    pub per_request: String,
    pub ratio_percent: String,
    pub queue_target_ms: String,
    pub queue_interval_ms: String,
    pub classes: Vec<ClassRow>,
    pub routes: Vec<RouteRow>,
    /// Value of the pressed button, see [`FormAction::parse`](super::FormAction::parse).
    pub action: String,
    /// Admin token; never rendered back into the page.
    pub token: String,
}

/// Collects field errors while a form is parsed.
#[derive(Debug, Default)]
pub(super) struct FormParser {
    errors: Vec<FieldError>,
}

impl FormParser {
    /// Returns the parsed value, or records the error of `field`.
    pub(super) fn check<V, E: Display>(
        &mut self,
        field: impl Into<String>,
        parsed: Result<V, E>,
    ) -> Option<V> {
        let field_error = |cause| FieldError::new(field, cause);
        parsed
            .map_err(|cause| self.errors.push(field_error(cause)))
            .ok()
    }

    pub(super) fn parse_number<N: FromStr>(
        &mut self,
        field: impl Into<String>,
        text: &str,
    ) -> Option<N> {
        let parsed = text.trim().parse().map_err(|_| "not a whole number");
        self.check(field, parsed)
    }
}

impl PolicyForm {
    /// Fills the form from a policy.
    #[must_use]
    pub fn from_policy(policy: &ActivePolicy) -> Self {
        let document = &policy.document;
        let unsafe_class = document.default_unsafe_class.as_ref();
        Self {
            base_version: policy.version.to_string(),
            deployment: document.deployment.clone(),
            default_class: document.default_class.to_string(),
            default_unsafe_class: unsafe_class.map(ToString::to_string).unwrap_or_default(),
            per_request: document.retry.per_request.to_string(),
            ratio_percent: document.retry.ratio_percent.to_string(),
            queue_target_ms: document.overload.queue_target_ms.to_string(),
            queue_interval_ms: document.overload.queue_interval_ms.to_string(),
            classes: document.classes.iter().map(ClassRow::from_policy).collect(),
            routes: document.routes.iter().map(RouteRow::from_policy).collect(),
            ..Self::default()
        }
    }

    /// Decodes a URL-encoded body; unknown fields are ignored.
    #[must_use]
    pub fn decode(body: &[u8]) -> Self {
        let mut form = Self::default();
        for (name, value) in parse(body).take(MAX_FORM_FIELDS) {
            form.set_field(&name, value.into_owned());
        }
        form
    }

    fn set_field(&mut self, name: &str, value: String) {
        match name {
            "base_version" => self.base_version = value,
            "deployment" => self.deployment = value,
            "default_class" => self.default_class = value,
            "default_unsafe_class" => self.default_unsafe_class = value,
            "retry.per_request" => self.per_request = value,
            "retry.ratio_percent" => self.ratio_percent = value,
            "overload.queue_target_ms" => self.queue_target_ms = value,
            "overload.queue_interval_ms" => self.queue_interval_ms = value,
            "action" => self.action = value,
            "token" => self.token = value,
            _ => self.set_row_field(name, value),
        }
    }

    /// Sets a field of a row, such as `class.2.weight`.
    fn set_row_field(&mut self, name: &str, value: String) {
        let mut parts = name.splitn(3, '.');
        let (Some(table), Some(position), Some(field)) = (parts.next(), parts.next(), parts.next())
        else {
            return;
        };
        let Ok(position) = position.parse() else {
            return;
        };
        match table {
            "class" => {
                if let Some(row) = row_mut(&mut self.classes, position, MAX_CLASSES) {
                    row.set_field(field, value);
                }
            }
            "route" => {
                if let Some(row) = row_mut(&mut self.routes, position, MAX_ROUTES) {
                    row.set_field(field, value);
                }
            }
            _ => {}
        }
    }

    /// Parses and validates the document.
    ///
    /// # Errors
    /// One error for each field that is not a valid number or name, or is out of bounds.
    pub fn to_document(&self) -> Result<PolicyDocument, Vec<FieldError>> {
        let mut parser = FormParser::default();
        match self.parse_document(&mut parser) {
            Some(document) if parser.errors.is_empty() => {
                document.validate()?;
                Ok(document)
            }
            _ => Err(parser.errors),
        }
    }

    fn parse_document(&self, parser: &mut FormParser) -> Option<PolicyDocument> {
        let classes = self.classes.iter().enumerate();
        let classes: Vec<_> = classes
            .map(|(position, row)| row.to_policy(position, parser))
            .collect();
        let routes = self.routes.iter().enumerate();
        let routes: Vec<_> = routes
            .map(|(position, row)| row.to_policy(position, parser))
            .collect();
        let default_class = parser.check("default_class", ClassName::new(&self.default_class));
        let unsafe_class = self.parse_unsafe_class(parser);
        let per_request = parser.parse_number("retry.per_request", &self.per_request);
        let ratio = parser.parse_number("retry.ratio_percent", &self.ratio_percent);
        let target = parser.parse_number("overload.queue_target_ms", &self.queue_target_ms);
        let interval = parser.parse_number("overload.queue_interval_ms", &self.queue_interval_ms);
        Some(PolicyDocument {
            deployment: self.deployment.clone(),
            classes: classes.into_iter().collect::<Option<_>>()?,
            routes: routes.into_iter().collect::<Option<_>>()?,
            default_class: default_class?,
            default_unsafe_class: unsafe_class,
            retry: RetryPolicy {
                per_request: per_request?,
                ratio_percent: ratio?,
            },
            overload: OverloadPolicy {
                queue_target_ms: target?,
                queue_interval_ms: interval?,
            },
        })
    }

    fn parse_unsafe_class(&self, parser: &mut FormParser) -> Option<ClassName> {
        let name = &self.default_unsafe_class;
        if name.is_empty() {
            return None;
        }
        parser.check("default_unsafe_class", ClassName::new(name))
    }
}

/// Returns the row at `position`, after adding empty rows up to it; `None` if `max_rows` does not
/// allow that position.
fn row_mut<R: Clone + Default>(
    rows: &mut Vec<R>,
    position: usize,
    max_rows: usize,
) -> Option<&mut R> {
    if position >= max_rows {
        return None;
    }
    if position >= rows.len() {
        rows.resize(position + 1, R::default());
    }
    rows.get_mut(position)
}
