use {
    super::{MemberEntry, MemberRecord, MemberState, MemberTable},
    crate::time::TimePoint,
    std::time::Duration,
};

/// Suspicion timeout of a deployment of up to ten members; it grows with the logarithm of the size.
pub const BASE_SUSPICION_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum time for which suspects are kept while their data centre may be partitioned.
pub const PARTITION_TIMEOUT: Duration = Duration::from_secs(600);
/// Minimum number of members of a data centre for it to count as partitioned.
pub const MIN_PARTITION_MEMBERS: u32 = 3;

/// Decides when a suspect has failed.
#[derive(Clone, Copy, Debug)]
pub struct SuspicionRule {
    timeout: Duration,
}

impl SuspicionRule {
    #[must_use]
    pub fn new(members: usize) -> Self {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let factor = f64::from(members).log10().max(1.0);
        Self {
            timeout: BASE_SUSPICION_TIMEOUT.mul_f64(factor),
        }
    }

    #[must_use]
    pub const fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Whether a suspect did not refute its suspicion within the timeout.
    #[must_use]
    pub fn is_expired(&self, entry: &MemberEntry, now: TimePoint) -> bool {
        let is_suspect = entry.record.state == MemberState::Suspect;
        is_suspect && now.since(entry.state_changed_at) >= self.timeout
    }

    /// Check that distinguishes a partitioned data centre from members that failed one by one.
    #[must_use]
    pub fn partition_check(&self, table: &MemberTable, own: &MemberRecord) -> PartitionCheck {
        PartitionCheck::new(table, own)
    }
}

#[derive(Clone, Copy, Debug)]
struct DataCentreLiveness {
    members: u32,
    suspects: u32,
    last_datagram_at: TimePoint,
}

/// Liveness of all data centres, to detect those that may be partitioned.
#[derive(Clone, Debug)]
pub struct PartitionCheck {
    data_centres: Vec<DataCentreLiveness>,
}

impl PartitionCheck {
    fn new(table: &MemberTable, own: &MemberRecord) -> Self {
        let data_centres = table
            .data_centres()
            .iter()
            .map(|data_centre| DataCentreLiveness {
                members: 0,
                suspects: 0,
                last_datagram_at: data_centre.last_datagram_at,
            });
        let mut data_centres: Vec<_> = data_centres.collect();
        for (_, entry) in table.iter() {
            let record = &entry.record;
            if entry.is_dead() || record.id.address == own.id.address {
                continue;
            }
            let data_centre = &mut data_centres[entry.data_centre_key.index()];
            data_centre.members += 1;
            data_centre.suspects += u32::from(record.state == MemberState::Suspect);
        }
        Self { data_centres }
    }

    /// Whether a suspect is kept because its data centre may be partitioned: since the suspicion no
    /// datagram arrived from any member of the data centre, or most of these members are suspects.
    #[must_use]
    pub fn keeps_suspect(&self, entry: &MemberEntry, now: TimePoint) -> bool {
        let DataCentreLiveness {
            members,
            suspects,
            last_datagram_at,
        } = self.data_centres[entry.data_centre_key.index()];
        let is_unreachable = last_datagram_at <= entry.state_changed_at || suspects * 2 > members;
        let is_within_timeout = now.since(entry.state_changed_at) < PARTITION_TIMEOUT;
        members >= MIN_PARTITION_MEMBERS && is_unreachable && is_within_timeout
    }
}
