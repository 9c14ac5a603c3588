use {
    super::AccountLimit,
    rapidhash::v3::rapidhash_v3,
    std::{cmp::Reverse, net::SocketAddr},
};

/// Maximum number of owners of one account.
const MAX_OWNERS: u8 = 6;
/// Members that may be owners: all of a small fleet, and of a large one about as many as keep both
/// the connections of each member and the requests to each owner few.
const MIN_CANDIDATES: usize = 8;
/// Name by which the candidates are chosen.
const CANDIDATE_NAME: &str = "quota owners";

/// Number of members among which the limit of an account is divided.
///
/// With several owners, the loss of one leaves most of the limit. An account that may send few
/// requests has fewer, so that each part is at least one request.
#[must_use]
pub fn quota_owner_count(limit: &AccountLimit) -> usize {
    let smallest = limit.rate.min(limit.burst);
    let owners = 2..=MAX_OWNERS;
    1 + owners
        .filter(|owners| smallest >= f64::from(*owners))
        .count()
}

/// The members among which the owners of all accounts are chosen: a power of two, near the square root
/// of the number of members, so that it rarely changes with that number.
#[must_use]
pub fn quota_candidates(members: &[SocketAddr]) -> Vec<SocketAddr> {
    let mut count = MIN_CANDIDATES;
    while count * count < members.len() * 2 {
        count *= 2;
    }
    choose_quota_owners(CANDIDATE_NAME, count, members.iter().copied())
}

/// The members with the highest weights for the account, highest first (rendezvous hashing). A
/// change of the members moves as few accounts as possible.
#[must_use]
pub fn choose_quota_owners(
    account: &str,
    count: usize,
    members: impl Iterator<Item = SocketAddr>,
) -> Vec<SocketAddr> {
    let account_hash = rapidhash_v3(account.as_bytes());
    let weight = |member: SocketAddr| {
        let mut text = [0; 26];
        text[..8].copy_from_slice(&account_hash.to_le_bytes());
        match member.ip() {
            std::net::IpAddr::V4(ip) => text[8..12].copy_from_slice(&ip.octets()),
            std::net::IpAddr::V6(ip) => text[8..24].copy_from_slice(&ip.octets()),
        }
        text[24..].copy_from_slice(&member.port().to_le_bytes());
        rapidhash_v3(&text)
    };
    let mut weighted: Vec<_> = members.map(|member| (weight(member), member)).collect();
    weighted.sort_unstable_by_key(|entry| Reverse(*entry));
    weighted.truncate(count);
    weighted.into_iter().map(|(_, member)| member).collect()
}
