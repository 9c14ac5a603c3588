use {
    banyantrestle::sidecar::{AttemptHistory, AttemptOutcome, NextStep},
    std::time::Duration,
};

const TIME_LEFT: Duration = Duration::from_secs(1);

#[test]
fn next_step_after_each_outcome() {
    use {
        AttemptOutcome::{NoRetries, NotSent, Shed, TargetError, Unknown},
        NextStep::{RelayFailure, ReplyNotRun, ReplyUnknown, Retry},
    };
    let cases: [(&str, bool, &[AttemptOutcome], NextStep); 12] = [
        ("unsent, once only", false, &[NotSent], Retry),
        ("shed, once only", false, &[Shed], Retry),
        ("unknown, once only", false, &[Unknown], ReplyUnknown),
        ("failed, once only", false, &[TargetError], RelayFailure),
        ("unknown after shed", false, &[Shed, Unknown], ReplyUnknown),
        ("unknown, repeatable", true, &[Unknown], Retry),
        (
            "two runs, repeatable",
            true,
            &[Unknown, Unknown],
            ReplyUnknown,
        ),
        ("no repeats at one target", true, &[Shed, NoRetries], Retry),
        (
            "no repeats left",
            true,
            &[Shed, NoRetries, NoRetries, NoRetries, NoRetries],
            ReplyNotRun,
        ),
        (
            "no repeats after a failure",
            true,
            &[TargetError, NoRetries, NoRetries, NoRetries, NoRetries],
            RelayFailure,
        ),
        (
            "as many arrivals as are allowed",
            true,
            &[Shed; 7],
            ReplyNotRun,
        ),
        (
            "too many refusals",
            true,
            &[NotSent, NotSent, NotSent, NotSent],
            ReplyNotRun,
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
    assert_eq!(step, NextStep::ReplyNotRun);
}
