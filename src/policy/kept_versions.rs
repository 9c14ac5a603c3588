use {
    super::{ActivePolicy, PolicyDocument, PolicyPack},
    std::collections::VecDeque,
};

/// Versions that are kept to tell what changed.
const KEPT_VERSIONS: usize = 16;

/// The latest versions that were in force here, packed.
#[derive(Clone, Debug, Default)]
pub(super) struct KeptVersions(VecDeque<KeptVersion>);

#[derive(Clone, Debug)]
struct KeptVersion {
    version: u64,
    pack: PolicyPack,
}

impl KeptVersions {
    pub(super) fn keep(&mut self, policy: &ActivePolicy) {
        if self.0.len() == KEPT_VERSIONS {
            self.0.pop_front();
        }
        self.0.push_back(KeptVersion {
            version: policy.version,
            pack: policy.pack().clone(),
        });
    }

    pub(super) fn find(&self, version: u64) -> Option<PolicyDocument> {
        let kept = self.0.iter().find(|kept| kept.version == version)?;
        Some(kept.pack.open().ok()?.document)
    }
}
