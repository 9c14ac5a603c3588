use {
    banyantrestle::crash::{
        CrashReport, CrashSuspect, DigestKey, FAMILIAR_ISOLATION_CRASHES, FIRST_REFUSAL_TIME,
        MAX_EXCHANGED_RECORDS, MAX_SUSPECTS, ProcessDigest, RecordScope, RequestDigest,
        RequestView, SuspectRecord, SuspectStanding, SuspectTable,
    },
    proptest::prelude::*,
    std::{net::SocketAddr, time::Duration},
};

const NOW_MS: u64 = 1_000_000;

fn digest(path: &str) -> RequestDigest {
    DigestKey::derive("test").request(&RequestView {
        method: "GET",
        host: "h",
        path,
        caller: "c",
        body: &[],
    })
}

fn report(process: u64, suspects: &[(&str, bool)]) -> CrashReport {
    let suspects = suspects.iter().map(|(path, is_isolated)| CrashSuspect {
        digest: digest(path),
        run_time: Duration::from_millis(40),
        is_isolated: *is_isolated,
    });
    CrashReport {
        process: ProcessDigest(process),
        reporter: SocketAddr::from(([10, 0, 0, 1], 1)),
        at_ms: NOW_MS,
        suspects: suspects.collect(),
    }
}

fn crash(table: &mut SuspectTable, process: u64, suspects: &[(&str, bool)]) {
    table.record_crash(NOW_MS, &report(process, suspects), |_| false);
}

fn standing(table: &SuspectTable, path: &str) -> SuspectStanding {
    table.standing(NOW_MS, &digest(path), false)
}

/// A table in which the request has ended three targets, the last one in isolation.
fn refusing_table() -> SuspectTable {
    let mut table = SuspectTable::default();
    crash(&mut table, 1, &[("deadly", false)]);
    crash(&mut table, 2, &[("deadly", false)]);
    crash(&mut table, 3, &[("deadly", true)]);
    table
}

#[test]
fn request_is_refused_after_a_crash_isolated() {
    let mut table = SuspectTable::default();
    assert_eq!(standing(&table, "deadly"), SuspectStanding::Trusted);
    crash(&mut table, 1, &[("deadly", false), ("beside", false)]);
    assert_eq!(standing(&table, "deadly"), SuspectStanding::Suspect);
    crash(&mut table, 2, &[("deadly", false)]);
    assert_eq!(standing(&table, "deadly"), SuspectStanding::Isolated);
    assert_eq!(standing(&table, "beside"), SuspectStanding::Suspect);
    crash(&mut table, 3, &[("deadly", true)]);
    assert_eq!(standing(&table, "deadly"), SuspectStanding::Refused);
    assert_eq!(table.take_newly_refused(), [digest("deadly")]);
    assert_eq!(table.refused(), 1);
}

#[test]
fn crashes_outside_isolation_refuse_nobody() {
    let mut table = SuspectTable::default();
    for process in 0..20 {
        crash(&mut table, process, &[("beside", false)]);
    }
    assert_eq!(standing(&table, "beside"), SuspectStanding::Isolated);
}

#[test]
fn crash_isolated_beside_another_possible_cause_refuses_from_the_fourth_crash() {
    let mut table = SuspectTable::default();
    crash(&mut table, 1, &[("deadly", false)]);
    crash(&mut table, 2, &[("deadly", false)]);
    crash(&mut table, 3, &[("deadly", true), ("new", false)]);
    assert_eq!(standing(&table, "deadly"), SuspectStanding::Isolated);
    assert_eq!(standing(&table, "new"), SuspectStanding::Suspect);
    crash(&mut table, 4, &[("deadly", true), ("other", false)]);
    assert_eq!(standing(&table, "deadly"), SuspectStanding::Refused);
}

#[test]
fn familiar_requests_beside_an_isolated_one_are_not_marked() {
    let mut table = SuspectTable::default();
    crash(&mut table, 1, &[("deadly", false)]);
    crash(&mut table, 2, &[("deadly", false)]);
    let third = report(3, &[("deadly", true), ("listing", false)]);
    table.record_crash(NOW_MS, &third, |suspect| suspect == digest("listing"));
    assert_eq!(standing(&table, "deadly"), SuspectStanding::Refused);
    assert!(table.get(&digest("listing")).is_none());
}

#[test]
fn familiar_request_goes_isolated_only_after_many_crashes() {
    let mut table = SuspectTable::default();
    for process in 0..FAMILIAR_ISOLATION_CRASHES {
        let expected = SuspectStanding::Trusted;
        assert_eq!(standing(&table, "listing"), expected, "{process} crashes");
        let crash = report(process as u64, &[("listing", false)]);
        table.record_crash(NOW_MS, &crash, |_| true);
    }
    assert_eq!(standing(&table, "listing"), SuspectStanding::Isolated);
}

#[test]
fn answer_clears_a_suspect_and_ends_a_refusal() {
    let mut table = refusing_table();
    assert!(table.record_answer(NOW_MS, digest("deadly")));
    assert_eq!(standing(&table, "deadly"), SuspectStanding::Trusted);
    assert!(!table.record_answer(NOW_MS, digest("deadly")), "no news");
    assert_eq!(table.refused(), 0);
    crash(&mut table, 4, &[("deadly", false)]);
    assert_eq!(
        standing(&table, "deadly"),
        SuspectStanding::Suspect,
        "it starts anew"
    );
}

#[test]
fn older_copy_does_not_revive_an_ended_refusal() {
    let older = refusing_table();
    let mut table = older.clone();
    assert!(table.lift(NOW_MS + 1, digest("deadly")));
    for record in older.records(RecordScope::Fleet) {
        assert!(!table.merge(NOW_MS + 2, &record));
    }
    assert_eq!(standing(&table, "deadly"), SuspectStanding::Trusted);
    let mut other = older.clone();
    for record in table.take_changes() {
        other.merge(NOW_MS + 2, &record);
    }
    assert_eq!(standing(&other, "deadly"), SuspectStanding::Trusted);
}

#[test]
fn request_is_refused_again_after_its_refusal_was_lifted() {
    let mut table = refusing_table();
    table.lift(NOW_MS, digest("deadly"));
    let older = table.clone();
    crash(&mut table, 4, &[("deadly", false)]);
    crash(&mut table, 5, &[("deadly", false)]);
    crash(&mut table, 6, &[("deadly", true)]);
    for record in older.records(RecordScope::Fleet) {
        table.merge(NOW_MS, &record);
    }
    assert_eq!(standing(&table, "deadly"), SuspectStanding::Refused);
}

#[test]
fn expired_refusal_leaves_one_isolated_run_and_doubles_with_the_next_crash() {
    let mut table = refusing_table();
    let hour = u64::try_from(FIRST_REFUSAL_TIME.as_millis()).expect("an hour");
    let deadly = digest("deadly");
    let later = NOW_MS + hour + 1;
    assert_eq!(
        table.standing(later - 2, &deadly, false),
        SuspectStanding::Refused
    );
    assert_eq!(
        table.standing(later, &deadly, false),
        SuspectStanding::Isolated
    );
    let crash = CrashReport {
        at_ms: later,
        ..report(9, &[("deadly", true)])
    };
    table.record_crash(later, &crash, |_| false);
    let at_end = later + 2 * hour;
    assert_eq!(
        table.standing(at_end - 1, &deadly, false),
        SuspectStanding::Refused
    );
    assert_eq!(
        table.standing(at_end, &deadly, false),
        SuspectStanding::Isolated
    );
}

#[test]
fn suspects_of_one_crash_stay_with_their_service_until_a_second_one() {
    let mut table = SuspectTable::default();
    crash(&mut table, 1, &[("deadly", false), ("beside", false)]);
    assert_eq!(table.records(RecordScope::Service).len(), 2);
    assert!(table.records(RecordScope::Fleet).is_empty());
    crash(&mut table, 2, &[("deadly", false)]);
    let records = table.records(RecordScope::Fleet);
    assert_eq!(records.len(), 1);
    assert_eq!(records[0].digest, digest("deadly"));
}

#[test]
fn retracted_crash_does_not_count() {
    let mut table = refusing_table();
    let mut fresh = SuspectTable::default();
    crash(&mut fresh, 1, &[("deadly", false)]);
    crash(&mut fresh, 2, &[("deadly", false)]);
    fresh.retract_crash(ProcessDigest(2));
    assert_eq!(standing(&fresh, "deadly"), SuspectStanding::Suspect);
    table.retract_crash(ProcessDigest(7));
    assert_eq!(standing(&table, "deadly"), SuspectStanding::Refused);
}

#[test]
fn table_keeps_its_bounds_and_its_refusals() {
    let mut table = refusing_table();
    for number in 0..2 * MAX_SUSPECTS {
        let path = format!("flood/{number}");
        crash(&mut table, 100 + number as u64, &[(&path, false)]);
        assert!(table.len() <= MAX_SUSPECTS);
    }
    assert_eq!(standing(&table, "deadly"), SuspectStanding::Refused);
    let records = table.records(RecordScope::Service);
    assert_eq!(records.len(), MAX_EXCHANGED_RECORDS);
    assert_eq!(
        records[0].digest,
        digest("deadly"),
        "refused ones come first"
    );
}

#[test]
fn old_entries_are_dropped() {
    let mut table = SuspectTable::default();
    crash(&mut table, 1, &[("open", false), ("answered", false)]);
    table.record_answer(NOW_MS, digest("answered"));
    table.expire(NOW_MS + 70_000);
    assert!(table.get(&digest("answered")).is_none());
    assert!(table.get(&digest("open")).is_some());
    table.expire(NOW_MS + 2 * 3_600_000);
    assert!(table.is_empty());
    let mut other = SuspectTable::default();
    crash(&mut other, 1, &[("open", false)]);
    let records = other.records(RecordScope::Service);
    assert!(
        !table.merge(NOW_MS + 2 * 3_600_000, &records[0]),
        "it comes too late"
    );
}

#[derive(Clone, Debug)]
enum TableChange {
    Crash {
        process: u64,
        request: u8,
        is_isolated: bool,
    },
    Answer {
        request: u8,
    },
    Lift {
        request: u8,
    },
}

fn arbitrary_change() -> impl Strategy<Value = TableChange> {
    let request = 0..3_u8;
    prop_oneof![
        4 => (0..12_u64, request.clone(), any::<bool>()).prop_map(|(process, request, is_isolated)| {
            TableChange::Crash { process, request, is_isolated }
        }),
        1 => request.clone().prop_map(|request| TableChange::Answer { request }),
        1 => request.prop_map(|request| TableChange::Lift { request }),
    ]
}

fn apply_change(table: &mut SuspectTable, now_ms: u64, change: &TableChange) {
    match change {
        TableChange::Crash {
            process,
            request,
            is_isolated,
        } => {
            let crash = report(*process, &[(&request.to_string(), *is_isolated)]);
            let crash = CrashReport {
                at_ms: now_ms,
                ..crash
            };
            table.record_crash(now_ms, &crash, |_| false);
        }
        TableChange::Answer { request } => {
            table.record_answer(now_ms, digest(&request.to_string()));
        }
        TableChange::Lift { request } => {
            table.lift(now_ms, digest(&request.to_string()));
        }
    }
}

fn exchange(tables: &mut [SuspectTable; 3], from: usize, to: usize) {
    let records: Vec<SuspectRecord> = tables[from].records(RecordScope::Service);
    for record in &records {
        tables[to].merge(NOW_MS, record);
    }
}

proptest! {
    #[test]
    fn tables_agree_once_all_have_exchanged(
        changes in prop::collection::vec((0..3_usize, arbitrary_change()), 0..40),
        order in prop::collection::vec((0..3_usize, 0..3_usize), 0..20),
    ) {
        let mut tables: [SuspectTable; 3] = Default::default();
        let mut order = order.into_iter();
        for (index, (table, change)) in changes.iter().enumerate() {
            apply_change(&mut tables[*table], NOW_MS + index as u64, change);
            if let Some((from, to)) = order.next() {
                exchange(&mut tables, from, to);
            }
        }
        for _ in 0..3 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (0, 2), (2, 1), (1, 0)] {
                exchange(&mut tables, from, to);
            }
        }
        let prints = tables.each_ref().map(|table| table.fingerprint(RecordScope::Service));
        prop_assert_eq!(prints[0], prints[1]);
        prop_assert_eq!(prints[1], prints[2]);
        for request in 0..3_u8 {
            let digest = digest(&request.to_string());
            let standings = tables.each_ref().map(|table| table.standing(NOW_MS, &digest, false));
            prop_assert_eq!(standings[0], standings[1]);
            prop_assert_eq!(standings[1], standings[2]);
        }
    }
}
