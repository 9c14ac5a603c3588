use {
    super::BatcherMember,
    crate::{context::ServiceName, membership::MemberId, time::TimePoint},
    rapidhash::v3::rapidhash_v3,
    std::{cmp::Reverse, collections::HashMap, time::Duration},
};

/// Live members of each service, in the order in which they are tried as batchers.
///
/// Rendezvous hashing gives every daemon that knows the same members the same order, and a
/// member that joins or leaves does not move the others. Correctness does not depend on the
/// daemons agreeing, since the table decides each claim whichever daemon commits it.
#[derive(Clone, Debug, Default)]
pub struct BatcherRanking {
    rankings: HashMap<ServiceName, Vec<BatcherMember>>,
    failed_at: HashMap<MemberId, TimePoint>,
}

impl BatcherRanking {
    /// Replaces the live members of a service.
    pub fn set_members(&mut self, service: ServiceName, mut members: Vec<BatcherMember>) {
        members.sort_by_cached_key(|member| Reverse(weight(&service, member.id)));
        self.rankings.insert(service, members);
        let rankings = &self.rankings;
        self.failed_at
            .retain(|id, _| rankings.values().flatten().any(|member| member.id == *id));
    }

    /// Members to try, first choice first, without those that failed within `cooldown`.
    pub fn candidates(
        &self,
        service: &ServiceName,
        now: TimePoint,
        cooldown: Duration,
    ) -> impl Iterator<Item = &BatcherMember> {
        let members = self.rankings.get(service).map_or(&[][..], Vec::as_slice);
        members.iter().filter(move |member| {
            let failed_at = self.failed_at.get(&member.id);
            failed_at.is_none_or(|failed_at| now.since(*failed_at) >= cooldown)
        })
    }

    /// Skips the member as a candidate until its cooldown has passed.
    pub fn mark_unreachable(&mut self, id: MemberId, now: TimePoint) {
        self.failed_at.insert(id, now);
    }

    pub fn mark_reachable(&mut self, id: MemberId) {
        self.failed_at.remove(&id);
    }

    /// Whether `id` is the first choice for the service.
    #[must_use]
    pub fn is_first(&self, service: &ServiceName, id: MemberId) -> bool {
        let order = self.rankings.get(service);
        order.is_some_and(|members| members.first().is_some_and(|member| member.id == id))
    }

    /// Services whose members are known.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.rankings.keys()
    }
}

fn weight(service: &ServiceName, id: MemberId) -> u64 {
    rapidhash_v3(format!("{service}/{id}").as_bytes())
}
