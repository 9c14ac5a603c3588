//! Steps and outcomes of a single claim attempt.

use {
    super::process::no_reply,
    banyantrestle::{
        claims::{
            AttemptOutcome, AttemptStep, BatcherMember, CallFingerprint, ClaimAttempt, ClaimRecord,
            CommitLocation, HeldClaim, HolderReply, RowChange, RowOutcome, TransportError,
            UnknownCause, WriteId,
        },
        context::RequestId,
        membership::MemberId,
        time::TimePoint,
    },
    std::time::Duration,
};

const NOW: TimePoint = TimePoint::from_millis(1_000);
const DEADLINE: TimePoint = TimePoint::from_millis(3_000);

fn member(port: u16) -> BatcherMember {
    let address = ([127, 0, 0, 1], port).into();
    let id = MemberId {
        address,
        started_ms: 1,
    };
    BatcherMember { id, mesh: address }
}

fn fingerprint(body: &str) -> CallFingerprint {
    CallFingerprint::of("POST", "/", body.as_bytes())
}

fn attempt(batchers: &[BatcherMember]) -> ClaimAttempt {
    let id = WriteId::from_row("mine");
    let body = fingerprint("body");
    ClaimAttempt::new(
        "k".into(),
        id,
        "v".into(),
        body,
        DEADLINE,
        batchers.to_vec(),
    )
}

fn held(id: &str) -> HeldClaim {
    let holder = member(9);
    let record = ClaimRecord {
        holder: holder.id,
        holder_mesh: holder.mesh,
        fingerprint: fingerprint("body"),
        request: RequestId::from_u128(1),
        created_ms: 1,
        window_s: 60,
        response: None,
    };
    HeldClaim {
        write_id: WriteId::from_row(id),
        record: Some(Box::new(record)),
    }
}

fn location(attempt: &ClaimAttempt) -> CommitLocation {
    match attempt.step(NOW) {
        AttemptStep::Commit { location, .. } => location,
        step => panic!("{step:?}"),
    }
}

#[test]
fn same_row_goes_to_each_batcher_and_then_commits_locally() {
    let batchers = [member(1), member(2)];
    let mut attempt = attempt(&batchers);
    let first = attempt.step(NOW);
    assert_eq!(location(&attempt), CommitLocation::Remote(batchers[0]));
    attempt.on_commit_failed(&TransportError::Unreachable("refused".into()));
    assert!(!attempt.may_be_applied());
    assert_eq!(location(&attempt), CommitLocation::Remote(batchers[1]));
    attempt.on_commit_failed(&no_reply());
    assert!(attempt.may_be_applied());
    assert_eq!(location(&attempt), CommitLocation::Local);
    let row = |step| match step {
        AttemptStep::Commit { row, .. } => row,
        step => panic!("{step:?}"),
    };
    assert_eq!(row(first), row(attempt.step(NOW)));
    attempt.on_commit_failed(&no_reply());
    let unsettled_outcome = AttemptStep::Done(AttemptOutcome::Unavailable);
    assert_eq!(attempt.step(NOW), unsettled_outcome);
}

#[test]
fn row_outcomes_map_to_attempt_outcomes() {
    let mut unreadable = held("other");
    unreadable.record = None;
    let mut mismatched = held("other");
    if let Some(record) = &mut mismatched.record {
        record.fingerprint = fingerprint("another");
    }
    let unknown = AttemptOutcome::Unknown(UnknownCause::UnreadableClaim);
    let cases = [
        (RowOutcome::Applied, AttemptOutcome::Won),
        (RowOutcome::Held(held("mine")), AttemptOutcome::Won),
        (RowOutcome::Held(unreadable), unknown),
        (RowOutcome::Held(mismatched), AttemptOutcome::Mismatch),
        (RowOutcome::Refused, AttemptOutcome::Unavailable),
        (RowOutcome::Full, AttemptOutcome::Unavailable),
    ];
    for (outcome, decision) in cases {
        let mut attempt = attempt(&[]);
        attempt.on_outcome(outcome.clone());
        assert_eq!(
            attempt.step(NOW),
            AttemptStep::Done(decision),
            "{outcome:?}"
        );
    }
}

#[test]
fn claim_of_another_holder_is_never_reported_as_not_run() {
    let unknown = AttemptOutcome::Unknown;
    let running = AttemptOutcome::RunsElsewhere(held("other"));
    let cases = [
        (Some(Ok(HolderReply::Running)), running),
        (Some(Err(no_reply())), unknown(UnknownCause::HolderGone)),
        // The deadline passes before the holder replies.
        (None, unknown(UnknownCause::DeadlinePassed)),
    ];
    for (reply, outcome) in cases {
        let mut attempt = attempt(&[]);
        attempt.on_outcome(RowOutcome::Held(held("other")));
        assert!(matches!(attempt.step(NOW), AttemptStep::QueryHolder(_)));
        if let Some(reply) = reply {
            attempt.on_holder(reply);
        }
        assert_eq!(attempt.step(DEADLINE), AttemptStep::Done(outcome));
    }
}

#[test]
fn abandoned_claim_is_replaced_and_vacant_row_is_inserted() {
    let mut attempt = attempt(&[]);
    attempt.on_outcome(RowOutcome::Held(held("other")));
    attempt.on_holder(Ok(HolderReply::Abandoned));
    let change = |attempt: &ClaimAttempt| match attempt.step(NOW) {
        AttemptStep::Commit { row, .. } => row.change,
        step => panic!("{step:?}"),
    };
    let value: String = "v".into();
    let old = WriteId::from_row("other");
    let replacement = RowChange::Replace {
        old,
        value: value.clone(),
    };
    assert_eq!(change(&attempt), replacement);
    attempt.on_outcome(RowOutcome::Vacant);
    assert_eq!(change(&attempt), RowChange::Insert { value });
    for _ in 0..10 {
        attempt.on_outcome(RowOutcome::Vacant);
    }
    let unsettled_outcome = AttemptStep::Done(AttemptOutcome::Unavailable);
    assert_eq!(attempt.step(NOW), unsettled_outcome);
}

#[test]
fn unknown_row_outcomes_are_retried_with_growing_delays() {
    let mut attempt = attempt(&[]);
    let mut pauses = Vec::new();
    loop {
        attempt.on_outcome(RowOutcome::Unknown);
        match attempt.step(NOW) {
            AttemptStep::Pause(pause) => pauses.push(pause),
            step => {
                assert_eq!(step, AttemptStep::Done(AttemptOutcome::Unavailable));
                break;
            }
        }
        attempt.on_pause();
    }
    assert!(attempt.may_be_applied());
    assert!(
        pauses.windows(2).all(|pair| pair[0] < pair[1]),
        "{pauses:?}"
    );
    assert!(pauses.iter().sum::<Duration>() < NOW.until(DEADLINE));
}
