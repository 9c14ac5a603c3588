use {
    banyantrestle::sidecar::{AttemptHistory, AttemptOutcome, NextStep},
    std::time::Duration,
};

const TIME_LEFT: Duration = Duration::from_secs(1);

#[test]
fn next_step_after_each_outcome() {
    use {
        AttemptOutcome::{
            NoRetries, NotSent, RequestRefused, Shed, TargetCrashed, TargetError, Unknown,
        },
        NextStep::{RelayFailure, RespondNotRun, RespondRefused, RespondUnknown, Retry},
    };
    let cases: [(&str, bool, &[AttemptOutcome], NextStep); 16] = [
        ("first crash, idempotent", true, &[TargetCrashed], Retry),
        (
            "first crash, not idempotent",
            false,
            &[TargetCrashed],
            RespondUnknown,
        ),
        (
            "second crash, idempotent",
            true,
            &[TargetCrashed, NotSent, TargetCrashed],
            RespondUnknown,
        ),
        (
            "refused after a crash",
            true,
            &[TargetCrashed, RequestRefused],
            RespondRefused,
        ),
        ("not sent, not idempotent", false, &[NotSent], Retry),
        ("shed, not idempotent", false, &[Shed], Retry),
        ("unknown, not idempotent", false, &[Unknown], RespondUnknown),
        (
            "target error, not idempotent",
            false,
            &[TargetError],
            RelayFailure,
        ),
        (
            "unknown after shed, not idempotent",
            false,
            &[Shed, Unknown],
            RespondUnknown,
        ),
        ("unknown, idempotent", true, &[Unknown], Retry),
        (
            "two unknown attempts, idempotent",
            true,
            &[Unknown, Unknown],
            RespondUnknown,
        ),
        (
            "retry budget of one target exhausted",
            true,
            &[Shed, NoRetries],
            Retry,
        ),
        (
            "retry budgets of all targets exhausted",
            true,
            &[Shed, NoRetries, NoRetries, NoRetries, NoRetries],
            RespondNotRun,
        ),
        (
            "retry budgets exhausted after a target error",
            true,
            &[TargetError, NoRetries, NoRetries, NoRetries, NoRetries],
            RelayFailure,
        ),
        (
            "maximum of delivered attempts",
            true,
            &[Shed; 7],
            RespondNotRun,
        ),
        (
            "maximum of undelivered attempts",
            true,
            &[NotSent, NotSent, NotSent, NotSent],
            RespondNotRun,
        ),
    ];
    for (name, is_idempotent, outcomes, expected) in cases {
        let mut history = AttemptHistory::default();
        let mut step = Retry;
        for &outcome in outcomes {
            step = history.next_step(outcome, is_idempotent, 2, TIME_LEFT);
        }
        assert_eq!(step, expected, "{name}");
    }
}

#[test]
fn no_retry_without_time_left() {
    let mut history = AttemptHistory::default();
    let time_left = Duration::from_millis(5);
    let step = history.next_step(AttemptOutcome::NotSent, true, 2, time_left);
    assert_eq!(step, NextStep::RespondNotRun);
}
