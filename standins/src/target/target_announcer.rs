use {
    super::TargetSettings,
    banyantrestle::membership::{TargetAnnouncement, TargetState},
    bytes::Bytes,
    http::{Method, Request},
    http_body_util::{BodyExt, Full},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::{
        sync::watch,
        time::{interval, timeout},
    },
};

const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends the announcements of a target to its daemon.
pub struct TargetAnnouncer {
    http: Client<HttpConnector, Full<Bytes>>,
    daemon: SocketAddr,
    announcement: TargetAnnouncement,
    state: watch::Receiver<TargetState>,
}

impl TargetAnnouncer {
    /// `address` is the address that the announcements state for the target.
    pub fn new(
        settings: &TargetSettings,
        daemon: SocketAddr,
        address: SocketAddr,
        state: watch::Receiver<TargetState>,
    ) -> Self {
        let announcement = TargetAnnouncement {
            service: settings.service.clone(),
            address,
            slots: settings.slots,
            connections: settings.connections,
            state: TargetState::Serving,
            health_path: Some("/health".into()),
            load_path: Some("/load".into()),
        };
        Self {
            http: Client::builder(TokioExecutor::new()).build_http(),
            daemon,
            announcement,
            state,
        }
    }

    /// Announces the target periodically and at each state change, until the target is dropped.
    pub async fn run(mut self) {
        let mut ticker = interval(ANNOUNCE_INTERVAL);
        loop {
            tokio::select! {
                _ = ticker.tick() => {}
                changed = self.state.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
            self.state.mark_unchanged();
            self.announce().await;
        }
    }

    /// Announces the target once, with its current state.
    pub async fn announce(&self) {
        let announcement = TargetAnnouncement {
            state: *self.state.borrow(),
            ..self.announcement.clone()
        };
        let body = serde_json::to_vec(&announcement).unwrap_or_default();
        self.send(Method::POST, body).await;
    }

    /// Sends the daemon a request to remove the target.
    pub async fn withdraw(&self) {
        self.send(Method::DELETE, Vec::new()).await;
    }

    async fn send(&self, method: Method, body: Vec<u8>) {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}/announce", self.daemon))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)));
        let Ok(request) = request else {
            return;
        };
        let exchange = async {
            let response = self.http.request(request).await.ok()?;
            response.into_body().collect().await.ok()
        };
        // A daemon that cannot be reached receives the next announcement.
        let _ = timeout(ANNOUNCE_TIMEOUT, exchange).await;
    }
}
