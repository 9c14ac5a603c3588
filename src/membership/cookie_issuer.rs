use {
    super::MemberId,
    crate::{auth::SharedKey, time::TimePoint},
    rand::{Rng, RngExt},
    std::time::Duration,
};

/// Period after which new cookies differ; a cookie is valid in its epoch and the next one.
const COOKIE_EPOCH: Duration = Duration::from_secs(30);
const COOKIE_PURPOSE: &str = "gossip cookie";

/// Issues and verifies the cookies of challenges without storing them.
///
/// A cookie is bound to one process and valid for one to two epochs, so that an old introduction
/// can't be replayed.
#[derive(Clone, Debug)]
pub struct CookieIssuer {
    key: SharedKey,
    secret: u64,
}

impl CookieIssuer {
    pub fn new<R: Rng>(key: SharedKey, rng: &mut R) -> Self {
        Self {
            key,
            secret: rng.random(),
        }
    }

    #[must_use]
    pub fn issue(&self, process: MemberId, now: TimePoint) -> u64 {
        self.cookie_at(process, epoch_of(now))
    }

    #[must_use]
    pub fn is_valid(&self, cookie: u64, process: MemberId, now: TimePoint) -> bool {
        let epoch = epoch_of(now);
        let epochs = [epoch, epoch.saturating_sub(1)];
        epochs
            .iter()
            .any(|&epoch| self.cookie_at(process, epoch) == cookie)
    }

    fn cookie_at(&self, process: MemberId, epoch: u64) -> u64 {
        let content = (self.secret, process, epoch);
        let bytes = postcard::to_extend(&content, Vec::with_capacity(64)).unwrap_or_default();
        let tag = self.key.tag(COOKIE_PURPOSE, &bytes);
        let mut prefix = [0; 8];
        prefix.copy_from_slice(&tag[..8]);
        u64::from_le_bytes(prefix)
    }
}

fn epoch_of(now: TimePoint) -> u64 {
    now.as_micros() / u64::try_from(COOKIE_EPOCH.as_micros()).unwrap_or(u64::MAX)
}
