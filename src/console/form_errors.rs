use {
    crate::jsonc::FieldError,
    maud::{Markup, html},
};

/// Field errors of a form, rendered next to their fields.
#[derive(Clone, Debug, Default)]
pub(super) struct FormErrors(Vec<FieldError>);

impl FormErrors {
    pub(super) fn new(errors: Vec<FieldError>) -> Self {
        Self(errors)
    }

    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Renders the errors of one field.
    pub(super) fn render_for_field(&self, field: &str) -> Markup {
        let errors = self.0.iter().filter(|error| error.field == field);
        html! {
            @for error in errors {
                span class="error" { (error.message) }
            }
        }
    }
}
