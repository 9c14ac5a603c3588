use {
    super::{MemberRecord, MemberState},
    crate::context::ServiceName,
    std::{net::SocketAddr, sync::Arc},
};

/// Snapshot of all members that are not dead.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    /// Sorted by gossip address.
    pub members: Vec<Arc<MemberRecord>>,
}

impl MemberView {
    /// Creates a view of `records` without the dead members.
    pub fn new(records: impl Iterator<Item = Arc<MemberRecord>>) -> Self {
        let mut members: Vec<_> = records
            .filter(|record| record.state != MemberState::Dead)
            .collect();
        members.sort_unstable_by_key(|record| record.id.address);
        Self { members }
    }

    #[must_use]
    pub fn find(&self, gossip: SocketAddr) -> Option<&Arc<MemberRecord>> {
        let found = self
            .members
            .binary_search_by_key(&gossip, |record| record.id.address);
        found.ok().map(|index| &self.members[index])
    }

    #[must_use]
    pub fn find_by_mesh(&self, mesh: SocketAddr) -> Option<&Arc<MemberRecord>> {
        self.members.iter().find(|record| record.mesh == mesh)
    }

    /// Members in any state whose target belongs to `service`.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Arc<MemberRecord>> {
        self.members.iter().filter(move |record| {
            let target = record.target.as_ref();
            target.is_some_and(|target| target.service == *service)
        })
    }

    /// Members of `service` that may be sent new calls.
    pub fn serving(&self, service: &ServiceName) -> impl Iterator<Item = &Arc<MemberRecord>> {
        self.of_service(service)
            .filter(|record| record.accepts_new_calls())
    }

    #[must_use]
    pub fn count(&self, state: MemberState) -> usize {
        let members = self.members.iter();
        members.filter(|record| record.state == state).count()
    }

    /// Lowest and highest of the policy versions last known to be in force at the members.
    #[must_use]
    pub fn policy_version_range(&self) -> Option<(u64, u64)> {
        let versions = || self.members.iter().map(|record| record.policy_version);
        Some((versions().min()?, versions().max()?))
    }
}
