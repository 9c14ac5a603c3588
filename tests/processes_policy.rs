//! Daemons that run as processes keep the policy across restarts.

mod fleet;

use {
    banyantrestle::{
        policy::{POLICY_KEY, POLICY_TABLE},
        table::{HttpTable, TableStore, TableWrite, WriteCondition},
    },
    fleet::{ProcessFleet, WAIT_TIMEOUT, target_settings, test_policy},
    http::{Method, StatusCode},
    serde_json::{Value, json},
    standins::{
        client::TextRequest,
        deployment::ADMIN_TOKEN,
        platform::{DownMode, PlatformMode},
        process::{ProcessSignal, wait_until},
    },
    std::net::SocketAddr,
};

async fn submit_policy(admin: SocketAddr, base_version: u64) {
    let body = json!({"base_version": base_version, "document": test_policy()});
    let request = TextRequest {
        method: Method::POST,
        path: "/api/policy".into(),
        headers: vec![("authorization", format!("Bearer {ADMIN_TOKEN}"))],
        body: body.to_string(),
    };
    let response = request
        .send(admin)
        .await
        .expect("a response from the console");
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
}

async fn active_version(admin: SocketAddr) -> Option<u64> {
    let response = TextRequest::get("/api/policy").send(admin).await.ok()?;
    let view: Value = serde_json::from_str(&response.text).ok()?;
    view.get("version")?.as_u64()
}

async fn is_ready(admin: SocketAddr) -> bool {
    let response = TextRequest::get("/ready").send(admin).await;
    response.is_ok_and(|response| response.status == StatusCode::OK)
}

/// Starts three daemons and waits until policy version 2 is active at each.
async fn fleet_at_version_2() -> ProcessFleet {
    let mut fleet = ProcessFleet::new().await;
    for service in ["a", "b", "c"] {
        fleet.add_target(target_settings(service)).await;
    }
    submit_policy(fleet.daemons[0].listen.admin, 1).await;
    for daemon in &fleet.daemons {
        let admin = daemon.listen.admin;
        let is_active = wait_until(WAIT_TIMEOUT, || async {
            active_version(admin).await == Some(2)
        });
        assert!(is_active.await, "policy version 2 is not active at {admin}");
    }
    fleet
}

/// Kills a daemon and starts it again. Version 2 must be active once the daemon is ready.
async fn kill_and_restart(fleet: &mut ProcessFleet, index: usize) {
    let killed = &fleet.daemons[index].process;
    killed.signal(ProcessSignal::Kill).expect("the daemon runs");
    fleet.restart(index);
    let admin = fleet.daemons[index].listen.admin;
    let log = || fleet.daemons[index].process.log();
    let is_ready_again = wait_until(WAIT_TIMEOUT, || is_ready(admin));
    assert!(
        is_ready_again.await,
        "daemon {index} is not ready: {}",
        log()
    );
    assert_eq!(active_version(admin).await, Some(2), "{}", log());
}

#[tokio::test(flavor = "multi_thread")]
async fn policy_survives_rolling_restart_during_table_outage() {
    let mut fleet = fleet_at_version_2().await;
    fleet.platform.set_mode(PlatformMode {
        down: DownMode::Close,
        ..PlatformMode::uncapped()
    });
    for index in 0..3 {
        kill_and_restart(&mut fleet, index).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn restored_table_backup_does_not_revert_policy_and_is_repaired() {
    let mut fleet = fleet_at_version_2().await;
    let table = HttpTable::new(fleet.platform.address(), WAIT_TIMEOUT);
    let row = json!({"version": 1, "document": test_policy(), "recent_writes": []});
    let backup = TableWrite {
        table: POLICY_TABLE.into(),
        key: POLICY_KEY.into(),
        write_id: "backup".into(),
        value: Some(row.to_string()),
        condition: WriteCondition::Always,
    };
    table
        .transact(vec![backup])
        .await
        .expect("a successful table write");
    kill_and_restart(&mut fleet, 1).await;
    let is_repaired = wait_until(WAIT_TIMEOUT, || async {
        let rows = table.read(POLICY_TABLE, vec![POLICY_KEY.into()]).await;
        let row = rows.ok().and_then(|rows| rows.into_iter().next().flatten());
        let value = row.and_then(|row| serde_json::from_str::<Value>(&row.value).ok());
        value.is_some_and(|value| value["version"] == 2)
    });
    assert!(is_repaired.await, "the table still holds the backup");
    submit_policy(fleet.daemons[1].listen.admin, 2).await;
}
