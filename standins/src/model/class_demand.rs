use std::time::Duration;

/// Demand of one request class.
#[derive(Clone, Copy, Debug)]
pub struct ClassDemand {
    pub name: &'static str,
    /// Rank of the class; a higher rank has priority.
    pub rank: u8,
    /// Weight of a call in the weighted goodput.
    pub weight: u32,
    /// Share of the target's capacity that the class needs at demand 1.
    pub capacity_share: f64,
    /// Mean service time on an unloaded target.
    pub work: Duration,
    /// Time limit of each attempt.
    pub deadline: Duration,
    /// Hops that a call has passed before it reaches the target.
    pub depth: u8,
}
