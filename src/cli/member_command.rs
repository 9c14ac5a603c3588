//! Command `members`: prints the members that a daemon knows.

use {
    super::{CliError, CliOutput, admin_client::AdminClient, command_flags::Members},
    crate::membership::MemberRecord,
    std::io::Write,
};

const TITLES: [&str; 7] = [
    "DAEMON",
    "STATE",
    "REGION",
    "DATA-CENTRE",
    "SERVICE",
    "TARGET",
    "POLICY",
];

pub(super) async fn run<O, E>(flags: &Members, output: &mut CliOutput<O, E>) -> Result<(), CliError>
where
    O: Write,
    E: Write,
{
    let client = AdminClient::new(flags.address);
    let members: Vec<MemberRecord> = client.get_json("/api/members").await?;
    if flags.json {
        output.print_json(&members);
        return Ok(());
    }
    let titles = TITLES.map(String::from).to_vec();
    let rows = std::iter::once(titles).chain(members.iter().map(row));
    output.print_table(&rows.collect::<Vec<_>>());
    Ok(())
}

fn row(member: &MemberRecord) -> Vec<String> {
    let target = member.target.as_ref();
    let service = target.map(|target| target.service.to_string());
    let address = target.map(|target| format!("{} {}", target.address, target.state));
    vec![
        member.id.address.to_string(),
        member.state.to_string(),
        member.region.to_string(),
        member.data_centre.to_string(),
        service.unwrap_or_else(|| "-".into()),
        address.unwrap_or_else(|| "-".into()),
        member.policy_version.to_string(),
    ]
}
