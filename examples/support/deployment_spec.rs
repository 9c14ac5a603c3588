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

/// Time for which a retry may reuse an idempotency key.
const KEY_WINDOW_S: u64 = 3_600;

/// One service of a scaled-down deployment.
#[derive(Clone, Debug)]
pub struct ServiceSpec {
    pub name: &'static str,
    pub targets: usize,
    /// Calls that a target runs at the same time.
    pub slots: u32,
    /// Connections that a target accepts.
    pub connections: u32,
    /// Mean service time of a call.
    pub mean_service_ms: u64,
    /// Services that the service calls for each of its own calls.
    pub called_services: &'static [&'static str],
}

/// One request class of a deployment.
#[derive(Clone, Debug)]
pub struct ClassSpec {
    pub name: &'static str,
    pub weight: u32,
    /// Whether requests carry an idempotency key.
    pub is_keyed: bool,
    /// Share of all arrivals, from 0 to 1.
    pub share: f64,
}

/// A scaled-down deployment: a chain of services. Requests enter at the first service; the last has
/// the lowest capacity.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    pub name: &'static str,
    pub data_centres: &'static [&'static str],
    pub services: Vec<ServiceSpec>,
    /// In order of importance, the most important class first.
    pub classes: Vec<ClassSpec>,
    /// Time for the complete response to a request.
    pub deadline: Duration,
    /// Retries that one user request may cause across its whole call chain.
    pub retries: u32,
}

impl DeploymentSpec {
    /// A chain of three services with small capacities.
    pub fn demo() -> Self {
        let service = |name, slots, called_services| ServiceSpec {
            name,
            targets: 2,
            slots,
            connections: 400,
            mean_service_ms: 20,
            called_services,
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
                class_spec("purchase", 100, true, 0.1),
                class_spec("browse", 10, false, 0.6),
                class_spec("download", 3, false, 0.3),
            ],
            deadline: Duration::from_secs(1),
            retries: 3,
        }
    }

    /// The services of the Kererū deployment, with a quarter of their slots.
    pub fn kereru() -> Self {
        let service = |name, targets, slots, connections, called_services| ServiceSpec {
            name,
            targets,
            slots,
            connections,
            mean_service_ms: 50,
            called_services,
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
                class_spec("purchase", 100, true, 0.06),
                class_spec("slot-change", 80, true, 0.04),
                class_spec("browse", 10, false, 0.6),
                class_spec("download", 3, false, 0.3),
            ],
            deadline: Duration::from_secs(2),
            retries: 3,
        }
    }

    /// The services of the Kita deployment, which serves kiosks, with a quarter of their slots.
    pub fn kita() -> Self {
        // A call holds a slot of each service until all services further down the chain have
        // responded. The upper services need short service times so that the last service has the
        // lowest capacity.
        let service =
            |name, targets, slots, connections, mean_service_ms, called_services| ServiceSpec {
                name,
                targets,
                slots,
                connections,
                mean_service_ms,
                called_services,
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
                class_spec("encode-key", 100, true, 0.1),
                class_spec("lookup", 50, false, 0.4),
                class_spec("guide", 3, false, 0.5),
            ],
            deadline: Duration::from_secs(2),
            retries: 3,
        }
    }

    /// The last service of the chain, which has the lowest capacity.
    pub fn bottleneck(&self) -> &ServiceSpec {
        self.services
            .last()
            .expect("a deployment has at least one service")
    }

    fn entry_service(&self) -> ServiceName {
        service_name(self.services[0].name)
    }

    /// Settings for callers of all classes, which send `rate` requests per second in total.
    pub fn caller_settings(&self, rate: f64, strategy: RetryStrategy, seed: u64) -> CallerSettings {
        let caller = |class: &ClassSpec| CallerClass {
            name: class.name.into(),
            service: self.entry_service(),
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

    /// Policy that assigns requests to the class named by the first segment of their path.
    pub fn policy(&self) -> PolicyDocument {
        let class = |class: &ClassSpec| ClassPolicy {
            name: class_name(class.name),
            weight: class.weight,
            deadline_ms: u64::try_from(self.deadline.as_millis()).unwrap_or(u64::MAX),
            non_idempotent: class.is_keyed,
            key_window_s: KEY_WINDOW_S,
        };
        // A route applies to one service only, so each service of the chain has its own routes.
        let routes = self.services.iter().flat_map(|service| {
            let service = service_name(service.name);
            self.classes.iter().map(move |class| RoutePolicy {
                service: service.clone(),
                method: None,
                path: format!("/{}", class.name),
                class: class_name(class.name),
            })
        });
        let last = self
            .classes
            .last()
            .expect("a deployment has at least one class");
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

impl ServiceSpec {
    pub fn target_settings(&self, deadline: Duration, seed: u64) -> TargetSettings {
        let mut settings = TargetSettings::new(&service_name(self.name));
        settings.slots = self.slots;
        settings.connections = self.connections;
        settings.mean_service_time = Duration::from_millis(self.mean_service_ms);
        settings.called_services = self
            .called_services
            .iter()
            .map(|name| service_name(name))
            .collect();
        settings.call_timeout = deadline;
        settings.seed = seed;
        settings
    }
}

fn class_spec(name: &'static str, weight: u32, is_keyed: bool, share: f64) -> ClassSpec {
    ClassSpec {
        name,
        weight,
        is_keyed,
        share,
    }
}

pub fn service_name(name: &str) -> ServiceName {
    ServiceName::new(name).expect("the service names of the examples are valid")
}

fn class_name(name: &str) -> ClassName {
    ClassName::new(name).expect("the class names of the examples are valid")
}
