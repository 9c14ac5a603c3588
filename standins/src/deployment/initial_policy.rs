use {
    banyantrestle::{
        policy::{POLICY_KEY, POLICY_TABLE, PolicyDocument},
        table::{HttpTable, TableStore, TableWrite, WriteCondition},
    },
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
};

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Writes a policy to the table as version 1, for daemons that start afterwards.
///
/// # Errors
/// The table service refuses the write or does not respond.
pub async fn write_initial_policy(
    platform: SocketAddr,
    policy: &PolicyDocument,
) -> anyhow::Result<()> {
    let table = HttpTable::new(platform, PLATFORM_TIMEOUT);
    let row = json!({"version": 1, "document": policy, "recent_writes": []});
    let write = TableWrite {
        table: POLICY_TABLE.into(),
        key: POLICY_KEY.into(),
        write_id: "first".into(),
        value: Some(row.to_string()),
        condition: WriteCondition::Absent,
    };
    table.transact(vec![write]).await?;
    Ok(())
}
