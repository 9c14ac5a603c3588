use {super::ClassPolicy, crate::context::ClassName, std::time::Duration};

/// Rules for the calls of one class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassRule {
    pub name: ClassName,
    /// From 1 for the least important class; a higher rank is more important.
    pub rank: u8,
    /// Weight of one call in the weighted goodput.
    pub weight: u32,
    /// Time until the response must be complete.
    pub deadline: Duration,
    /// Whether executing a call twice would be harmful.
    pub non_idempotent: bool,
    /// Time for which a retry may reuse an idempotency key.
    pub key_window: Duration,
}

impl ClassRule {
    pub(super) fn new(class: &ClassPolicy, rank: u8) -> Self {
        Self {
            name: class.name.clone(),
            rank,
            weight: class.weight,
            deadline: Duration::from_millis(class.deadline_ms),
            non_idempotent: class.non_idempotent,
            key_window: Duration::from_secs(class.key_window_s),
        }
    }
}
