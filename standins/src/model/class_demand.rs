use std::time::Duration;

/// Demand of one request class.
#[derive(Clone, Copy, Debug)]
pub struct ClassDemand {
    pub name: &'static str,
    /// Higher matters more.
    pub rank: u8,
    /// Share in the weighted goodput.
    pub weight: u32,
    /// Share of the target's capacity that the class asks for at demand 1.
    pub capacity_share: f64,
    /// Mean service time of a target without pressure.
    pub work: Duration,
    pub deadline: Duration,
    /// Hops that a call has behind it.
    pub depth: u8,
}
