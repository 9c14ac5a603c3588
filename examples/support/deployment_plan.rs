use {
    banyantrestle::{
        context::{ClassName, ServiceName},
        policy::{ClassPolicy, OverloadPolicy, PolicyDocument, RetryPolicy, RoutePolicy},
    },
    standins::{
        caller::{CallerClass, CallerSettings, RetryStrategy},
        client::CallPath,
        target::TargetSettings,
    },
    std::time::Duration,
};

const KEY_WINDOW_S: u64 = 3_600;

/// One service of a deployment in small.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    pub name: &'static str,
    pub targets: usize,
    pub slots: u32,
    pub connections: u32,
    pub service_ms: u64,
    /// Services that each of its calls goes on to.
    pub calls: &'static [&'static str],
}

/// One request class of a deployment.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    pub name: &'static str,
    pub weight: u32,
    pub is_keyed: bool,
    /// Share of all arrivals.
    pub share: f64,
}

/// A deployment in small: a chain of services, entered at the first, the last the narrowest.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    pub name: &'static str,
    pub data_centres: &'static [&'static str],
    pub services: Vec<ServicePlan>,
    /// The most important first.
    pub classes: Vec<ClassPlan>,
    /// Time for the whole answer to a request.
    pub deadline: Duration,
    /// Retries of one user request across its whole chain.
    pub retries: u32,
}

impl DeploymentPlan {
    /// A chain of three services, for a first look.
    pub fn demo() -> Self {
        let service = |name, slots, calls| ServicePlan {
            name,
            targets: 2,
            slots,
            connections: 400,
            service_ms: 20,
            calls,
        };
        Self {
            name: "demo",
            data_centres: &["akl-a", "akl-b"],
            services: vec![
                service("catalogue", 20, &["billing"]),
                service("billing", 20, &["depot"]),
                service("depot", 4, &[]),
            ],
            classes: vec![
                class("purchase", 100, true, 0.1),
                class("browse", 10, false, 0.6),
                class("download", 3, false, 0.3),
            ],
            deadline: Duration::from_secs(1),
            retries: 3,
        }
    }

    /// Kererū's services, with a quarter of the slots.
    pub fn kereru() -> Self {
        let service = |name, targets, slots, connections, calls| ServicePlan {
            name,
            targets,
            slots,
            connections,
            service_ms: 50,
            calls,
        };
        Self {
            name: "kereru",
            data_centres: &["akl-a", "akl-b", "ham-a", "wlg-a"],
            services: vec![
                service("catalogue", 5, 32, 860, &["billing"]),
                service("billing", 5, 32, 860, &["depot"]),
                service("depot", 4, 40, 1_050, &["workshop"]),
                service("workshop", 4, 5, 230, &[]),
            ],
            classes: vec![
                class("purchase", 100, true, 0.06),
                class("slot-change", 80, true, 0.04),
                class("browse", 10, false, 0.6),
                class("download", 3, false, 0.3),
            ],
            deadline: Duration::from_secs(2),
            retries: 3,
        }
    }

    /// The kiosks' services, with a quarter of the slots.
    pub fn kita() -> Self {
        // A call holds a slot of each service above the last for the time of all below it, so the
        // upper ones must be quick for the last to be the one that serves least.
        let service = |name, targets, slots, connections, service_ms, calls| ServicePlan {
            name,
            targets,
            slots,
            connections,
            service_ms,
            calls,
        };
        Self {
            name: "kita",
            data_centres: &["sapporo", "niseko", "hakodate", "asahikawa"],
            services: vec![
                service("reserve", 5, 14, 420, 20, &["keysmith"]),
                service("keysmith", 4, 14, 420, 20, &["guidebox"]),
                service("guidebox", 4, 14, 420, 20, &["roomboard"]),
                service("roomboard", 4, 5, 230, 50, &[]),
            ],
            classes: vec![
                class("encode-key", 100, true, 0.1),
                class("lookup", 50, false, 0.4),
                class("guide", 3, false, 0.5),
            ],
            deadline: Duration::from_secs(2),
            retries: 3,
        }
    }

    /// The last service of the chain, which serves least.
    pub fn bottleneck(&self) -> &ServicePlan {
        self.services.last().expect("a plan has services")
    }

    fn entry(&self) -> ServiceName {
        service_name(self.services[0].name)
    }

    /// Requests of all classes, `rate` a second in all.
    pub fn callers(&self, rate: f64, strategy: RetryStrategy, seed: u64) -> CallerSettings {
        let caller = |class: &ClassPlan| CallerClass {
            name: class.name.into(),
            service: self.entry(),
            path: CallPath::new(class.name),
            rate: rate * class.share,
            is_keyed: class.is_keyed,
            timeout: self.deadline,
        };
        CallerSettings {
            classes: self.classes.iter().map(caller).collect(),
            strategy,
            seed,
        }
    }

    /// The policy that names the classes by the first segment of the path.
    pub fn policy(&self) -> PolicyDocument {
        let class = |class: &ClassPlan| ClassPolicy {
            name: class_name(class.name),
            weight: class.weight,
            deadline_ms: u64::try_from(self.deadline.as_millis()).unwrap_or(u64::MAX),
            non_idempotent: class.is_keyed,
            key_window_s: KEY_WINDOW_S,
        };
        // A route counts for its service only, so each service of the chain needs its own.
        let routes = self.services.iter().flat_map(|service| {
            let service = service_name(service.name);
            self.classes.iter().map(move |class| RoutePolicy {
                service: service.clone(),
                method: None,
                path: format!("/{}", class.name),
                class: class_name(class.name),
            })
        });
        let last = self.classes.last().expect("a plan has classes");
        PolicyDocument {
            deployment: self.name.into(),
            classes: self.classes.iter().map(class).collect(),
            routes: routes.collect(),
            default_class: class_name(last.name),
            default_unsafe_class: None,
            retry: RetryPolicy {
                per_request: self.retries,
                ratio_percent: 20,
            },
            overload: OverloadPolicy::default(),
        }
    }
}

impl ServicePlan {
    pub fn settings(&self, deadline: Duration, seed: u64) -> TargetSettings {
        let mut settings = TargetSettings::new(&service_name(self.name));
        settings.slots = self.slots;
        settings.connections = self.connections;
        settings.mean_service_time = Duration::from_millis(self.service_ms);
        settings.called_services = self.calls.iter().map(|name| service_name(name)).collect();
        settings.call_timeout = deadline;
        settings.seed = seed;
        settings
    }
}

fn class(name: &'static str, weight: u32, is_keyed: bool, share: f64) -> ClassPlan {
    ClassPlan {
        name,
        weight,
        is_keyed,
        share,
    }
}

pub fn service_name(name: &str) -> ServiceName {
    ServiceName::new(name).expect("a valid name")
}

fn class_name(name: &str) -> ClassName {
    ClassName::new(name).expect("a valid name")
}
