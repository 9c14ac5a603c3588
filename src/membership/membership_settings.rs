use {
    super::{MemberId, MemberRecord, MemberState},
    crate::auth::SharedKey,
    std::net::SocketAddr,
};

/// Settings of the membership protocol of one process.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// Identity of this process, with the address at which others reach it; port 0 is replaced with
    /// the bound port.
    pub id: MemberId,
    pub region: String,
    pub data_centre: String,
    pub mesh: SocketAddr,
    pub admin: SocketAddr,
    /// Address to bind, for UDP and TCP on one port.
    pub gossip: SocketAddr,
    /// Gossip addresses of daemons to join.
    pub peers: Vec<SocketAddr>,
    /// Shared key of the deployment.
    pub key: SharedKey,
}

impl MembershipSettings {
    /// Initial record of a process that others reach at `address`.
    pub(super) fn initial_record(&self, address: SocketAddr) -> MemberRecord {
        MemberRecord {
            id: MemberId {
                address,
                started_ms: self.id.started_ms,
            },
            incarnation: 1,
            state: MemberState::Alive,
            region: self.region.as_str().into(),
            data_centre: self.data_centre.as_str().into(),
            mesh: self.mesh,
            admin: self.admin,
            target: None,
            policy_version: 0,
        }
    }
}
