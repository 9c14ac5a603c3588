use {
    banyantrestle::context::ServiceName,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, PoisonError, RwLock,
            atomic::{AtomicUsize, Ordering},
        },
    },
};

/// Where a stand-in sends its calls.
#[derive(Clone, Debug)]
pub enum CallRouter {
    /// To the listeners of these daemons in turn, as `/{service}/{rest}`.
    Daemons {
        addresses: Arc<Vec<SocketAddr>>,
        turn: Arc<AtomicUsize>,
    },
    /// Straight to the targets in turn, with retries at once.
    Direct(DirectRoutes),
}

impl CallRouter {
    #[must_use]
    pub fn daemons(addresses: Vec<SocketAddr>) -> Self {
        Self::Daemons {
            addresses: Arc::new(addresses),
            turn: Arc::default(),
        }
    }

    /// Sends of one call, the first included.
    #[must_use]
    pub fn tries(&self) -> u32 {
        match self {
            Self::Daemons { .. } => 1,
            Self::Direct(routes) => routes.tries,
        }
    }

    /// Address and path for the next send of a call.
    #[must_use]
    pub fn route(&self, service: &ServiceName, path: &str) -> Option<(SocketAddr, String)> {
        match self {
            Self::Daemons { addresses, turn } => {
                let address = in_turn(addresses, turn)?;
                Some((address, format!("/{service}{path}")))
            }
            Self::Direct(routes) => Some((routes.pick(service)?, path.into())),
        }
    }
}

/// Addresses of all targets, for calls without daemons.
#[derive(Clone, Debug)]
pub struct DirectRoutes {
    targets: Arc<RwLock<BTreeMap<ServiceName, Vec<SocketAddr>>>>,
    turn: Arc<AtomicUsize>,
    tries: u32,
}

impl DirectRoutes {
    /// `tries`: sends of one call at each hop, the first included.
    #[must_use]
    pub fn new(tries: u32) -> Self {
        Self {
            targets: Arc::default(),
            turn: Arc::default(),
            tries,
        }
    }

    pub fn add(&self, service: &ServiceName, address: SocketAddr) {
        let mut targets = self.targets.write().unwrap_or_else(PoisonError::into_inner);
        targets.entry(service.clone()).or_default().push(address);
    }

    fn pick(&self, service: &ServiceName) -> Option<SocketAddr> {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        in_turn(targets.get(service)?, &self.turn)
    }
}

fn in_turn(addresses: &[SocketAddr], turn: &AtomicUsize) -> Option<SocketAddr> {
    if addresses.is_empty() {
        return None;
    }
    let index = turn.fetch_add(1, Ordering::Relaxed) % addresses.len();
    addresses.get(index).copied()
}
