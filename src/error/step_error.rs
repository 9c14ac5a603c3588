use {
    std::{error::Error, fmt::Display},
    strum::{Display as StrumDisplay, IntoStaticStr},
    thiserror::Error as ThisError,
};

/// Step of a process at which an error occurred.
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
    SendGossip,
    ReceiveGossip,
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

/// An error with its step and its peer.
#[derive(Debug, ThisError)]
#[error("{step} with {peer}: {source}")]
pub struct StepError {
    pub step: ProcessStep,
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
