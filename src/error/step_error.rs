use {
    std::{error::Error, fmt::Display},
    strum::{Display as StrumDisplay, IntoStaticStr},
    thiserror::Error as ThisError,
};

/// Step of a process that can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, StrumDisplay, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ProcessStep {
    ReadSettings,
    BindListener,
    ServeEdge,
    ServeLocal,
    ServeMesh,
    ServeAdmin,
    CallAdmin,
    CallTarget,
    CallMesh,
    ExchangeSuspects,
    RequestCredits,
    RequestProof,
    RequestSentCalls,
    SendGossip,
    ReceiveGossip,
    /// Anti-entropy exchange of member records over TCP.
    BulkTransfer,
    ReadTable,
    WriteTable,
    ReadStore,
    CommitClaim,
    CommitPolicy,
    LoadPolicy,
    #[strum(serialize = "ask-permit")]
    RequestPermit,
    Shutdown,
}

/// Error of one step.
#[derive(Debug, ThisError)]
#[error("{step} with {peer}: {source}")]
pub struct StepError {
    pub step: ProcessStep,
    /// Address or name of the peer, file or table involved.
    pub peer: String,
    #[source]
    pub source: Box<dyn Error + Send + Sync>,
}

impl StepError {
    pub fn new<P, E>(step: ProcessStep, peer: P, source: E) -> Self
    where
        P: Display,
        E: Into<Box<dyn Error + Send + Sync>>,
    {
        Self {
            step,
            peer: peer.to_string(),
            source: source.into(),
        }
    }
}
