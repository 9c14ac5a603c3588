//! The rules of one attempt, step by step.

use {
    super::process::lost,
    banyantrestle::{
        claims::{
            AttemptOutcome, AttemptStep, BodyFingerprint, ClaimAttempt, ClaimRecord, CommitPlace,
            HeldClaim, HolderAnswer, RingMember, RowChange, RowOutcome, TransportError,
            UnknownReason, WriteId,
        },
        context::RequestId,
        membership::MemberId,
        time::TimePoint,
    },
    std::time::Duration,
};

const NOW: TimePoint = TimePoint::from_millis(1_000);
const DEADLINE: TimePoint = TimePoint::from_millis(3_000);

fn member(port: u16) -> RingMember {
    let address = ([127, 0, 0, 1], port).into();
    let id = MemberId {
        address,
        started_ms: 1,
    };
    RingMember { id, mesh: address }
}

fn fingerprint(body: &str) -> BodyFingerprint {
    BodyFingerprint::of("POST", "/", body.as_bytes())
}

fn attempt(batchers: &[RingMember]) -> ClaimAttempt {
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
        answer: None,
    };
    HeldClaim {
        write_id: WriteId::from_row(id),
        record: Some(Box::new(record)),
    }
}

fn place(attempt: &ClaimAttempt) -> CommitPlace {
    match attempt.step(NOW) {
        AttemptStep::Commit { place, .. } => place,
        step => panic!("{step:?}"),
    }
}

#[test]
fn the_same_row_goes_from_batcher_to_batcher_and_then_here() {
    let batchers = [member(1), member(2)];
    let mut attempt = attempt(&batchers);
    let first = attempt.step(NOW);
    assert_eq!(place(&attempt), CommitPlace::At(batchers[0]));
    attempt.on_commit_failed(&TransportError::Unreached("refused".into()));
    assert!(!attempt.is_maybe_applied());
    assert_eq!(place(&attempt), CommitPlace::At(batchers[1]));
    attempt.on_commit_failed(&lost());
    assert!(attempt.is_maybe_applied());
    assert_eq!(place(&attempt), CommitPlace::Here);
    let row = |step| match step {
        AttemptStep::Commit { row, .. } => row,
        step => panic!("{step:?}"),
    };
    assert_eq!(row(first), row(attempt.step(NOW)));
    attempt.on_commit_failed(&lost());
    let given_up = AttemptStep::Done(AttemptOutcome::Unavailable);
    assert_eq!(attempt.step(NOW), given_up);
}

#[test]
fn each_outcome_of_the_row_has_its_verdict() {
    let mut unreadable = held("other");
    unreadable.record = None;
    let mut mismatched = held("other");
    if let Some(record) = &mut mismatched.record {
        record.fingerprint = fingerprint("another");
    }
    let unknown = AttemptOutcome::Unknown(UnknownReason::UnreadableClaim);
    let cases = [
        (RowOutcome::Applied, AttemptOutcome::Won),
        (RowOutcome::Held(held("mine")), AttemptOutcome::Won),
        (RowOutcome::Held(unreadable), unknown),
        (RowOutcome::Held(mismatched), AttemptOutcome::Mismatch),
        (RowOutcome::Refused, AttemptOutcome::Unavailable),
        (RowOutcome::Full, AttemptOutcome::Unavailable),
    ];
    for (outcome, verdict) in cases {
        let mut attempt = attempt(&[]);
        attempt.on_outcome(outcome.clone());
        assert_eq!(attempt.step(NOW), AttemptStep::Done(verdict), "{outcome:?}");
    }
}

#[test]
fn a_claim_of_another_is_never_told_as_not_run() {
    let unknown = AttemptOutcome::Unknown;
    let running = AttemptOutcome::RunsElsewhere(held("other"));
    let cases = [
        (Some(Ok(HolderAnswer::Running)), running),
        (Some(Err(lost())), unknown(UnknownReason::HolderGone)),
        // The deadline passes before the holder is asked.
        (None, unknown(UnknownReason::DeadlinePassed)),
    ];
    for (answer, outcome) in cases {
        let mut attempt = attempt(&[]);
        attempt.on_outcome(RowOutcome::Held(held("other")));
        assert!(matches!(attempt.step(NOW), AttemptStep::AskHolder(_)));
        if let Some(answer) = answer {
            attempt.on_holder(answer);
        }
        assert_eq!(attempt.step(DEADLINE), AttemptStep::Done(outcome));
    }
}

#[test]
fn an_abandoned_claim_is_replaced_by_its_id_and_a_vacant_row_inserted() {
    let mut attempt = attempt(&[]);
    attempt.on_outcome(RowOutcome::Held(held("other")));
    attempt.on_holder(Ok(HolderAnswer::Abandoned));
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
    let given_up = AttemptStep::Done(AttemptOutcome::Unavailable);
    assert_eq!(attempt.step(NOW), given_up);
}

#[test]
fn lost_outcomes_are_tried_again_after_growing_pauses() {
    let mut attempt = attempt(&[]);
    let mut pauses = Vec::new();
    loop {
        attempt.on_outcome(RowOutcome::Lost);
        match attempt.step(NOW) {
            AttemptStep::Pause(pause) => pauses.push(pause),
            step => {
                assert_eq!(step, AttemptStep::Done(AttemptOutcome::Unavailable));
                break;
            }
        }
        attempt.on_pause();
    }
    assert!(attempt.is_maybe_applied());
    assert!(
        pauses.windows(2).all(|pair| pair[0] < pair[1]),
        "{pauses:?}"
    );
    assert!(pauses.iter().sum::<Duration>() < NOW.until(DEADLINE));
}
