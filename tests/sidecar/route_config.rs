use {
    banyantrestle::{
        context::ServiceName,
        sidecar::{CallerLimits, RouteConfig, RouteRetrySafety, RouteRule, WeightedService},
    },
    std::time::Duration,
};

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("a valid name")
}

fn rule(name: &str, host: &str, prefix: &str, split: &[(&str, u32)]) -> RouteRule {
    let weighted = |(name, weight): &(&str, u32)| WeightedService {
        service: service(name),
        weight: *weight,
    };
    RouteRule {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        safety: RouteRetrySafety::Idempotent,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(300),
        max_attempts: 2,
        rank: 1,
        is_public: false,
        traffic_split: split.iter().map(weighted).collect(),
    }
}

fn config() -> RouteConfig {
    let rules = [
        rule("root", "one.example", "/", &[("a", 1)]),
        rule("books", "one.example", "/books/", &[("a", 1)]),
        rule("old", "one.example", "/books/old/", &[("a", 1)]),
        rule("other", "two.example", "/books/", &[("a", 1)]),
    ];
    RouteConfig::new(7, CallerLimits::default(), rules)
}

#[test]
fn longest_prefix_of_the_host_is_chosen() {
    let config = config();
    let cases = [
        ("one.example", "/books/old/1", Some("old")),
        ("one.example", "/books/older/1", Some("books")),
        ("one.example", "/books", Some("root")),
        ("one.example", "/books/", Some("books")),
        ("ONE.example:8080", "/books/2", Some("books")),
        ("two.example", "/books/2", Some("other")),
        ("two.example", "/else/2", None),
        ("three.example", "/books/2", None),
        ("one.example", "no-slash", None),
    ];
    for (host, path, expected) in cases {
        let found = config.find(host, path).map(|rule| rule.name.as_str());
        assert_eq!(found, expected, "{host} {path}");
    }
}

#[test]
fn traffic_split_follows_the_weights() {
    let rule = rule("split", "one.example", "/", &[("a", 90), ("b", 10)]);
    let cases = [
        (0.0, "a"),
        (0.89, "a"),
        (0.91, "b"),
        (0.999, "b"),
        (1.0, "b"),
    ];
    for (position, expected) in cases {
        let found = rule.choose_service(position).map(ServiceName::as_str);
        assert_eq!(found, Some(expected), "{position}");
    }
}
