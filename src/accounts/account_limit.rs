/// Requests that an account may send through all sidecars together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountLimit {
    /// Requests per second.
    pub rate: f64,
    /// Requests that may come at once.
    pub burst: f64,
}
