//! Unit tests of the ledger, the commit queue, the batch progress, the batcher ranking and the
//! expiry sweep.

use {
    super::fleet::{key, service},
    banyantrestle::{
        claims::{
            AttemptStatus, BatchProgress, BatchStep, BatcherMember, BatcherRanking,
            CallFingerprint, ClaimLedger, ClaimLimits, ClaimRecord, ClaimRow, CommitQueue,
            EntryKey, ExpirySweep, LedgerDecision, NewEntry, QueueStep, QueuedRow,
            RecordedResponse, RowChange, RowOutcome, UnknownCause, WriteId, row_prefix,
        },
        context::RequestId,
        membership::MemberId,
        table::{TableError, TableRow, WriteResult},
        time::TimePoint,
    },
    std::{collections::HashSet, sync::Arc, time::Duration},
};

const START: TimePoint = TimePoint::from_millis(10_000);
const WINDOW: Duration = Duration::from_secs(60);

fn new_entry(name: &str, id: &str) -> NewEntry {
    NewEntry {
        key: key(name),
        fingerprint: CallFingerprint::of("POST", "/", b"body"),
        write_id: WriteId::from_row(id),
        expires: START + WINDOW,
    }
}

fn register(ledger: &mut ClaimLedger<u32>, name: &str, id: &str) -> EntryKey {
    match ledger.register(new_entry(name, id)) {
        LedgerDecision::New(entry) => entry,
        decision => panic!("{decision:?}"),
    }
}

fn response(size: usize) -> RecordedResponse {
    RecordedResponse {
        status: 200,
        headers: Arc::default(),
        body: vec![7; size].into(),
    }
}

fn run(ledger: &mut ClaimLedger<u32>, name: &str) -> EntryKey {
    let entry = register(ledger, name, name);
    assert!(ledger.mark_won(entry));
    assert!(ledger.dispatch(entry));
    entry
}

#[test]
fn only_a_won_claim_is_dispatched_and_only_once() {
    let mut ledger = ClaimLedger::<u32>::new(ClaimLimits::default());
    let entry = register(&mut ledger, "k", "w1");
    assert!(!ledger.dispatch(entry));
    assert!(ledger.mark_won(entry));
    assert!(!ledger.mark_won(entry));
    assert!(ledger.dispatch(entry));
    assert!(!ledger.dispatch(entry));
    let abandoned = register(&mut ledger, "l", "w2");
    assert!(ledger.mark_won(abandoned));
    ledger.abandon(abandoned, true);
    assert!(!ledger.mark_won(abandoned));
    assert!(!ledger.dispatch(abandoned));
}

#[test]
fn failed_run_is_never_claimed_again() {
    let mut ledger = ClaimLedger::<u32>::new(ClaimLimits::default());
    let entry = run(&mut ledger, "k");
    ledger.join(entry, 5, |_| true).unwrap();
    assert_eq!(ledger.fail(entry), [5]);
    let unknown = LedgerDecision::Unknown(UnknownCause::RunFailed);
    assert_eq!(ledger.register(new_entry("k", "w2")), unknown);
    assert!(ledger.abandon(entry, true).is_empty());
    assert_eq!(ledger.register(new_entry("k", "w2")), unknown);
}

#[test]
fn abandoned_attempts_are_kept_across_later_ones() {
    let mut ledger = ClaimLedger::<u32>::new(ClaimLimits::default());
    let first = register(&mut ledger, "k", "w1");
    ledger.abandon(first, true);
    let second = register(&mut ledger, "k", "w2");
    let status =
        |ledger: &ClaimLedger<u32>, id| ledger.attempt_status(&key("k"), &WriteId::from_row(id));
    assert_eq!(status(&ledger, "w1"), AttemptStatus::Abandoned);
    assert_eq!(status(&ledger, "w2"), AttemptStatus::InProgress(second));
    let not_recorded = AttemptStatus::Unknown(UnknownCause::ResponseNotKept);
    assert_eq!(status(&ledger, "w3"), not_recorded);
}

#[test]
fn memory_is_bounded_by_count_bytes_and_window() {
    let limits = ClaimLimits {
        recorded_calls: 100,
        recorded_bytes: 20_000,
        response_bytes: 5_000,
        ..ClaimLimits::default()
    };
    let mut ledger = ClaimLedger::<u32>::new(limits);
    for index in 0..1_000 {
        let entry = run(&mut ledger, &index.to_string());
        let size = if index % 2 == 0 { 1_000 } else { 6_000 };
        ledger.complete(entry, response(size));
        assert!(ledger.recorded_bytes() <= limits.recorded_bytes);
        assert!(ledger.len() <= limits.recorded_calls);
    }
    let too_large = LedgerDecision::Unknown(UnknownCause::ResponseNotKept);
    assert_eq!(ledger.register(new_entry("999", "w")), too_large);
    assert_eq!(
        ledger.register(new_entry("998", "w")),
        LedgerDecision::Replay(response(1_000))
    );
    // Attempts that never reached the table leave no entry.
    let before = ledger.len();
    let refused = register(&mut ledger, "refused", "w");
    ledger.abandon(refused, false);
    assert_eq!(ledger.len(), before);
    ledger.expire(START + WINDOW);
    assert!(ledger.is_empty());
    assert_eq!(ledger.recorded_bytes(), 0);
}

fn row(name: &str, id: &str) -> ClaimRow {
    let value = "v".into();
    ClaimRow {
        key: name.into(),
        write_id: WriteId::from_row(id),
        change: RowChange::Insert { value },
    }
}

#[test]
fn batch_size_grows_with_load_and_commit_rate_does_not() {
    let limits = ClaimLimits::default();
    let mut queue = CommitQueue::new(&limits, START);
    let mut commits = 0;
    let mut rows = 0;
    let mut resume_at = START;
    // 1,000 claims per second for ten seconds, with 1 ms per transaction.
    for ms in 0..10_000 {
        let now = START + Duration::from_millis(ms);
        queue.on_batch_ended();
        if now >= resume_at {
            queue.on_pause_ended();
        }
        let queued = QueuedRow {
            row: row(&ms.to_string(), "w"),
            reply: (),
        };
        queue.push(queued, &limits, now).unwrap();
        match queue.step(&limits, now) {
            QueueStep::Commit(batch) => {
                commits += 1;
                rows += batch.len();
            }
            QueueStep::Wait(pause) => resume_at = now + pause,
            QueueStep::Idle => {}
        }
    }
    let max_commits = limits.commits_per_s * 10 + limits.commit_burst;
    assert!(commits <= max_commits, "{commits} transactions");
    assert!(rows > 9_900, "{rows} rows");
}

#[test]
fn recorded_responses_share_transactions_with_claims() {
    let limits = ClaimLimits::default();
    let mut queue = CommitQueue::new(&limits, START);
    let recording = |name: &str| ClaimRow {
        change: RowChange::Replace {
            old: WriteId::from_row("w"),
            value: "v".into(),
        },
        ..row(name, "w")
    };
    let push = |queue: &mut CommitQueue<()>, row, now| {
        let queued = QueuedRow { row, reply: () };
        queue.push(queued, &limits, now).unwrap();
    };
    push(&mut queue, recording("a"), START);
    let QueueStep::Wait(pause) = queue.step(&limits, START) else {
        panic!("recorded response was committed without delay");
    };
    assert!(matches!(queue.step(&limits, START), QueueStep::Idle));
    let soon = START + pause / 2;
    push(&mut queue, row("b", "w"), soon);
    let QueueStep::Commit(batch) = queue.step(&limits, soon) else {
        panic!("claim was delayed by a recorded response");
    };
    assert_eq!(batch.len(), 2);
    queue.on_batch_ended();
    push(&mut queue, recording("c"), soon);
    queue.on_pause_ended();
    let later = soon + pause;
    assert!(matches!(queue.step(&limits, later), QueueStep::Commit(_)));
}

#[test]
fn batch_has_one_row_per_key_and_queue_is_bounded() {
    let limits = ClaimLimits {
        queued_rows: 3,
        ..ClaimLimits::default()
    };
    let mut queue = CommitQueue::new(&limits, START);
    for (name, reply) in [("a", 1), ("a", 2), ("b", 3)] {
        let row = row(name, "w");
        queue
            .push(QueuedRow { row, reply }, &limits, START)
            .unwrap();
    }
    let row = row("c", "w");
    let refused = queue.push(QueuedRow { row, reply: 4 }, &limits, START);
    assert_eq!(refused.unwrap_err().reply, 4);
    let replies = |queue: &mut CommitQueue<i32>| -> Vec<i32> {
        match queue.step(&limits, START) {
            QueueStep::Commit(batch) => batch.iter().map(|queued| queued.reply).collect(),
            _ => Vec::new(),
        }
    };
    assert_eq!(replies(&mut queue), [1, 3]);
    assert!(replies(&mut queue).is_empty());
    queue.on_batch_ended();
    assert_eq!(replies(&mut queue), [2]);
}

#[test]
fn batch_without_reply_is_read_back_and_absent_rows_rewritten() {
    let stored = |name: &str, id: &str| TableRow {
        key: name.into(),
        version: 1,
        write_id: id.into(),
        value: "v".into(),
    };
    let no_reply = || TableError::OutcomeUnknown {
        waited: Duration::ZERO,
        reason: "test".into(),
    };
    let mut batch = BatchProgress::new(vec![row("a", "w1"), row("b", "w2"), row("c", "w3")]);
    assert_eq!(batch.step(), BatchStep::Transact);
    batch.on_transact_sent();
    batch.on_transacted(Err(no_reply()));
    assert_eq!(batch.step(), BatchStep::ReadBack);
    let rows = vec![Some(stored("a", "w1")), None, Some(stored("c", "other"))];
    batch.on_read(Ok(rows));
    assert!(matches!(batch.step(), BatchStep::Pause(_)));
    batch.on_pause();
    assert_eq!(batch.step(), BatchStep::Transact);
    let unsettled: Vec<_> = batch.unsettled().map(|row| row.key.as_str()).collect();
    assert_eq!(unsettled, ["b"]);
    batch.on_transact_sent();
    batch.on_transacted(Ok(vec![WriteResult::Applied { version: 1 }]));
    assert_eq!(batch.step(), BatchStep::Done);
    let outcomes = [
        RowOutcome::Held((&stored("a", "w1")).into()),
        RowOutcome::Applied,
        RowOutcome::Held((&stored("c", "other")).into()),
    ];
    assert_eq!(batch.into_outcomes(), outcomes);
    // A batch that is cancelled while it is sent may have taken effect.
    let mut cancelled = BatchProgress::new(vec![row("a", "w1")]);
    cancelled.on_transact_sent();
    assert_eq!(cancelled.into_outcomes(), [RowOutcome::Unknown]);
    let mut refused = BatchProgress::new(vec![row("a", "w1")]);
    while refused.step() != BatchStep::Done {
        refused.on_transact_sent();
        refused.on_transacted(Err(TableError::Refused("test".into())));
        refused.on_pause();
    }
    assert_eq!(refused.into_outcomes(), [RowOutcome::Refused]);
}

fn member(port: u16) -> BatcherMember {
    let address = ([127, 0, 0, 1], port).into();
    let id = MemberId {
        address,
        started_ms: 1,
    };
    BatcherMember { id, mesh: address }
}

#[test]
fn batcher_ranking_is_deterministic_and_skips_failed_members() {
    let members: Vec<_> = (1..=150).map(member).collect();
    let reversed: Vec<_> = members.iter().rev().copied().collect();
    let cooldown = Duration::from_secs(5);
    let mut rankings = [BatcherRanking::default(), BatcherRanking::default()];
    rankings[0].set_members(service(), members.clone());
    rankings[1].set_members(service(), reversed);
    let order = |ranking: &BatcherRanking, now| -> Vec<BatcherMember> {
        ranking
            .candidates(&service(), now, cooldown)
            .copied()
            .collect()
    };
    let full_order = order(&rankings[0], START);
    assert_eq!(full_order, order(&rankings[1], START));
    assert!(rankings[0].is_first(&service(), full_order[0].id));
    rankings[0].mark_unreachable(full_order[0].id, START);
    assert_eq!(order(&rankings[0], START), full_order[1..]);
    assert_eq!(order(&rankings[0], START + cooldown), full_order);
    // A member that leaves does not move the others.
    let left = members
        .into_iter()
        .filter(|member| *member != full_order[7]);
    rankings[1].set_members(service(), left.collect());
    let kept: Vec<_> = full_order
        .iter()
        .filter(|member| **member != full_order[7])
        .collect();
    assert_eq!(order(&rankings[1], START).iter().collect::<Vec<_>>(), kept);
}

#[test]
fn sweep_deletes_rows_expired_by_three_clocks() {
    const HOUR_MS: u64 = 3_600_000;
    let prefix = row_prefix(&service());
    let claim = |name: &str, port: u16, created_ms: u64| {
        let record = ClaimRecord {
            holder: member(port).id,
            holder_mesh: member(port).mesh,
            fingerprint: CallFingerprint::of("POST", "/", b""),
            request: RequestId::from_u128(1),
            created_ms,
            window_s: 3_600,
            response: None,
        };
        TableRow {
            key: format!("{prefix}{name}"),
            version: 1,
            write_id: name.into(),
            value: record.to_text(),
        }
    };
    let foreign = TableRow {
        key: "workshop/x".into(),
        ..claim("x", 1, 0)
    };
    let now = 10 * HOUR_MS;
    // Rows, own clock in ms, and the deleted keys.
    let old = claim("a", 1, 6 * HOUR_MS);
    let fresh = [claim("b", 2, now), claim("c", 3, now)];
    let all = vec![
        old.clone(),
        fresh[0].clone(),
        fresh[1].clone(),
        foreign.clone(),
    ];
    let one_clock = vec![old.clone(), claim("b", 2, 6 * HOUR_MS), claim("c", 3, now)];
    let cases = [
        (all.clone(), now, vec!["a"]),
        (all, 7 * HOUR_MS, vec![]),
        (one_clock, now, vec![]),
        (vec![old], 1_000 * HOUR_MS, vec![]),
        (vec![foreign], now, vec![]),
    ];
    for (page, wall_ms, expected) in cases {
        let mut sweep = ExpirySweep::new(member(7).id, prefix.clone());
        let deletions = sweep.process_page(&page, wall_ms);
        let ids: Vec<_> = deletions
            .iter()
            .map(|write| write.write_id.as_str())
            .collect();
        assert_eq!(ids, expected, "{page:?}");
    }
    let mut sweep = ExpirySweep::new(member(7).id, prefix);
    sweep.process_page(&fresh, now);
    assert!(!sweep.is_at_start());
    sweep.process_page(&[], now);
    assert!(sweep.is_at_start());
}

#[test]
fn row_keys_of_different_calls_differ() {
    let mut rows = HashSet::new();
    for service in ["a", "a-b", "b"] {
        for text in ["b", "b/c", "a/b", "A", "../policy", "ünïcode"] {
            let Ok(key) = banyantrestle::claims::IdempotencyKey::new(text) else {
                assert!(!text.is_ascii());
                continue;
            };
            let service = banyantrestle::context::ServiceName::new(service).unwrap();
            let claim = banyantrestle::claims::ClaimKey { service, key };
            assert!(rows.insert(claim.row_key()));
        }
    }
    assert!(
        rows.iter()
            .all(|row| row.bytes().all(|byte| byte.is_ascii_graphic()))
    );
}
