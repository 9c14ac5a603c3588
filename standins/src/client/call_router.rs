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

/// Selects the address for each attempt of a stand-in's calls.
#[derive(Clone, Debug)]
pub enum CallRouter {
    /// Sends to listeners of daemons in turn, with paths of the form `/{service}/{rest}`.
    Daemons {
        addresses: Arc<Vec<SocketAddr>>,
        next_index: Arc<AtomicUsize>,
    },
    /// Sends to the targets in turn, without daemons, and retries immediately.
    Direct(DirectRoutes),
}

impl CallRouter {
    #[must_use]
    pub fn daemons(addresses: Vec<SocketAddr>) -> Self {
        Self::Daemons {
            addresses: Arc::new(addresses),
            next_index: Arc::default(),
        }
    }

    /// Maximum number of attempts of one call, including the first.
    #[must_use]
    pub fn max_attempts(&self) -> u32 {
        match self {
            Self::Daemons { .. } => 1,
            Self::Direct(routes) => routes.max_attempts,
        }
    }

    /// Returns the address and path for the next attempt of a call.
    #[must_use]
    pub fn route(&self, service: &ServiceName, path: &str) -> Option<(SocketAddr, String)> {
        match self {
            Self::Daemons {
                addresses,
                next_index,
            } => {
                let address = next_address(addresses, next_index)?;
                Some((address, format!("/{service}{path}")))
            }
            Self::Direct(routes) => Some((routes.next_target(service)?, path.into())),
        }
    }
}

/// Addresses of all targets, for calls without daemons.
#[derive(Clone, Debug)]
pub struct DirectRoutes {
    targets: Arc<RwLock<BTreeMap<ServiceName, Vec<SocketAddr>>>>,
    next_index: Arc<AtomicUsize>,
    max_attempts: u32,
}

impl DirectRoutes {
    /// `max_attempts` is the maximum number of attempts of one call at each hop, including the
    /// first.
    #[must_use]
    pub fn new(max_attempts: u32) -> Self {
        Self {
            targets: Arc::default(),
            next_index: Arc::default(),
            max_attempts,
        }
    }

    pub fn add(&self, service: &ServiceName, address: SocketAddr) {
        let mut targets = self.targets.write().unwrap_or_else(PoisonError::into_inner);
        targets.entry(service.clone()).or_default().push(address);
    }

    fn next_target(&self, service: &ServiceName) -> Option<SocketAddr> {
        let targets = self.targets.read().unwrap_or_else(PoisonError::into_inner);
        next_address(targets.get(service)?, &self.next_index)
    }
}

fn next_address(addresses: &[SocketAddr], next_index: &AtomicUsize) -> Option<SocketAddr> {
    if addresses.is_empty() {
        return None;
    }
    let index = next_index.fetch_add(1, Ordering::Relaxed) % addresses.len();
    addresses.get(index).copied()
}
