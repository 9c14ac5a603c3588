use {
    super::{ConsoleState, DaemonReadiness, LoadView, page_layout::render_page},
    crate::membership::{MemberRecord, MemberState},
    maud::{Markup, html},
    std::collections::BTreeMap,
};

/// Maximum number of rows in the member table.
const MAX_SHOWN_MEMBERS: usize = 2_000;

/// Renders the members, the policy versions in force and the load of the local target.
pub(super) fn render_overview<S: ConsoleState>(state: &S) -> Markup {
    let members = state.members();
    let policy = state.policy();
    let content = html! {
        p { "Daemon " (state.local_member()) ", " (readiness_text(&state.readiness())) "." }
        h2 { "Policy" }
        p { "Version " (policy.version) " is in force here, hash " code { (policy.hash) } "." }
        (version_table(&members))
        h2 { "Load of the local target" }
        (load_table(&state.load()))
        h2 { "Members" }
        (member_table(&members))
    };
    render_page("banyantrestle", &content)
}

fn readiness_text(readiness: &DaemonReadiness) -> String {
    match readiness {
        DaemonReadiness::Ready => "ready".into(),
        DaemonReadiness::NotReady { reason } => format!("not ready: {reason}"),
    }
}

fn version_table(members: &[MemberRecord]) -> Markup {
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    let present = members
        .iter()
        .filter(|member| member.state != MemberState::Dead);
    for member in present {
        *counts.entry(member.policy_version).or_default() += 1;
    }
    html! {
        table {
            tr { th { "Version" } th { "Daemons that enforce it" } }
            @for (version, count) in counts.iter().rev() {
                tr { td { (version) } td { (count) } }
            }
        }
    }
}

fn load_table(loads: &[LoadView]) -> Markup {
    html! {
        table {
            tr {
                th { "Service" } th { "Target" } th { "Running" } th { "Limit" } th { "Queued" }
                th { "Lowest class rank admitted" }
            }
            @for load in loads {
                tr {
                    td { (load.service) } td { (load.target) } td { (load.running) }
                    td { (load.limit) } td { (load.queued) } td { (load.threshold.rank()) }
                }
            }
        }
    }
}

fn member_table(members: &[MemberRecord]) -> Markup {
    html! {
        p { (members.len()) " members." }
        table {
            tr {
                th { "Daemon" } th { "State" } th { "Region" } th { "Data centre" }
                th { "Service" } th { "Target" } th { "Policy" }
            }
            @for member in members.iter().take(MAX_SHOWN_MEMBERS) {
                tr {
                    td { (member.id.address) } td { (member.state) } td { (member.region) }
                    td { (member.data_centre) }
                    @if let Some(target) = &member.target {
                        td { (target.service) } td { (target.address) " " (target.state) }
                    } @else {
                        td {} td {}
                    }
                    td { (member.policy_version) }
                }
            }
        }
    }
}
