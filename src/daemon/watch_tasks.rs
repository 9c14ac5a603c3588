use {
    super::{daemon_phase::DaemonPhase, daemon_state::DaemonState, member_changes::MemberChanges},
    crate::policy::PolicyHash,
    std::{collections::HashSet, sync::Arc},
};

/// Applies each change of the membership to the tables of the daemon.
pub(crate) async fn follow_members(state: Arc<DaemonState>) {
    let mut views = state.membership.view();
    let mut changes = MemberChanges::default();
    loop {
        let view = views.borrow_and_update().clone();
        for event in changes.apply_view(&view) {
            state.events.record(event);
        }
        let now = state.clock.now();
        let records = view.members.iter().map(AsRef::as_ref);
        state.target_table().update(now, records);
        state.refresh_batchers();
        let mesh_addresses: HashSet<_> = view.members.iter().map(|record| record.mesh).collect();
        state.mesh.retain(|peer| mesh_addresses.contains(peer));
        let count = u32::try_from(view.members.len()).unwrap_or(u32::MAX);
        state.policies.set_member_count(count.max(1)).await;
        let others = view
            .members
            .iter()
            .filter(|record| record.id != state.member);
        let peers = others.map(|record| record.mesh).collect();
        state.policies.set_peers(peers).await;
        if views.changed().await.is_err() {
            return;
        }
    }
}

/// Passes the number of daemons that the member table lists to the policy service.
pub(crate) async fn follow_member_table(state: Arc<DaemonState>) {
    let mut listed = state.membership.listed_members();
    while listed.changed().await.is_ok() {
        let count = *listed.borrow_and_update();
        state
            .policies
            .set_listed_members(count.unwrap_or_default())
            .await;
    }
}

/// Applies each policy that becomes active and publishes its version to the other members.
pub(crate) async fn follow_policy(state: Arc<DaemonState>) {
    let mut ready = state.policies.ready();
    let mut policies = state.policies.current();
    loop {
        let policy = policies.borrow_and_update().clone();
        let hash = policy.hash.as_u64();
        state
            .membership
            .set_policy_in_force(policy.version, hash)
            .await;
        let service_count = policy.count_non_idempotent_services();
        state.claims.divide_commit_rate(service_count).await;
        if let Some(target) = state.target.get() {
            let overload = policy.document.overload;
            target.guard.adjust(|guard, _| guard.set_policy(&overload));
        }
        if *ready.borrow_and_update() {
            enter_serving(&state);
        }
        tokio::select! {
            changed = policies.changed() => if changed.is_err() { return },
            changed = ready.changed() => if changed.is_err() { return },
        }
    }
}

/// Passes the policy versions of other members to the policy service.
pub(crate) async fn follow_advertised_policy(state: Arc<DaemonState>) {
    let mut advertised = state.membership.highest_policy();
    while advertised.changed().await.is_ok() {
        let highest = *advertised.borrow_and_update();
        let hash = PolicyHash::from_u64(highest.hash);
        state
            .policies
            .record_peer_version(highest.version, hash, highest.holder)
            .await;
    }
}

fn enter_serving(state: &DaemonState) {
    state.phase.send_if_modified(|phase| {
        let is_starting = *phase == DaemonPhase::Starting;
        if is_starting {
            *phase = DaemonPhase::Serving;
        }
        is_starting
    });
}
