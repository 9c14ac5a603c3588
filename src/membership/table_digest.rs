use {
    super::{MemberId, MemberState},
    rapidhash::v3::rapidhash_v3,
    serde::{Deserialize, Serialize},
    std::net::{IpAddr, SocketAddr},
};

/// Number of buckets of a digest.
pub const DIGEST_BUCKETS: usize = 64;

/// Digest of a member table: for each bucket of addresses, the sum of the fingerprints of all
/// members that are not dead.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest {
    buckets: Vec<u64>,
}

impl TableDigest {
    #[must_use]
    pub fn new() -> Self {
        Self {
            buckets: vec![0; DIGEST_BUCKETS],
        }
    }

    /// Index of the bucket of an address.
    #[must_use]
    pub fn bucket_of(address: SocketAddr) -> usize {
        let mut bytes = [0; 18];
        let octets = match address.ip() {
            IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
            IpAddr::V6(ip) => ip.octets(),
        };
        bytes[..16].copy_from_slice(&octets);
        bytes[16..].copy_from_slice(&address.port().to_le_bytes());
        usize::from(rapidhash_v3(&bytes).to_le_bytes()[0]) % DIGEST_BUCKETS
    }

    pub fn add(&mut self, address: SocketAddr, fingerprint: u64) {
        let bucket = &mut self.buckets[Self::bucket_of(address)];
        *bucket = bucket.wrapping_add(fingerprint);
    }

    pub fn remove(&mut self, address: SocketAddr, fingerprint: u64) {
        let bucket = &mut self.buckets[Self::bucket_of(address)];
        *bucket = bucket.wrapping_sub(fingerprint);
    }

    /// Bit `i` is set where bucket `i` differs; `None` if `other` has a different number of
    /// buckets.
    #[must_use]
    pub fn differing_buckets(&self, other: &Self) -> Option<u64> {
        if other.buckets.len() != DIGEST_BUCKETS {
            return None;
        }
        let pairs = self.buckets.iter().zip(&other.buckets).enumerate();
        let differing = pairs.filter(|(_, (own, other))| own != other);
        Some(differing.fold(0, |bits, (bucket, _)| bits | 1 << bucket))
    }
}

impl Default for TableDigest {
    fn default() -> Self {
        Self::new()
    }
}

/// The fields that decide which of two records of a member is newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct MemberSummary {
    pub id: MemberId,
    pub incarnation: u64,
    pub state: MemberState,
    pub fingerprint: u64,
}
