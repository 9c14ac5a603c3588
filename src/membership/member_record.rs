use {
    super::{MemberId, TargetAnnouncement},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
    strum::{Display, IntoStaticStr},
};

/// Liveness of a member; of equal incarnations the later state wins.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    Alive,
    Suspect,
    /// Serves what is in flight and takes no new work.
    Leaving,
    Dead,
}

/// What is known of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub id: MemberId,
    /// Grows with each change that the member itself makes.
    pub incarnation: u64,
    pub state: MemberState,
    pub region: Arc<str>,
    pub data_centre: Arc<str>,
    pub mesh: SocketAddr,
    pub admin: SocketAddr,
    /// The target beside the daemon, if one is announced.
    pub target: Option<TargetAnnouncement>,
    /// Version of the policy in force there.
    pub policy_version: u64,
}
