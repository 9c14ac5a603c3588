use {
    super::mesh_client::post_message,
    crate::{
        auth::SharedKey,
        error::{ProcessStep, StepError},
        net::{MeshPool, POLICY_PATH},
        policy::{PolicySource, VersionedPolicy},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// Longest wait for the policy of another daemon.
const POLICY_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks another daemon for the policy in force there.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct PolicyRequest {}

/// The policy in force, as JSON: the document has fields that may be absent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PolicyAnswer {
    pub(crate) json: String,
}

/// Messages to other daemons over the mesh.
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
        let answer: PolicyAnswer = post_message(
            &self.mesh,
            &self.key,
            peer,
            POLICY_PATH,
            &message,
            POLICY_TIMEOUT,
        )
        .await?;
        serde_json::from_str(&answer.json)
            .map_err(|error| StepError::new(ProcessStep::LoadPolicy, peer, error))
    }
}
