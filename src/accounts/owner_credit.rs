use {crate::time::TimePoint, std::net::SocketAddr};

/// One owner of an account, as an ingress sidecar knows it.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnerCredit {
    pub(super) address: SocketAddr,
    /// Time before which the owner is not asked: its part is used up, or it doesn't respond.
    pub(super) retry_at: TimePoint,
    /// Whether it is known that its part is used up until then.
    pub(super) is_exhausted: bool,
}
