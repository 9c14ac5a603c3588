use {
    crate::context::{ClassName, ServiceName},
    serde::{Deserialize, Serialize},
};

const BUILT_IN_DEADLINE_MS: u64 = 10_000;

/// All that the operators of one deployment decide.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyDocument {
    /// Deployment that the document belongs to.
    pub deployment: String,
    /// Request classes, the most important first.
    pub classes: Vec<ClassPolicy>,
    /// The first route that matches a call names its class.
    pub routes: Vec<RoutePolicy>,
    /// Class of a call that no route matches.
    pub default_class: ClassName,
    /// Class of such a call if its method is not safe (RFC 9110, section 9.2.1); `default_class`
    /// if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default_unsafe_class: Option<ClassName>,
    pub retry: RetryPolicy,
    #[serde(default)]
    pub overload: OverloadPolicy,
}

impl PolicyDocument {
    /// The built-in policy: calls whose method is safe are read, all others are non-idempotent.
    #[must_use]
    pub fn built_in() -> Self {
        let class = |name: &'static str, non_idempotent| ClassPolicy {
            name: ClassName::known(name),
            weight: 1,
            deadline_ms: BUILT_IN_DEADLINE_MS,
            non_idempotent,
            key_window_s: default_key_window_s(),
        };
        let write = class("write", true);
        let read = class("read", false);
        Self {
            deployment: "initial".into(),
            default_class: read.name.clone(),
            default_unsafe_class: Some(write.name.clone()),
            classes: vec![write, read],
            routes: Vec::new(),
            retry: RetryPolicy {
                per_request: 3,
                ratio_percent: 10,
            },
            overload: OverloadPolicy::default(),
        }
    }

    /// Position of a class; the first is the most important.
    #[must_use]
    pub fn class_position(&self, name: &ClassName) -> Option<usize> {
        self.classes.iter().position(|class| class.name == *name)
    }
}

/// One request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassPolicy {
    pub name: ClassName,
    /// Share in the weighted goodput, 1 to 1000.
    pub weight: u32,
    /// Time for the whole answer, in ms.
    pub deadline_ms: u64,
    /// A second run would do harm.
    #[serde(default)]
    pub non_idempotent: bool,
    /// Time for which an idempotency key may be repeated, in s.
    #[serde(default = "default_key_window_s")]
    pub key_window_s: u64,
}

/// One rule that names the class of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePolicy {
    pub service: ServiceName,
    /// Any method if absent.
    #[serde(default)]
    pub method: Option<String>,
    /// Prefix of the path within the service.
    #[serde(default = "default_path")]
    pub path: String,
    pub class: ClassName,
}

/// Bounds on retries.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryPolicy {
    /// Retries of one user request across its whole chain.
    pub per_request: u32,
    /// Retries of a router to one service, in % of its first attempts.
    pub ratio_percent: u32,
}

/// Bounds of the admission queues.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadPolicy {
    /// Queue delay that counts as overload when it persists, in ms.
    pub queue_target_ms: u64,
    /// Time over which it must persist, in ms.
    pub queue_interval_ms: u64,
}

impl Default for OverloadPolicy {
    fn default() -> Self {
        Self {
            queue_target_ms: 20,
            queue_interval_ms: 100,
        }
    }
}

fn default_key_window_s() -> u64 {
    86_400
}

fn default_path() -> String {
    "/".into()
}
