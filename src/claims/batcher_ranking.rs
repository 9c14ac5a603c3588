use {
    super::BatcherMember,
    crate::{context::ServiceName, membership::MemberId, time::TimePoint},
    rapidhash::v3::rapidhash_v3,
    std::{cmp::Reverse, collections::HashMap, time::Duration},
};

/// For each service, its live members in the order in which they are asked to commit claims.
///
/// Every daemon that knows the same members finds the same order (rendezvous hashing), and a
/// member that comes or goes changes no other place. Nothing depends on the daemons agreeing:
/// the table decides each claim whoever commits it.
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

    /// Members to ask, first choice first; those that failed within `rest` are left out.
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

    /// Passes the member over for a while.
    pub fn mark_unreachable(&mut self, id: MemberId, now: TimePoint) {
        self.failed_at.insert(id, now);
    }

    pub fn mark_reachable(&mut self, id: MemberId) {
        self.failed_at.remove(&id);
    }

    /// Whether `id` is the first choice of the service.
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
