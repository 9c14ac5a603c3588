use {crate::membership::MemberId, std::net::SocketAddr};

/// Daemon that may commit the claims of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatcherMember {
    pub id: MemberId,
    pub mesh: SocketAddr,
}
