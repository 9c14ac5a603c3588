use {
    crate::context::{ClassName, ServiceName},
    serde::{Deserialize, Serialize},
};

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
    pub retry: RetryPolicy,
    #[serde(default)]
    pub overload: OverloadPolicy,
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
