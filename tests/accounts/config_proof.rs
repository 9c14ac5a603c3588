use {
    banyantrestle::{
        accounts::{ConfigProof, ProofReport, ProofRule, StoreClock},
        time::TimePoint,
    },
    proptest::prelude::*,
    std::time::Duration,
};

const BOUND: Duration = Duration::from_secs(5);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn report(version: u64, age_ms: u64) -> ProofReport {
    ProofReport {
        version,
        age: Duration::from_millis(age_ms),
    }
}

#[test]
fn keys_are_accepted_until_before_the_bound() {
    let rule = ProofRule::within(BOUND);
    let mut proof = ConfigProof::default();
    assert_eq!(proof.valid_until(&rule, at(0)), None);
    proof.record(at(0));
    assert!(proof.valid_until(&rule, at(4_400)).is_some());
    assert_eq!(proof.valid_until(&rule, at(4_600)), None);
    // A later answer to an earlier question proves nothing new.
    proof.record(at(0) - Duration::from_secs(1));
    assert_eq!(proof.age(at(1_000)), Some(Duration::from_secs(1)));
}

#[test]
fn keys_are_accepted_without_proof_where_there_is_no_bound() {
    let proof = ConfigProof::default();
    let rule = ProofRule::unbounded();
    assert!(proof.valid_until(&rule, at(0)).is_some());
}

#[test]
fn relayed_proofs_count_from_the_question() {
    let mut proof = ConfigProof::default();
    assert!(proof.merge(7, at(0), report(7, 300)));
    assert_eq!(proof.age(at(0)), Some(Duration::from_millis(300)));
    // The answer may have been delayed by any time: its age counts from the question.
    assert_eq!(proof.age(at(9_000)), Some(Duration::from_millis(9_300)));
    assert!(!proof.merge(7, at(0), report(7, 400)), "an older proof");
    assert!(
        !proof.merge(6, at(100), report(7, 0)),
        "proof of a newer configuration"
    );
    assert!(
        proof.merge(8, at(100), report(7, 0)),
        "proof of an older configuration"
    );
}

#[test]
fn reports_round_trip_without_becoming_younger() {
    for age_us in [0, 1, 999, 1_000, 1_001, 4_999_999] {
        let sent = ProofReport {
            version: 12,
            age: Duration::from_micros(age_us),
        };
        let read = ProofReport::decode(&sent.encode()).expect("a report");
        assert_eq!(read.version, 12);
        assert!(read.age >= sent.age);
        assert!(read.age <= sent.age + Duration::from_millis(1));
    }
    for text in ["", ";", "1", "1;", ";1", "a;1", "1;-1", "1;2;3"] {
        assert_eq!(ProofReport::decode(text), None, "{text}");
    }
}

#[test]
fn store_clock_recognizes_outdated_answers() {
    let seconds = Duration::from_secs;
    let mut clock = StoreClock::default();
    assert!(clock.record(seconds(50), at(0), at(10)));
    assert!(clock.record(seconds(52), at(2_000), at(2_010)), "current");
    assert!(
        !clock.record(seconds(52), at(5_000), at(5_010)),
        "3 s behind"
    );
    assert!(
        clock.record(seconds(53), at(6_000), at(6_010)),
        "goes on from there"
    );
}

proptest! {
    /// Whatever the order, ages and delays of the answers, no proof is younger than the latest
    /// moment at which the store, or a chain of sidecars, was asked.
    #[test]
    fn no_proof_is_younger_than_it_was_made(
        steps in prop::collection::vec((0..4_usize, 0..4_usize, 0..3_000_u64, 0..6_000_u64), 1..60),
    ) {
        let mut proofs = [ConfigProof::default(); 4];
        // Upper bound of what each sidecar can know.
        let mut known = [None::<TimePoint>; 4];
        let mut now = at(0);
        for (asker, peer, gap, delay) in steps {
            now = now + Duration::from_millis(gap);
            let asked_at = now;
            if asker == peer {
                proofs[asker].record(asked_at);
                known[asker] = known[asker].max(Some(asked_at));
            } else if let Some(age) = proofs[peer].age(asked_at + Duration::from_millis(delay)) {
                // The peer answers after a delay, for example a freeze.
                proofs[asker].merge(1, asked_at, ProofReport { version: 1, age });
                known[asker] = known[asker].max(known[peer]);
            }
            for (proof, known) in proofs.iter().zip(known) {
                if let Some(age) = proof.age(now) {
                    let known = known.expect("a proof needs a source");
                    prop_assert!(age >= now.since(known));
                }
            }
        }
    }
}
