use {
    super::{ActivePolicy, CompressedPolicy, PolicyDocument},
    std::collections::VecDeque,
};

/// Maximum number of versions kept; a conflict lists the changes since one of them.
const MAX_HISTORY_VERSIONS: usize = 16;

/// The latest versions enforced by this daemon, compressed.
#[derive(Clone, Debug, Default)]
pub(super) struct VersionHistory(VecDeque<HistoryEntry>);

#[derive(Clone, Debug)]
struct HistoryEntry {
    version: u64,
    compressed: CompressedPolicy,
}

impl VersionHistory {
    pub(super) fn push_policy(&mut self, policy: &ActivePolicy) {
        if self.0.len() == MAX_HISTORY_VERSIONS {
            self.0.pop_front();
        }
        self.0.push_back(HistoryEntry {
            version: policy.version,
            compressed: policy.compressed().clone(),
        });
    }

    pub(super) fn document(&self, version: u64) -> Option<PolicyDocument> {
        let entry = self.0.iter().find(|entry| entry.version == version)?;
        Some(entry.compressed.decompress().ok()?.document)
    }
}
