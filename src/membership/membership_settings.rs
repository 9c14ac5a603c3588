use {
    super::{MemberId, MemberRecord, MemberState},
    crate::auth::SharedKey,
    std::net::SocketAddr,
};

/// What the member role of one process needs to know.
#[derive(Clone, Debug)]
pub struct MembershipSettings {
    /// The address of `id` is where others reach this process; port 0 takes the bound one.
    pub id: MemberId,
    pub region: String,
    pub data_centre: String,
    pub mesh: SocketAddr,
    pub admin: SocketAddr,
    /// Where to listen, UDP and TCP on one port.
    pub gossip: SocketAddr,
    /// Gossip addresses of daemons to join.
    pub peers: Vec<SocketAddr>,
    /// Key of the deployment.
    pub key: SharedKey,
}

impl MembershipSettings {
    /// The first record of a process that others reach at `address`.
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
