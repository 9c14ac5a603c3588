use {
    super::{ClassPolicy, PolicyDocument, RoutePolicy, path_variants::is_canonical},
    crate::{
        context::ClassName,
        jsonc::{ErrorCollector, FieldError},
    },
    std::{collections::HashSet, ops::RangeInclusive},
};

/// Maximum number of classes in a policy.
pub const MAX_CLASSES: usize = 32;
/// Maximum number of routes in a policy.
pub const MAX_ROUTES: usize = 2_000;
/// Maximum length of a route path, in bytes.
pub const MAX_ROUTE_PATH_BYTES: usize = 256;
/// Maximum length of a route method, in bytes.
pub const MAX_METHOD_BYTES: usize = 16;

const WEIGHT_RANGE: RangeInclusive<u64> = 1..=1_000;
const DEADLINE_MS_RANGE: RangeInclusive<u64> = 1..=600_000;
const KEY_WINDOW_S_RANGE: RangeInclusive<u64> = 1..=604_800;
const RETRIES_PER_REQUEST_RANGE: RangeInclusive<u64> = 0..=100;
const RETRY_RATIO_PERCENT_RANGE: RangeInclusive<u64> = 0..=100;
const QUEUE_TARGET_MS_RANGE: RangeInclusive<u64> = 1..=10_000;
const QUEUE_INTERVAL_MS_RANGE: RangeInclusive<u64> = 1..=60_000;

impl PolicyDocument {
    /// Checks all values.
    ///
    /// # Errors
    /// One error for each invalid value.
    pub fn validate(&self) -> Result<(), Vec<FieldError>> {
        let mut validator = PolicyValidator::default();
        validator.errors.check_name("deployment", &self.deployment);
        validator.check_classes(&self.classes);
        validator.check_default_classes(self);
        validator.check_routes(self);
        validator.check_limits(self);
        validator.errors.into_result()
    }
}

#[derive(Default)]
struct PolicyValidator {
    errors: ErrorCollector,
}

impl PolicyValidator {
    fn check_classes(&mut self, classes: &[ClassPolicy]) {
        let count = classes.len();
        if !(1..=MAX_CLASSES).contains(&count) {
            let message = format_args!("{count} classes are not 1 to {MAX_CLASSES}");
            self.errors.push("classes", message);
        }
        let mut names = HashSet::new();
        for (position, class) in classes.iter().take(MAX_CLASSES).enumerate() {
            let field = |name| format!("classes[{position}].{name}");
            if !names.insert(&class.name) {
                let message = format_args!("class {} is already defined", class.name);
                self.errors.push(field("name"), message);
            }
            self.errors
                .check_range(field("weight"), class.weight.into(), &WEIGHT_RANGE);
            self.errors
                .check_range(field("deadline_ms"), class.deadline_ms, &DEADLINE_MS_RANGE);
            self.errors.check_range(
                field("key_window_s"),
                class.key_window_s,
                &KEY_WINDOW_S_RANGE,
            );
        }
    }

    fn check_default_classes(&mut self, document: &PolicyDocument) {
        self.check_class_exists(document, "default_class", &document.default_class);
        if let Some(name) = &document.default_unsafe_class {
            self.check_class_exists(document, "default_unsafe_class", name);
        }
    }

    fn check_class_exists(
        &mut self,
        document: &PolicyDocument,
        field: impl Into<String>,
        name: &ClassName,
    ) {
        if document.class_position(name).is_none() {
            self.errors
                .push(field, format_args!("there is no class {name}"));
        }
    }

    fn check_routes(&mut self, document: &PolicyDocument) {
        let routes = &document.routes;
        let count = routes.len();
        if count > MAX_ROUTES {
            let message = format_args!("{count} routes exceed the limit of {MAX_ROUTES}");
            self.errors.push("routes", message);
            return;
        }
        for (position, route) in routes.iter().enumerate() {
            let field = |name| format!("routes[{position}].{name}");
            self.check_class_exists(document, field("class"), &route.class);
            self.check_path(field("path"), &route.path);
            if let Some(method) = &route.method {
                self.check_method(field("method"), method);
            }
            let earlier = routes[..position]
                .iter()
                .position(|other| shadows(other, route));
            if let Some(earlier) = earlier {
                let message = format_args!("never matches, since routes[{earlier}] matches first");
                self.errors.push(field("path"), message);
            }
        }
    }

    fn check_path(&mut self, field: String, path: &str) {
        if path.len() > MAX_ROUTE_PATH_BYTES {
            let message = format_args!("longer than {MAX_ROUTE_PATH_BYTES} bytes");
            self.errors.push(field, message);
        } else if !is_canonical(&path.to_lowercase()) {
            let message = "does not start with /, or has an empty or dot segment, \
                           or a character outside a-z A-Z 0-9 - _ . ~ /";
            self.errors.push(field, message);
        }
    }

    fn check_method(&mut self, field: String, method: &str) {
        let is_uppercase = method.bytes().all(|byte| byte.is_ascii_uppercase());
        if !is_uppercase || !(1..=MAX_METHOD_BYTES).contains(&method.len()) {
            let message = format_args!("must be 1 to {MAX_METHOD_BYTES} characters from A-Z");
            self.errors.push(field, message);
        }
    }

    fn check_limits(&mut self, document: &PolicyDocument) {
        let retry = document.retry;
        let overload = document.overload;
        let per_request = retry.per_request.into();
        let ratio = retry.ratio_percent.into();
        let target = overload.queue_target_ms;
        let interval = overload.queue_interval_ms;
        self.errors
            .check_range("retry.per_request", per_request, &RETRIES_PER_REQUEST_RANGE);
        self.errors
            .check_range("retry.ratio_percent", ratio, &RETRY_RATIO_PERCENT_RANGE);
        self.errors
            .check_range("overload.queue_target_ms", target, &QUEUE_TARGET_MS_RANGE);
        self.errors.check_range(
            "overload.queue_interval_ms",
            interval,
            &QUEUE_INTERVAL_MS_RANGE,
        );
        if interval < target {
            let message = format_args!("{interval} is less than queue_target_ms, {target}");
            self.errors.push("overload.queue_interval_ms", message);
        }
    }
}

/// Whether `earlier` matches every call that `route` matches.
fn shadows(earlier: &RoutePolicy, route: &RoutePolicy) -> bool {
    let covers_method = earlier.method.is_none() || earlier.method == route.method;
    earlier.service == route.service && covers_method && is_under_prefix(&earlier.path, &route.path)
}

fn is_under_prefix(prefix: &str, path: &str) -> bool {
    let remainder = path.strip_prefix(prefix.trim_end_matches('/'));
    remainder.is_some_and(|remainder| remainder.is_empty() || remainder.starts_with('/'))
}
