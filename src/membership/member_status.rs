use {
    super::{MemberId, MemberState},
    serde::{Deserialize, Serialize},
};

/// What is said of the liveness of one member, by others or in its own refutation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    pub id: MemberId,
    /// Incarnation that the state belongs to.
    pub incarnation: u64,
    pub state: MemberState,
}
