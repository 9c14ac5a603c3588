//! The table service client against the platform stand-in, in each of its fault modes.

use {
    banyantrestle::table::{
        HttpTable, TableError, TableStore, TableWrite, WriteCondition, WriteResult,
    },
    standins::platform::{DownMode, HangPoint, PlatformMode, PlatformStandin},
    std::{net::SocketAddr, time::Duration},
    tokio::net::TcpListener,
};

/// Timeout of requests that must succeed.
const SUCCESS_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of requests that must fail.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(200);

fn ephemeral_address() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

async fn start_standin(mode: PlatformMode) -> PlatformStandin {
    PlatformStandin::start(ephemeral_address(), mode)
        .await
        .unwrap()
}

fn build_write(key: &str, id: &str, condition: WriteCondition) -> TableWrite {
    TableWrite {
        table: "t".into(),
        key: key.into(),
        write_id: id.into(),
        value: Some(format!("value of {id}")),
        condition,
    }
}

fn build_insert(key: &str, id: &str) -> Vec<TableWrite> {
    vec![build_write(key, id, WriteCondition::Absent)]
}

async fn read_write_id(table: &HttpTable, key: &str) -> Option<String> {
    let rows = table.read("t", vec![key.into()]).await.unwrap();
    rows[0].as_ref().map(|row| row.write_id.clone())
}

#[tokio::test]
async fn transaction_rows_apply_independently() {
    let standin = start_standin(PlatformMode::default()).await;
    let table = HttpTable::new(standin.address(), SUCCESS_TIMEOUT);
    table.transact(build_insert("a", "a1")).await.unwrap();
    let mut deletion = build_write("a", "a3", WriteCondition::WriteId("a2".into()));
    deletion.value = None;
    let results = table
        .transact(vec![
            build_write("a", "x", WriteCondition::Absent),
            build_write("b", "b1", WriteCondition::Absent),
            build_write("a", "a2", WriteCondition::Version(1)),
            build_write("a", "x", WriteCondition::Version(1)),
            deletion,
            build_write("c", "x", WriteCondition::WriteId("c0".into())),
            build_write("b", "b2", WriteCondition::Always),
        ])
        .await
        .unwrap();
    let is_applied: Vec<bool> = results
        .iter()
        .map(|result| matches!(result, WriteResult::Applied { .. }))
        .collect();
    assert_eq!(
        is_applied,
        [false, true, true, false, true, false, true],
        "{results:?}"
    );
    let rows = table.scan("t", "", 10).await.unwrap();
    let rows: Vec<_> = rows
        .iter()
        .map(|row| (row.key.as_str(), row.version, row.write_id.as_str()))
        .collect();
    assert_eq!(rows, [("b", 2, "b2")]);
}

#[tokio::test]
async fn refused_connection_has_no_effect() {
    let listener = TcpListener::bind(ephemeral_address()).await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let table = HttpTable::new(address, SUCCESS_TIMEOUT);
    let outcome = table.transact(build_insert("a", "a1")).await;
    assert!(
        matches!(outcome, Err(TableError::Refused(_))),
        "{outcome:?}"
    );
}

#[tokio::test]
async fn faults_are_reported_as_refused_or_outcome_unknown() {
    let refuse = PlatformMode {
        down: DownMode::Refuse,
        ..PlatformMode::default()
    };
    let close = PlatformMode {
        down: DownMode::Close,
        ..PlatformMode::default()
    };
    let lose_response = PlatformMode {
        lose_percent: 100,
        ..PlatformMode::default()
    };
    let capped = PlatformMode {
        transactions_per_s: 0,
        ..PlatformMode::default()
    };
    // Mode, whether the error states that nothing took effect, whether the write took effect.
    let cases = [
        (refuse, true, false),
        (close, false, false),
        (lose_response, false, true),
        (capped, true, false),
    ];
    for (mode, expects_refused, has_effect) in cases {
        let standin = start_standin(PlatformMode::default()).await;
        let table = HttpTable::new(standin.address(), SUCCESS_TIMEOUT);
        standin.set_mode(mode);
        let error = table.transact(build_insert("a", "a1")).await.unwrap_err();
        let is_refused = matches!(error, TableError::Refused(_));
        assert_eq!(is_refused, expects_refused, "{mode:?} {error}");
        standin.set_mode(PlatformMode::default());
        let id = read_write_id(&table, "a").await;
        assert_eq!(id.is_some(), has_effect, "{mode:?}");
    }
}

#[tokio::test]
async fn unresponsive_service_is_reported_as_outcome_unknown() {
    let cases = [
        (HangPoint::BeforeEffect, false),
        (HangPoint::AfterEffect, true),
    ];
    for (hang, has_effect) in cases {
        let standin = start_standin(PlatformMode::default()).await;
        let table = HttpTable::new(standin.address(), FAILURE_TIMEOUT);
        standin.set_mode(PlatformMode {
            hang,
            ..PlatformMode::default()
        });
        let error = table.transact(build_insert("a", "a1")).await.unwrap_err();
        assert!(
            matches!(error, TableError::OutcomeUnknown { .. }),
            "{hang:?} {error}"
        );
        standin.set_mode(PlatformMode::default());
        let table = HttpTable::new(standin.address(), SUCCESS_TIMEOUT);
        assert_eq!(read_write_id(&table, "a").await.is_some(), has_effect);
    }
}

#[tokio::test]
async fn connections_are_reused_except_after_a_timeout() {
    let standin = start_standin(PlatformMode::default()).await;
    let table = HttpTable::new(standin.address(), Duration::from_secs(2));
    for key in ["a", "b", "c"] {
        table.transact(build_insert(key, key)).await.unwrap();
    }
    assert_eq!(standin.counters().connections, 1);
    standin.set_mode(PlatformMode {
        hang: HangPoint::BeforeEffect,
        ..PlatformMode::default()
    });
    table.transact(build_insert("d", "d")).await.unwrap_err();
    standin.set_mode(PlatformMode::default());
    table.transact(build_insert("e", "e")).await.unwrap();
    assert_eq!(standin.counters().connections, 2);
}

#[tokio::test]
async fn connection_closed_by_the_service_is_replaced() {
    let standin = start_standin(PlatformMode::default()).await;
    let table = HttpTable::new(standin.address(), SUCCESS_TIMEOUT);
    table.transact(build_insert("a", "a")).await.unwrap();
    let address = standin.address();
    drop(standin);
    let standin = loop {
        // The port becomes free when the last task of the stopped service ends.
        if let Ok(standin) = PlatformStandin::start(address, PlatformMode::default()).await {
            break standin;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    table.transact(build_insert("b", "b")).await.unwrap();
    assert_eq!(standin.counters().transactions, 1);
}

#[tokio::test]
async fn slow_responses_are_awaited() {
    let standin = start_standin(PlatformMode {
        delay_ms: 50,
        ..PlatformMode::default()
    })
    .await;
    let table = HttpTable::new(standin.address(), SUCCESS_TIMEOUT);
    table.transact(build_insert("a", "a1")).await.unwrap();
    assert_eq!(read_write_id(&table, "a").await.as_deref(), Some("a1"));
}
