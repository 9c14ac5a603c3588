use {
    super::{
        ClassRule, CompressedPolicy, PolicyDocument, PolicyHash, VersionedPolicy,
        path_variants::strip_query,
        route_table::{ClassIndex, ClassMatch, DefaultClasses, RouteTable},
    },
    crate::{
        context::{ClassName, ServiceName},
        jsonc::FieldError,
    },
    std::collections::HashSet,
};

/// A policy in force, compiled for look-up by service, method and path.
#[derive(Clone, Debug)]
pub struct ActivePolicy {
    pub version: u64,
    pub hash: PolicyHash,
    pub document: PolicyDocument,
    compressed: CompressedPolicy,
    rules: Vec<ClassRule>,
    routes: RouteTable,
}

impl ActivePolicy {
    /// Validates and compiles a policy.
    ///
    /// # Errors
    /// One error for each invalid value.
    pub fn compile(policy: VersionedPolicy) -> Result<Self, Vec<FieldError>> {
        policy.document.validate()?;
        Ok(Self::compile_valid(policy))
    }

    /// Returns the built-in policy, version 0.
    #[must_use]
    pub fn built_in() -> Self {
        Self::compile_valid(VersionedPolicy::built_in())
    }

    fn compile_valid(policy: VersionedPolicy) -> Self {
        let hash = policy.hash();
        let compressed = CompressedPolicy::compress(&policy).unwrap_or_default();
        let document = policy.document;
        let class_match = |name: &ClassName| {
            let position = document.class_position(name).unwrap_or_default();
            ClassMatch {
                class: ClassIndex(position),
                non_idempotent: document.classes[position].non_idempotent,
            }
        };
        let safe_method = class_match(&document.default_class);
        let unsafe_class = document.default_unsafe_class.as_ref();
        let defaults = DefaultClasses {
            safe_method,
            unsafe_method: unsafe_class.map_or(safe_method, class_match),
        };
        let routes = RouteTable::new(&document.routes, defaults, |route| {
            class_match(&route.class)
        });
        let ranks = (1..=u8::MAX).take(document.classes.len()).rev();
        let rules = document.classes.iter().zip(ranks);
        Self {
            version: policy.version,
            hash,
            compressed,
            rules: rules
                .map(|(class, rank)| ClassRule::new(class, rank))
                .collect(),
            routes,
            document,
        }
    }

    /// Returns the rule for a call; a query or fragment after the path is ignored.
    ///
    /// The first matching route determines the class. If servers may interpret the path or method
    /// in several ways, a non-idempotent class of any interpretation takes precedence; otherwise
    /// the least important class among the interpretations applies.
    #[must_use]
    pub fn classify(&self, service: &ServiceName, method: &str, path: &str) -> &ClassRule {
        let class = self.routes.classify(service, method, strip_query(path));
        &self.rules[class.0]
    }

    /// Whether any route applies to the service.
    #[must_use]
    pub fn has_routes_for(&self, service: &ServiceName) -> bool {
        self.routes.has_routes_for(service)
    }

    /// Number of services with a route to a non-idempotent class.
    #[must_use]
    pub fn count_non_idempotent_services(&self) -> usize {
        let is_non_idempotent =
            |name: &ClassName| self.rule(name).is_some_and(|rule| rule.non_idempotent);
        let routes = self.document.routes.iter();
        let services: HashSet<&ServiceName> = routes
            .filter(|route| is_non_idempotent(&route.class))
            .map(|route| &route.service)
            .collect();
        services.len()
    }

    /// Returns the rule of the class `name`.
    #[must_use]
    pub fn rule(&self, name: &ClassName) -> Option<&ClassRule> {
        self.rules.iter().find(|rule| rule.name == *name)
    }

    /// Returns the rules of all classes, the most important first.
    #[must_use]
    pub fn rules(&self) -> &[ClassRule] {
        &self.rules
    }

    /// Returns the compressed form that daemons exchange.
    #[must_use]
    pub const fn compressed(&self) -> &CompressedPolicy {
        &self.compressed
    }

    /// Returns a copy of the version and the document.
    #[must_use]
    pub fn to_versioned(&self) -> VersionedPolicy {
        VersionedPolicy {
            version: self.version,
            document: self.document.clone(),
        }
    }
}
