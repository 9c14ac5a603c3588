use {
    super::mesh_client::post_message,
    crate::{
        auth::SharedKey,
        claims::{
            ClaimTransport, CommitReply, CommitRequest, HolderQuery, HolderReply, TransportError,
        },
        error::{ProcessStep, StepError},
        net::{CLAIMS_PATH, HOLDER_QUERY_PATH, MeshPool, POLICY_PATH},
        policy::{CompressedPolicy, PolicySource, VersionedPolicy},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Maximum wait for the policy of another daemon.
const POLICY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum wait for a batcher. The claim service tries the next batcher before this has passed.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a holder query fails, in addition to the time for which the holder may delay its
/// reply.
const HOLDER_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Request for the active policy of another daemon.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct PolicyRequest {}

/// Response to a [`PolicyRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PolicyResponse {
    pub(crate) policy: CompressedPolicy,
}

/// Sends messages to other daemons over the mesh.
#[derive(Clone, Debug)]
pub(crate) struct MeshTransport {
    mesh: Arc<MeshPool>,
    key: SharedKey,
}

impl MeshTransport {
    pub(crate) fn new(mesh: Arc<MeshPool>, key: SharedKey) -> Self {
        Self { mesh, key }
    }
}

impl PolicySource for MeshTransport {
    async fn fetch(&self, peer: SocketAddr) -> Result<VersionedPolicy, StepError> {
        let message = PolicyRequest {};
        let response: PolicyResponse = post_message(
            &self.mesh,
            &self.key,
            peer,
            POLICY_PATH,
            &message,
            POLICY_TIMEOUT,
        )
        .await?;
        response
            .policy
            .decompress()
            .map_err(|error| StepError::new(ProcessStep::LoadPolicy, peer, error))
    }
}

impl ClaimTransport for MeshTransport {
    async fn send_commit(
        &self,
        peer_mesh: SocketAddr,
        request: CommitRequest,
    ) -> Result<CommitReply, TransportError> {
        let (mesh, key) = (&self.mesh, &self.key);
        post_message(mesh, key, peer_mesh, CLAIMS_PATH, &request, COMMIT_TIMEOUT)
            .await
            .map_err(|error| TransportError::NoReply(error.to_string()))
    }

    async fn query_holder(
        &self,
        peer_mesh: SocketAddr,
        request: HolderQuery,
    ) -> Result<HolderReply, TransportError> {
        let (mesh, key) = (&self.mesh, &self.key);
        let timeout = Duration::from_millis(request.wait_ms) + HOLDER_TIMEOUT_MARGIN;
        post_message(mesh, key, peer_mesh, HOLDER_QUERY_PATH, &request, timeout)
            .await
            .map_err(|error| TransportError::NoReply(error.to_string()))
    }
}
