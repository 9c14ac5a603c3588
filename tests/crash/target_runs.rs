use {
    banyantrestle::{
        crash::{
            DigestKey, RequestDigest, RequestView, RunEnd, SuspectStanding, TargetRun, TargetRuns,
        },
        time::TimePoint,
    },
    std::time::Duration,
};

fn digest(path: &str) -> RequestDigest {
    DigestKey::derive("test").request(&RequestView {
        method: "GET",
        host: "h",
        path,
        caller: "c",
        body: &[],
    })
}

fn run(path: &str, standing: SuspectStanding) -> TargetRun {
    TargetRun {
        digest: digest(path),
        standing,
        started_at: TimePoint::from_millis(10),
    }
}

/// Starts the calls, ends them, lets the process end, and returns the paths of the suspects.
fn suspects_of(ends: &[(&'static str, RunEnd)], is_leaving: bool) -> Vec<&'static str> {
    let mut runs = TargetRuns::default();
    let now = TimePoint::from_millis(50);
    for _ in ends {
        assert!(runs.try_start(SuspectStanding::Trusted));
    }
    if is_leaving {
        runs.record_leaving();
    }
    for (path, end) in ends {
        runs.finish(now, run(path, SuspectStanding::Trusted), *end);
    }
    let suspects = runs.record_end(now);
    let path_of = |suspected: RequestDigest| {
        let mut paths = ends.iter().map(|(path, _)| *path);
        paths
            .find(|path| digest(path) == suspected)
            .expect("a call")
    };
    suspects
        .iter()
        .map(|suspect| path_of(suspect.digest))
        .collect()
}

#[test]
fn suspects_are_the_calls_that_a_crash_left_unanswered() {
    let ends = [
        ("answered", RunEnd::Answered),
        ("not run", RunEnd::NotRun),
        ("broken", RunEnd::Broken),
        ("abandoned", RunEnd::Abandoned),
    ];
    assert_eq!(suspects_of(&ends, false), ["broken", "abandoned"]);
    assert!(
        suspects_of(&ends, true).is_empty(),
        "a planned end is no crash"
    );
}

#[test]
fn answer_clears_the_calls_that_ended_well_before() {
    let mut runs = TargetRuns::default();
    let start = TimePoint::from_millis(0);
    for path in ["early", "late"] {
        assert!(runs.try_start(SuspectStanding::Trusted));
        let ended_at = start + Duration::from_millis(if path == "early" { 0 } else { 2_500 });
        runs.finish(
            ended_at,
            run(path, SuspectStanding::Trusted),
            RunEnd::Abandoned,
        );
    }
    let now = start + Duration::from_secs(3);
    assert!(!runs.record_answer(now, start));
    let suspects = runs.record_end(now);
    assert_eq!(suspects.len(), 1);
    assert_eq!(suspects[0].digest, digest("late"));
}

#[test]
fn call_that_ends_after_the_crash_is_a_suspect_too() {
    let mut runs = TargetRuns::default();
    let now = TimePoint::from_millis(20);
    assert!(runs.try_start(SuspectStanding::Trusted));
    assert!(runs.record_end(now).is_empty());
    let late = runs.finish(now, run("late", SuspectStanding::Trusted), RunEnd::Broken);
    assert_eq!(late.map(|suspect| suspect.digest), Some(digest("late")));
}

#[test]
fn call_that_starts_after_the_crash_is_no_suspect() {
    let mut runs = TargetRuns::default();
    runs.record_end(TimePoint::from_millis(5));
    assert!(runs.try_start(SuspectStanding::Isolated));
    let now = TimePoint::from_millis(20);
    let late = runs.finish(now, run("late", SuspectStanding::Isolated), RunEnd::Broken);
    assert_eq!(late, None);
}

#[test]
fn answer_to_a_later_call_shows_that_there_was_no_crash() {
    let mut runs = TargetRuns::default();
    let crashed_at = TimePoint::from_millis(20);
    runs.record_end(crashed_at);
    assert!(runs.has_crashed());
    let (before, after) = (TimePoint::from_millis(10), TimePoint::from_millis(30));
    assert!(
        !runs.record_answer(after, before),
        "a response that was under way"
    );
    assert!(runs.record_answer(after, after));
    assert!(!runs.has_crashed());
}

#[test]
fn requests_isolated_run_beside_no_other_suspect() {
    use SuspectStanding::{Isolated, Refused, Suspect, Trusted};
    // Standings of the calls that run, standing of the next one, whether it may start.
    let cases: [(&[SuspectStanding], SuspectStanding, bool); 9] = [
        (&[], Trusted, true),
        (&[], Isolated, true),
        (&[], Refused, false),
        (&[Trusted, Trusted], Isolated, true),
        (&[Suspect], Isolated, false),
        (&[Isolated], Isolated, false),
        (&[Isolated], Suspect, false),
        (&[Isolated], Trusted, true),
        (&[Suspect], Suspect, true),
    ];
    for (running, next, is_allowed) in cases {
        let mut runs = TargetRuns::default();
        for standing in running {
            assert!(runs.try_start(*standing));
        }
        assert_eq!(runs.try_start(next), is_allowed, "{running:?} {next}");
    }
}

#[test]
fn end_of_an_isolated_call_lets_the_next_one_start() {
    let mut runs = TargetRuns::default();
    let now = TimePoint::from_millis(20);
    assert!(runs.try_start(SuspectStanding::Isolated));
    runs.finish(
        now,
        run("first", SuspectStanding::Isolated),
        RunEnd::Answered,
    );
    assert!(runs.try_start(SuspectStanding::Isolated));
}
