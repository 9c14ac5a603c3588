use {
    super::{ClaimKey, RecordedResponse, UnknownCause, WriteId},
    crate::membership::MemberId,
    serde::{Deserialize, Serialize},
};

/// Question to the holder of a claim: what became of the call?
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderQuery {
    pub key: ClaimKey,
    pub write_id: WriteId,
    /// Process that claimed; a later process on its address knows nothing of the call.
    pub holder: MemberId,
    /// Time that the holder may wait for the end of the call, in ms.
    pub wait_ms: u64,
}

/// What the holder of a claim says of the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderReply {
    Completed(RecordedResponse),
    /// The call still runs.
    Running,
    /// The claim was given up before dispatch and will never be dispatched.
    Abandoned,
    /// The holder cannot tell, or the call ended without a whole answer.
    Unknown(UnknownCause),
}
