/// The parts of a request by which its repetitions are recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestView<'a> {
    pub method: &'a str,
    /// Host without the port.
    pub host: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Service of the target that makes the request, or client account.
    pub caller: &'a str,
    /// The body in any division into parts.
    pub body: &'a [&'a [u8]],
}
