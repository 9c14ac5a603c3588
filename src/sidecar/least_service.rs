/// Bounds of what each rank gets of an overloaded service, whatever higher ranks ask for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeastService {
    /// Share of its requests that a rank has served at least, relative to that of all requests.
    pub relative_share: f64,
    /// Share of the capacity of a service that lower ranks may take from higher ones for that.
    pub capacity_share: f64,
}

impl LeastService {
    /// Strict order of ranks: lower ranks get what higher ones leave.
    pub const NONE: Self = Self {
        relative_share: 0.0,
        capacity_share: 0.0,
    };
}

impl Default for LeastService {
    fn default() -> Self {
        Self {
            relative_share: 0.33,
            capacity_share: 0.2,
        }
    }
}
