use {
    super::DropReason,
    strum::{EnumCount, VariantArray},
};

/// Counts since the start of the membership protocol.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GossipCounters {
    pub datagrams_in: u64,
    pub datagrams_out: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    /// Datagrams that the socket failed to send.
    pub send_errors: u64,
    /// Probes that this member sent, without those on behalf of others.
    pub probes: u64,
    pub probe_failures: u64,
    pub suspicions: u64,
    pub refutations: u64,
    /// Exchanges that succeeded.
    pub exchanges: u64,
    pub exchange_failures: u64,
    /// Bytes of exchanges over TCP, sent and received.
    pub exchange_bytes: u64,
    dropped: [u64; DropReason::COUNT],
}

impl GossipCounters {
    pub fn count_drop(&mut self, reason: DropReason) {
        self.dropped[reason as usize] += 1;
    }

    #[must_use]
    pub const fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped[reason as usize]
    }

    /// Dropped datagrams by reason.
    pub fn drops(&self) -> impl Iterator<Item = (DropReason, u64)> {
        let reasons = DropReason::VARIANTS.iter();
        reasons.map(|&reason| (reason, self.dropped(reason)))
    }
}
