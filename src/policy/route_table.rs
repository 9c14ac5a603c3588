use {
    super::{
        RoutePolicy,
        path_form::{PathReadings, is_plain},
    },
    crate::context::ServiceName,
    std::collections::{BTreeMap, HashMap},
};

/// Position of a class in its policy; the first class is the most important.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct ClassIndex(pub usize);

/// What a route, or the lack of one, says of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RouteVerdict {
    pub class: ClassIndex,
    pub non_idempotent: bool,
}

/// Verdicts on calls that no route matches.
#[derive(Clone, Copy, Debug)]
pub(super) struct DefaultVerdicts {
    pub safe_method: RouteVerdict,
    pub unsafe_method: RouteVerdict,
}

/// Routes of one policy in one flat vector, those of a service side by side.
#[derive(Clone, Debug)]
pub(super) struct RouteTable {
    routes: Vec<RouteRule>,
    services: HashMap<ServiceName, RouteSpan>,
    defaults: DefaultVerdicts,
}

#[derive(Clone, Copy, Debug)]
struct RouteSpan {
    start: usize,
    end: usize,
}

#[derive(Clone, Debug)]
struct RouteRule {
    method: Option<String>,
    path: String,
    folded_path: String,
    verdict: RouteVerdict,
}

/// A call as routes look at it.
#[derive(Clone, Copy, Debug)]
struct RouteQuery<'a> {
    method: &'a str,
    path: &'a str,
    is_folded: bool,
}

impl RouteTable {
    pub(super) fn new(
        routes: &[RoutePolicy],
        defaults: DefaultVerdicts,
        verdict_of: impl Fn(&RoutePolicy) -> RouteVerdict,
    ) -> Self {
        let mut grouped: BTreeMap<&ServiceName, Vec<&RoutePolicy>> = BTreeMap::new();
        for route in routes {
            grouped.entry(&route.service).or_default().push(route);
        }
        let mut table = Self {
            routes: Vec::with_capacity(routes.len()),
            services: HashMap::new(),
            defaults,
        };
        for (service, routes) in grouped {
            let start = table.routes.len();
            let rules = routes
                .into_iter()
                .map(|route| RouteRule::new(route, verdict_of(route)));
            table.routes.extend(rules);
            let end = table.routes.len();
            let span = RouteSpan { start, end };
            table.services.insert(service.clone(), span);
        }
        table
    }

    /// Class of a call; the path has no query.
    pub(super) fn find(&self, service: &ServiceName, method: &str, path: &str) -> ClassIndex {
        let rules = self.rules_of(service);
        let literal = RouteQuery {
            method,
            path,
            is_folded: false,
        };
        let is_plain_method = method.bytes().all(|byte| byte.is_ascii_uppercase());
        if is_plain_method && is_plain(path) {
            self.first_match(rules, literal).class
        } else {
            self.strictest(rules, literal).class
        }
    }

    pub(super) fn is_named(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    fn rules_of(&self, service: &ServiceName) -> &[RouteRule] {
        self.services
            .get(service)
            .map_or(&[], |span| &self.routes[span.start..span.end])
    }

    fn first_match(&self, rules: &[RouteRule], query: RouteQuery<'_>) -> RouteVerdict {
        let rule = rules.iter().find(|rule| rule.is_match(query));
        rule.map_or_else(|| self.default_verdict(query.method), |rule| rule.verdict)
    }

    fn default_verdict(&self, method: &str) -> RouteVerdict {
        if matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE") {
            self.defaults.safe_method
        } else {
            self.defaults.unsafe_method
        }
    }

    /// Class of a call whose path or method servers may read in several ways.
    ///
    /// A reading that finds a non-idempotent class wins; otherwise the least important class does,
    /// so that a spelling gains no priority.
    fn strictest(&self, rules: &[RouteRule], literal: RouteQuery<'_>) -> RouteVerdict {
        let plain = self.first_match(rules, literal);
        let folded = RouteQuery {
            is_folded: true,
            ..literal
        };
        let Some(readings) = PathReadings::of(literal.path) else {
            let is_hazard =
                |rule: &&RouteRule| rule.verdict.non_idempotent && rule.is_method(folded);
            let hazard = rules.iter().find(is_hazard);
            return hazard.map_or(plain, |rule| rule.verdict);
        };
        let read = |path| self.first_match(rules, RouteQuery { path, ..folded });
        let found = [plain, read(&readings.decoded), read(&readings.resolved)];
        let hazard = found.iter().find(|verdict| verdict.non_idempotent);
        let lowest = found.iter().max_by_key(|verdict| verdict.class);
        *hazard.or(lowest).unwrap_or(&plain)
    }
}

impl RouteRule {
    fn new(route: &RoutePolicy, verdict: RouteVerdict) -> Self {
        let path = route.path.trim_end_matches('/');
        Self {
            method: route.method.clone(),
            path: path.into(),
            folded_path: path.to_lowercase(),
            verdict,
        }
    }

    fn is_match(&self, query: RouteQuery<'_>) -> bool {
        self.is_method(query) && self.is_path(query)
    }

    fn is_method(&self, query: RouteQuery<'_>) -> bool {
        self.method.as_ref().is_none_or(|method| {
            method == query.method || query.is_folded && method.eq_ignore_ascii_case(query.method)
        })
    }

    /// A prefix matches up to the end of a segment only.
    fn is_path(&self, query: RouteQuery<'_>) -> bool {
        let prefix = if query.is_folded {
            &self.folded_path
        } else {
            &self.path
        };
        query
            .path
            .strip_prefix(prefix.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}
