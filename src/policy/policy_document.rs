use {
    crate::context::{ClassName, ServiceName},
    serde::{Deserialize, Serialize},
};

const BUILT_IN_DEADLINE_MS: u64 = 10_000;

/// Everything that the operators of one deployment configure through the policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicyDocument {
    /// Name of the deployment that the document belongs to.
    pub deployment: String,
    /// Request classes, the most important first.
    pub classes: Vec<ClassPolicy>,
    /// The first route that matches a call determines its class.
    pub routes: Vec<RoutePolicy>,
    /// Class of a call that no route matches.
    pub default_class: ClassName,
    /// Class of a call that no route matches and whose method is not safe (RFC 9110, section
    /// 9.2.1); `default_class` if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default_unsafe_class: Option<ClassName>,
    pub retry: RetryPolicy,
    #[serde(default)]
    pub overload: OverloadPolicy,
}

impl PolicyDocument {
    /// Returns the built-in policy: calls with a safe method are in class `read`, all others in the
    /// non-idempotent class `write`.
    #[must_use]
    pub fn built_in() -> Self {
        let class = |name: &'static str, non_idempotent| ClassPolicy {
            name: ClassName::from_static(name),
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

    /// Returns the position of a class; the first class is the most important.
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
    /// Weight of one call in the weighted goodput, 1 to 1000.
    pub weight: u32,
    /// Time until the response must be complete, in ms.
    pub deadline_ms: u64,
    /// Whether executing a call twice would be harmful.
    #[serde(default)]
    pub non_idempotent: bool,
    /// Time for which a retry may reuse an idempotency key, in s.
    #[serde(default = "default_key_window_s")]
    pub key_window_s: u64,
}

/// Assigns a class to the calls of a service by method and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePolicy {
    pub service: ServiceName,
    /// Matches any method if absent.
    #[serde(default)]
    pub method: Option<String>,
    /// Prefix of the path within the service.
    #[serde(default = "default_path")]
    pub path: String,
    pub class: ClassName,
}

/// Limits on retries.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryPolicy {
    /// Maximum number of retries of all calls of one request together.
    pub per_request: u32,
    /// Maximum number of retries of one daemon to one service, in percent of its first attempts.
    pub ratio_percent: u32,
}

/// Limits of the admission queues.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverloadPolicy {
    /// Queue delay that indicates overload if it persists, in ms.
    pub queue_target_ms: u64,
    /// Time for which the delay must persist to indicate overload, in ms.
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
