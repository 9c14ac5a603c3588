use {
    super::{ClassPolicy, PolicyDocument, RoutePolicy, path_form::is_plain},
    crate::{
        context::ClassName,
        jsonc::{FieldCheck, FieldError},
    },
    std::{collections::HashSet, ops::RangeInclusive},
};

/// Classes of the longest policy.
pub const MAX_CLASSES: usize = 32;
/// Routes of the longest policy.
pub const MAX_ROUTES: usize = 2_000;
/// Bytes of the longest path of a route.
pub const MAX_ROUTE_PATH_LENGTH: usize = 256;
/// Bytes of the longest method.
pub const MAX_METHOD_LENGTH: usize = 16;

const WEIGHTS: RangeInclusive<u64> = 1..=1_000;
const DEADLINES_MS: RangeInclusive<u64> = 1..=600_000;
const KEY_WINDOWS_S: RangeInclusive<u64> = 1..=604_800;
const RETRIES_PER_REQUEST: RangeInclusive<u64> = 0..=100;
const RETRY_RATIOS_PERCENT: RangeInclusive<u64> = 0..=100;
const QUEUE_TARGETS_MS: RangeInclusive<u64> = 1..=10_000;
const QUEUE_INTERVALS_MS: RangeInclusive<u64> = 1..=60_000;

impl PolicyDocument {
    /// Checks all values.
    ///
    /// # Errors
    /// One error for each value out of its bounds.
    pub fn check(&self) -> Result<(), Vec<FieldError>> {
        let mut check = PolicyCheck::default();
        check.fields.name("deployment", &self.deployment);
        check.classes(&self.classes);
        check.default_classes(self);
        check.routes(self);
        check.bounds(self);
        check.fields.finish()
    }
}

#[derive(Default)]
struct PolicyCheck {
    fields: FieldCheck,
}

impl PolicyCheck {
    fn classes(&mut self, classes: &[ClassPolicy]) {
        let count = classes.len();
        if !(1..=MAX_CLASSES).contains(&count) {
            let message = format_args!("{count} classes are not 1 to {MAX_CLASSES}");
            self.fields.fail("classes", message);
        }
        let mut names = HashSet::new();
        for (position, class) in classes.iter().take(MAX_CLASSES).enumerate() {
            let field = |name| format!("classes[{position}].{name}");
            if !names.insert(&class.name) {
                let message = format_args!("class {} stands twice", class.name);
                self.fields.fail(field("name"), message);
            }
            self.fields
                .range(field("weight"), class.weight.into(), &WEIGHTS);
            self.fields
                .range(field("deadline_ms"), class.deadline_ms, &DEADLINES_MS);
            self.fields
                .range(field("key_window_s"), class.key_window_s, &KEY_WINDOWS_S);
        }
    }

    fn default_classes(&mut self, document: &PolicyDocument) {
        self.class(document, "default_class", &document.default_class);
        if let Some(name) = &document.default_unsafe_class {
            self.class(document, "default_unsafe_class", name);
        }
    }

    fn class(&mut self, document: &PolicyDocument, field: impl Into<String>, name: &ClassName) {
        if document.class_position(name).is_none() {
            self.fields
                .fail(field, format_args!("there is no class {name}"));
        }
    }

    fn routes(&mut self, document: &PolicyDocument) {
        let routes = &document.routes;
        let count = routes.len();
        if count > MAX_ROUTES {
            let message = format_args!("{count} routes are over {MAX_ROUTES}");
            self.fields.fail("routes", message);
            return;
        }
        for (position, route) in routes.iter().enumerate() {
            let field = |name| format!("routes[{position}].{name}");
            self.class(document, field("class"), &route.class);
            self.path(field("path"), &route.path);
            if let Some(method) = &route.method {
                self.method(field("method"), method);
            }
            let earlier = routes[..position]
                .iter()
                .position(|other| covers(other, route));
            if let Some(earlier) = earlier {
                let message = format_args!("never matches, since routes[{earlier}] matches first");
                self.fields.fail(field("path"), message);
            }
        }
    }

    fn path(&mut self, field: String, path: &str) {
        if path.len() > MAX_ROUTE_PATH_LENGTH {
            let message = format_args!("longer than {MAX_ROUTE_PATH_LENGTH} bytes");
            self.fields.fail(field, message);
        } else if !is_plain(&path.to_lowercase()) {
            let message = "does not start with /, or has an empty or dot segment, \
                           or a character outside a-z A-Z 0-9 - _ . ~ /";
            self.fields.fail(field, message);
        }
    }

    fn method(&mut self, field: String, method: &str) {
        let is_name = method.bytes().all(|byte| byte.is_ascii_uppercase());
        if !is_name || !(1..=MAX_METHOD_LENGTH).contains(&method.len()) {
            let message = format_args!("is not 1 to {MAX_METHOD_LENGTH} of A-Z");
            self.fields.fail(field, message);
        }
    }

    fn bounds(&mut self, document: &PolicyDocument) {
        let retry = document.retry;
        let overload = document.overload;
        let per_request = retry.per_request.into();
        let ratio = retry.ratio_percent.into();
        let target = overload.queue_target_ms;
        let interval = overload.queue_interval_ms;
        self.fields
            .range("retry.per_request", per_request, &RETRIES_PER_REQUEST);
        self.fields
            .range("retry.ratio_percent", ratio, &RETRY_RATIOS_PERCENT);
        self.fields
            .range("overload.queue_target_ms", target, &QUEUE_TARGETS_MS);
        self.fields
            .range("overload.queue_interval_ms", interval, &QUEUE_INTERVALS_MS);
        if interval < target {
            let message = format_args!("{interval} is less than queue_target_ms, {target}");
            self.fields.fail("overload.queue_interval_ms", message);
        }
    }
}

/// Whether each call that `route` matches is matched by `earlier`.
fn covers(earlier: &RoutePolicy, route: &RoutePolicy) -> bool {
    let is_method = earlier.method.is_none() || earlier.method == route.method;
    earlier.service == route.service && is_method && is_below(&earlier.path, &route.path)
}

fn is_below(prefix: &str, path: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
