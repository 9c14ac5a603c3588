use {
    super::{ClaimRow, ClaimRowResult, HolderQuery, HolderReply},
    crate::context::ServiceName,
    serde::{Deserialize, Serialize},
    std::{future::Future, net::SocketAddr},
    thiserror::Error,
};

/// Rows of one request to a batcher.
pub const MAX_REQUEST_ROWS: usize = 256;

/// Bytes of the largest message; a server reads no more.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// Rows that a guard sends to a batcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitRequest {
    pub service: ServiceName,
    pub rows: Vec<ClaimRow>,
}

/// Answer to a [`CommitRequest`], one result a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitReply {
    pub results: Vec<ClaimRowResult>,
}

/// Why another daemon gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TransportError {
    /// Nothing was sent.
    #[error("not reached: {0}")]
    Unreachable(String),
    #[error("no answer: {0}")]
    NoReply(String),
}

/// Requests to the claim services of other daemons, by their mesh addresses.
pub trait ClaimTransport: Clone + Send + Sync + 'static {
    /// Served there by `ClaimService::serve_commit`.
    ///
    /// # Errors
    /// The peer was not reached or did not answer.
    fn send_commit(
        &self,
        peer_mesh: SocketAddr,
        request: CommitRequest,
    ) -> impl Future<Output = Result<CommitReply, TransportError>> + Send;

    /// Served there by `ClaimService::serve_answer`.
    ///
    /// # Errors
    /// The peer was not reached or did not answer.
    fn query_holder(
        &self,
        peer_mesh: SocketAddr,
        request: HolderQuery,
    ) -> impl Future<Output = Result<HolderReply, TransportError>> + Send;
}
