use {
    super::{
        RoutePolicy,
        path_variants::{PathVariants, is_canonical},
    },
    crate::context::ServiceName,
    std::collections::{BTreeMap, HashMap},
};

/// Position of a class in its policy; position 0 is the most important.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ClassIndex(pub usize);

/// Class that a route or the default assigns to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ClassMatch {
    pub class: ClassIndex,
    pub non_idempotent: bool,
}

/// Classes of calls that no route matches.
#[derive(Clone, Copy, Debug)]
pub(super) struct DefaultClasses {
    pub safe_method: ClassMatch,
    pub unsafe_method: ClassMatch,
}

/// Routes of one policy in one vector, in which the routes of a service are contiguous.
#[derive(Clone, Debug)]
pub(super) struct RouteTable {
    routes: Vec<CompiledRoute>,
    services: HashMap<ServiceName, RouteRange>,
    default_classes: DefaultClasses,
}

#[derive(Clone, Copy, Debug)]
struct RouteRange {
    start: usize,
    end: usize,
}

#[derive(Clone, Debug)]
struct CompiledRoute {
    method: Option<String>,
    path: String,
    lowercase_path: String,
    class_match: ClassMatch,
}

/// Properties of a call that are compared with a route.
#[derive(Clone, Copy, Debug)]
struct RouteLookup<'a> {
    method: &'a str,
    path: &'a str,
    ignores_case: bool,
}

impl RouteTable {
    pub(super) fn new(
        routes: &[RoutePolicy],
        default_classes: DefaultClasses,
        class_of: impl Fn(&RoutePolicy) -> ClassMatch,
    ) -> Self {
        let mut routes_by_service: BTreeMap<&ServiceName, Vec<&RoutePolicy>> = BTreeMap::new();
        for route in routes {
            routes_by_service
                .entry(&route.service)
                .or_default()
                .push(route);
        }
        let mut table = Self {
            routes: Vec::with_capacity(routes.len()),
            services: HashMap::new(),
            default_classes,
        };
        for (service, routes) in routes_by_service {
            let start = table.routes.len();
            let service_routes = routes
                .into_iter()
                .map(|route| CompiledRoute::new(route, class_of(route)));
            table.routes.extend(service_routes);
            let end = table.routes.len();
            let range = RouteRange { start, end };
            table.services.insert(service.clone(), range);
        }
        table
    }

    /// Returns the class of a call; `path` must not contain a query.
    pub(super) fn classify(&self, service: &ServiceName, method: &str, path: &str) -> ClassIndex {
        let service_routes = self.routes_of(service);
        let exact_lookup = RouteLookup {
            method,
            path,
            ignores_case: false,
        };
        let is_uppercase_method = method.bytes().all(|byte| byte.is_ascii_uppercase());
        if is_uppercase_method && is_canonical(path) {
            self.first_match(service_routes, exact_lookup).class
        } else {
            self.match_ambiguous_call(service_routes, exact_lookup)
                .class
        }
    }

    pub(super) fn has_routes_for(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    fn routes_of(&self, service: &ServiceName) -> &[CompiledRoute] {
        self.services
            .get(service)
            .map_or(&[], |range| &self.routes[range.start..range.end])
    }

    fn first_match(&self, service_routes: &[CompiledRoute], lookup: RouteLookup<'_>) -> ClassMatch {
        let route = service_routes.iter().find(|route| route.is_match(lookup));
        route.map_or_else(
            || self.default_match(lookup.method),
            |route| route.class_match,
        )
    }

    fn default_match(&self, method: &str) -> ClassMatch {
        if matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE") {
            self.default_classes.safe_method
        } else {
            self.default_classes.unsafe_method
        }
    }

    /// Classifies a call whose path or method servers may interpret in several ways.
    ///
    /// A non-idempotent class of any interpretation takes precedence. Otherwise the least important
    /// class applies, so that an unusual spelling cannot raise the priority of a call.
    fn match_ambiguous_call(
        &self,
        service_routes: &[CompiledRoute],
        exact_lookup: RouteLookup<'_>,
    ) -> ClassMatch {
        let exact_match = self.first_match(service_routes, exact_lookup);
        let case_insensitive_lookup = RouteLookup {
            ignores_case: true,
            ..exact_lookup
        };
        let Some(variants) = PathVariants::parse(exact_lookup.path) else {
            let is_non_idempotent = |route: &&CompiledRoute| {
                route.class_match.non_idempotent && route.matches_method(case_insensitive_lookup)
            };
            let non_idempotent_match = service_routes.iter().find(is_non_idempotent);
            return non_idempotent_match.map_or(exact_match, |route| route.class_match);
        };
        let match_path = |path| {
            self.first_match(
                service_routes,
                RouteLookup {
                    path,
                    ..case_insensitive_lookup
                },
            )
        };
        let candidates = [
            exact_match,
            match_path(&variants.decoded),
            match_path(&variants.resolved),
        ];
        let non_idempotent_match = candidates
            .iter()
            .find(|class_match| class_match.non_idempotent);
        let least_important = candidates
            .iter()
            .max_by_key(|class_match| class_match.class);
        *non_idempotent_match
            .or(least_important)
            .unwrap_or(&exact_match)
    }
}

impl CompiledRoute {
    fn new(route: &RoutePolicy, class_match: ClassMatch) -> Self {
        let path = route.path.trim_end_matches('/');
        Self {
            method: route.method.clone(),
            path: path.into(),
            lowercase_path: path.to_lowercase(),
            class_match,
        }
    }

    fn is_match(&self, lookup: RouteLookup<'_>) -> bool {
        self.matches_method(lookup) && self.matches_path(lookup)
    }

    fn matches_method(&self, lookup: RouteLookup<'_>) -> bool {
        self.method.as_ref().is_none_or(|method| {
            method == lookup.method
                || lookup.ignores_case && method.eq_ignore_ascii_case(lookup.method)
        })
    }

    /// A prefix matches whole segments only.
    fn matches_path(&self, lookup: RouteLookup<'_>) -> bool {
        let prefix = if lookup.ignores_case {
            &self.lowercase_path
        } else {
            &self.path
        };
        lookup
            .path
            .strip_prefix(prefix.as_str())
            .is_some_and(|remainder| remainder.is_empty() || remainder.starts_with('/'))
    }
}
