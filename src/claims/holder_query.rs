use {
    super::{ClaimKey, RecordedResponse, UnknownCause, WriteId},
    crate::membership::MemberId,
    serde::{Deserialize, Serialize},
};

/// Query to the holder of a claim about the result of the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderQuery {
    pub key: ClaimKey,
    pub write_id: WriteId,
    /// Process that made the claim. A later process at the same address does not know the call.
    pub holder: MemberId,
    /// Time for which the holder may wait for the end of the call, in ms.
    pub wait_ms: u64,
}

/// Reply of the holder of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderReply {
    Completed(RecordedResponse),
    /// The call is still being claimed or run.
    Running,
    /// The claim was abandoned before dispatch and will never be dispatched.
    Abandoned,
    /// The holder does not know the call, or the call ended without a complete response.
    Unknown(UnknownCause),
}
