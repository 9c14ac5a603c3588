use {
    crate::membership::{MemberRecord, MemberState},
    rapidhash::v3::rapidhash_v3,
    std::net::SocketAddr,
};

/// Maximum number of targets of one service that one sidecar calls; the limit keeps the number of
/// connections and load reports from growing with the fleet.
const SUBSET_SIZE: usize = 12;
/// Number of these targets that are preferably in the sidecar's own data centre; the others may be
/// anywhere, so that a data centre with many callers can use capacity elsewhere.
const LOCAL_SUBSET_SIZE: usize = 6;

/// Chooses the targets that the sidecar at `own_address` calls, all of one service.
///
/// Each sidecar orders the targets by a hash of its own address and theirs (rendezvous hashing), so
/// all targets get about the same number of callers, and adding or removing a target changes one
/// member of a subset. Suspect targets are chosen only if the subset is not full without them.
pub(crate) fn choose_subset<'a>(
    own_address: SocketAddr,
    data_centre: &str,
    mut targets: Vec<&'a MemberRecord>,
) -> Vec<&'a MemberRecord> {
    if targets.len() <= SUBSET_SIZE {
        return targets;
    }
    targets.sort_by_cached_key(|record| {
        let is_suspect = record.state == MemberState::Suspect;
        (
            is_suspect,
            rapidhash_v3(format!("{own_address}/{}", record.mesh).as_bytes()),
        )
    });
    let is_local = |record: &&MemberRecord| {
        record.state != MemberState::Suspect && *record.data_centre == *data_centre
    };
    let (local, remote): (Vec<_>, Vec<_>) = targets.into_iter().partition(is_local);
    let (preferred, remaining) = local.split_at(local.len().min(LOCAL_SUBSET_SIZE));
    let mut subset = preferred.to_vec();
    // Remote targets come before the remaining local ones, to take load off a data centre with many
    // callers.
    subset.extend(remote.into_iter().chain(remaining.iter().copied()));
    subset.truncate(SUBSET_SIZE);
    subset
}
