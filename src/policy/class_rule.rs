use {super::ClassPolicy, crate::context::ClassName, std::time::Duration};

/// What the policy says of a call of one class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassRule {
    pub name: ClassName,
    /// Grows with importance, from 1.
    pub rank: u8,
    /// Share in the weighted goodput.
    pub weight: u32,
    /// Time for the whole answer.
    pub deadline: Duration,
    /// A second run would do harm.
    pub non_idempotent: bool,
    /// Time for which an idempotency key may be repeated.
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
