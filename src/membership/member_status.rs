use {
    super::{MemberId, MemberState},
    serde::{Deserialize, Serialize},
};

/// What another member says of the liveness of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub id: MemberId,
    /// Incarnation that the state was observed of.
    pub incarnation: u64,
    pub state: MemberState,
}
