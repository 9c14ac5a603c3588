use {
    super::PolicyDocument,
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// A field that differs between policy documents.
///
/// A value is absent if its document lacks the field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldChange {
    /// Path that identifies classes and routes by name, such as `classes[purchase].weight`.
    pub field: String,
    /// Value in the version that was edited, if this daemon still has that version.
    pub base: Option<String>,
    /// Value in the latest accepted version.
    pub current: Option<String>,
    /// Value in the submitted document.
    #[serde(rename = "mine")]
    pub submitted: Option<String>,
}

type FieldValues = BTreeMap<String, String>;

impl FieldChange {
    /// Lists the fields that differ between the documents; `base` is left out if it is unknown.
    #[must_use]
    pub fn compare(
        base: Option<&PolicyDocument>,
        current: &PolicyDocument,
        submitted: &PolicyDocument,
    ) -> Vec<Self> {
        let has_base = base.is_some();
        let base = base.map(field_values).unwrap_or_default();
        let current = field_values(current);
        let submitted = field_values(submitted);
        let fields: BTreeSet<_> = base
            .keys()
            .chain(current.keys())
            .chain(submitted.keys())
            .collect();
        let changes = fields.into_iter().map(|field| Self {
            field: field.clone(),
            base: base.get(field).cloned(),
            current: current.get(field).cloned(),
            submitted: submitted.get(field).cloned(),
        });
        changes.filter(|change| change.differs(has_base)).collect()
    }

    /// Whether both documents changed the field of the base, to different values.
    #[must_use]
    pub fn is_conflict(&self) -> bool {
        self.current != self.base && self.submitted != self.base && self.current != self.submitted
    }

    /// Whether the submitted value differs from the current one, or from the base if that is known.
    fn differs(&self, has_base: bool) -> bool {
        self.current != self.submitted || has_base && self.base != self.submitted
    }
}

fn field_values(document: &PolicyDocument) -> FieldValues {
    let mut values = FieldValues::new();
    let mut add = |field: String, value: String| {
        values.insert(field, value);
    };
    add("deployment".into(), document.deployment.clone());
    add("default_class".into(), document.default_class.to_string());
    if let Some(class) = &document.default_unsafe_class {
        add("default_unsafe_class".into(), class.to_string());
    }
    let retry = document.retry;
    add("retry.per_request".into(), retry.per_request.to_string());
    add(
        "retry.ratio_percent".into(),
        retry.ratio_percent.to_string(),
    );
    let overload = document.overload;
    let target = overload.queue_target_ms;
    let interval = overload.queue_interval_ms;
    add("overload.queue_target_ms".into(), target.to_string());
    add("overload.queue_interval_ms".into(), interval.to_string());
    for class in &document.classes {
        let field = |name| format!("classes[{}].{name}", class.name);
        add(field("weight"), class.weight.to_string());
        add(field("deadline_ms"), class.deadline_ms.to_string());
        add(field("non_idempotent"), class.non_idempotent.to_string());
        add(field("key_window_s"), class.key_window_s.to_string());
    }
    let names: Vec<_> = document
        .classes
        .iter()
        .map(|class| class.name.as_str())
        .collect();
    add("classes.order".into(), names.join(", "));
    for route in &document.routes {
        let method = route.method.as_deref().unwrap_or("*");
        let field = format!("routes[{} {method} {}]", route.service, route.path);
        add(field, route.class.to_string());
    }
    values
}
