use {
    super::{MemberId, MemberState},
    serde::{Deserialize, Serialize},
};

/// Liveness of one member, as reported by other members or in a refutation by the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub id: MemberId,
    /// Incarnation to which the state applies.
    pub incarnation: u64,
    pub state: MemberState,
}
