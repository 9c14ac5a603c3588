use {
    banyantrestle::sidecar::{AttemptHistory, AttemptOutcome, NextStep},
    std::time::Duration,
};

const LEFT: Duration = Duration::from_secs(1);

#[test]
fn what_follows_an_attempt() {
    use {
        AttemptOutcome::{FailedRun, NoRepeats, NotSent, Shed, Unknown},
        NextStep::{FailUnknown, Offer, PassFailure, RefuseUnrun},
    };
    let cases: [(&str, bool, &[AttemptOutcome], NextStep); 12] = [
        ("unsent, once only", false, &[NotSent], Offer),
        ("shed, once only", false, &[Shed], Offer),
        ("unknown, once only", false, &[Unknown], FailUnknown),
        ("failed, once only", false, &[FailedRun], PassFailure),
        ("unknown after shed", false, &[Shed, Unknown], FailUnknown),
        ("unknown, repeatable", true, &[Unknown], Offer),
        (
            "two runs, repeatable",
            true,
            &[Unknown, Unknown],
            FailUnknown,
        ),
        ("no repeats at one target", true, &[Shed, NoRepeats], Offer),
        (
            "no repeats left",
            true,
            &[Shed, NoRepeats, NoRepeats, NoRepeats, NoRepeats],
            RefuseUnrun,
        ),
        (
            "no repeats after a failure",
            true,
            &[FailedRun, NoRepeats, NoRepeats, NoRepeats, NoRepeats],
            PassFailure,
        ),
        (
            "as many arrivals as are allowed",
            true,
            &[Shed; 7],
            RefuseUnrun,
        ),
        (
            "too many refusals",
            true,
            &[NotSent, NotSent, NotSent, NotSent],
            RefuseUnrun,
        ),
    ];
    for (name, is_idempotent, ends, expected) in cases {
        let mut history = AttemptHistory::default();
        let mut step = Offer;
        for &end in ends {
            step = history.next_step(end, is_idempotent, 2, LEFT);
        }
        assert_eq!(step, expected, "{name}");
    }
}

#[test]
fn no_offer_without_time() {
    let mut history = AttemptHistory::default();
    let left = Duration::from_millis(5);
    let step = history.next_step(AttemptOutcome::NotSent, true, 2, left);
    assert_eq!(step, NextStep::RefuseUnrun);
}
