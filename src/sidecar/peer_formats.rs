use {
    super::HopFormat,
    crate::time::TimePoint,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// Time for which a peer is known to read the older format only; it may be replaced meanwhile.
const OLDER_FORMAT_TIME: Duration = Duration::from_secs(10);
/// Time between two tries of the older format with a peer that refuses both.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of peers whose format is kept.
const MAX_PEERS: usize = 4_096;

/// Formats of the context header that peers of older builds read.
///
/// A build that can't read a context refuses the call without running it, with the same failure as
/// for a target that is not there. So a call without an account is sent once more in the older
/// format.
#[derive(Debug, Default)]
pub(crate) struct PeerFormats {
    peers: Mutex<HashMap<SocketAddr, KnownFormat>>,
}

#[derive(Clone, Copy, Debug)]
struct KnownFormat {
    format: HopFormat,
    until: TimePoint,
}

impl PeerFormats {
    /// Format to begin with.
    pub(crate) fn format(&self, now: TimePoint, peer: SocketAddr) -> HopFormat {
        match self.known(now, peer) {
            Some(HopFormat::WithoutAccount) => HopFormat::WithoutAccount,
            _ => HopFormat::WithAccount,
        }
    }

    /// Whether a call that was refused in the newest format is sent in the older one.
    pub(crate) fn may_try_older(&self, now: TimePoint, peer: SocketAddr) -> bool {
        self.known(now, peer).is_none()
    }

    /// Records whether the peer has read a call in the older format.
    pub(crate) fn record_older(&self, now: TimePoint, peer: SocketAddr, is_read: bool) {
        let known = if is_read {
            KnownFormat {
                format: HopFormat::WithoutAccount,
                until: now + OLDER_FORMAT_TIME,
            }
        } else {
            KnownFormat {
                format: HopFormat::WithAccount,
                until: now + RETRY_INTERVAL,
            }
        };
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if peers.len() >= MAX_PEERS {
            peers.retain(|_, known| known.until > now);
        }
        if peers.len() < MAX_PEERS || peers.contains_key(&peer) {
            peers.insert(peer, known);
        }
    }

    fn known(&self, now: TimePoint, peer: SocketAddr) -> Option<HopFormat> {
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let known = peers.get(&peer).filter(|known| known.until > now);
        known.map(|known| known.format)
    }
}
