use {
    super::{ClaimRow, ClaimRowResult, HolderQuery, HolderReply},
    crate::context::ServiceName,
    serde::{Deserialize, Serialize},
    std::{future::Future, net::SocketAddr},
    thiserror::Error,
};

/// Maximum number of rows in one request to a batcher.
pub const MAX_REQUEST_ROWS: usize = 256;

/// Maximum size of a message that a server reads, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// Rows that a guard sends to a batcher.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitRequest {
    pub service: ServiceName,
    pub rows: Vec<ClaimRow>,
}

/// Reply to a [`CommitRequest`], with one result per row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitReply {
    pub results: Vec<ClaimRowResult>,
}

/// Error of a request to another daemon that got no reply.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TransportError {
    /// The peer was not reached and nothing was sent.
    #[error("peer was not reached: {0}")]
    Unreachable(String),
    #[error("no reply from the peer: {0}")]
    NoReply(String),
}

/// Client of the claim services of other daemons, which are addressed by their mesh addresses.
pub trait ClaimTransport: Clone + Send + Sync + 'static {
    /// Sends rows to the peer's `ClaimService::serve_commit`.
    ///
    /// # Errors
    /// The peer was not reached or did not reply.
    fn send_commit(
        &self,
        peer_mesh: SocketAddr,
        request: CommitRequest,
    ) -> impl Future<Output = Result<CommitReply, TransportError>> + Send;

    /// Sends a query to the peer's `ClaimService::serve_query`.
    ///
    /// # Errors
    /// The peer was not reached or did not reply.
    fn query_holder(
        &self,
        peer_mesh: SocketAddr,
        request: HolderQuery,
    ) -> impl Future<Output = Result<HolderReply, TransportError>> + Send;
}
