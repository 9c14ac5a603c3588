use {
    crate::{
        error::{ProcessStep, StepError},
        net::bind,
        settings::ListenSettings,
    },
    std::net::SocketAddr,
    tokio::net::TcpListener,
};

/// The bound HTTP listeners of a daemon.
#[derive(Debug)]
pub(crate) struct DaemonSockets {
    pub(crate) ingress: TcpListener,
    pub(crate) local: TcpListener,
    pub(crate) mesh: TcpListener,
    pub(crate) admin: TcpListener,
}

impl DaemonSockets {
    pub(crate) async fn bind(listen: &ListenSettings) -> Result<Self, StepError> {
        Ok(Self {
            ingress: bind(listen.edge).await?,
            local: bind(listen.local).await?,
            mesh: bind(listen.mesh).await?,
            admin: bind(listen.admin).await?,
        })
    }

    /// Addresses of the listeners. The membership binds `gossip` itself.
    pub(crate) fn addresses(&self, gossip: SocketAddr) -> Result<ListenSettings, StepError> {
        Ok(ListenSettings {
            edge: address_of(&self.ingress)?,
            local: address_of(&self.local)?,
            mesh: address_of(&self.mesh)?,
            gossip,
            admin: address_of(&self.admin)?,
        })
    }
}

fn address_of(listener: &TcpListener) -> Result<SocketAddr, StepError> {
    listener
        .local_addr()
        .map_err(|error| StepError::new(ProcessStep::BindListener, "own listener", error))
}
