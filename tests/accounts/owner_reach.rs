use {
    banyantrestle::{
        accounts::{CreditPurse, CreditStep, OwnerReach},
        time::TimePoint,
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

/// Time allowed for an answer.
const ANSWER_MS: u64 = 250;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn owner(host: u8) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(10, 0, 0, host).into(), 7_000)
}

#[test]
fn a_silent_owner_is_asked_by_one_request_at_a_time() {
    let mut reach = OwnerReach::default();
    assert_eq!(reach.start_probe(at(0), [owner(1)]), None);
    assert!(reach.record(at(250), at(0), owner(1), false));
    let mut probes = Vec::new();
    for millis in 250..5_250 {
        let owner_to_ask = reach.start_probe(at(millis), [owner(2), owner(1)]);
        probes.extend(owner_to_ask.map(|_| millis));
        if let Some(sent) = probes.last().filter(|sent| *sent + ANSWER_MS == millis) {
            assert!(!reach.record(at(millis), at(*sent), owner(1), false));
        }
    }
    assert!((8..=14).contains(&probes.len()), "{probes:?}");
    let gaps = probes.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.min() >= Some(ANSWER_MS), "{probes:?}");
}

#[test]
fn the_order_of_questions_decides_not_that_of_their_ends() {
    for (asked_ms, is_silent) in [(0, false), (99, false), (150, true)] {
        let mut reach = OwnerReach::default();
        assert!(!reach.record(at(100), at(98), owner(1), true));
        reach.record(at(400), at(asked_ms), owner(1), false);
        assert_eq!(reach.is_silent(owner(1)), is_silent, "asked at {asked_ms}");
    }
}

#[test]
fn an_owner_that_answers_again_is_asked_by_all() {
    let mut reach = OwnerReach::default();
    reach.record(at(250), at(0), owner(1), false);
    assert!(reach.is_silent(owner(1)));
    assert!(reach.record(at(1_000), at(999), owner(1), true));
    assert!(!reach.is_silent(owner(1)));
    assert_eq!(reach.start_probe(at(2_000), [owner(1)]), None);
}

#[test]
fn silence_counts_for_the_owners_that_have_been_silent_for_the_shortest_time() {
    let mut reach = OwnerReach::default();
    assert_eq!(reach.silent_time(at(0), []), None);
    reach.record(at(250), at(0), owner(1), false);
    assert_eq!(reach.silent_time(at(300), [owner(1), owner(2)]), None);
    reach.record(at(350), at(100), owner(2), false);
    let time = reach.silent_time(at(400), [owner(1), owner(2)]);
    assert_eq!(time, Some(Duration::from_millis(300)));
    reach.retain(|member| *member == owner(1));
    assert!(reach.is_silent(owner(1)) && !reach.is_silent(owner(2)));
}

#[test]
fn accounts_skip_an_owner_that_another_account_has_found_silent() {
    let mut reach = OwnerReach::default();
    reach.record(at(250), at(0), owner(1), false);
    let mut purse = CreditPurse::default();
    purse.set_owners(&[owner(1), owner(2)], 0);
    let step = purse.next_step(at(300), &reach);
    assert!(matches!(step, CreditStep::Ask { owner: asked, .. } if asked == owner(2)));
    reach.record(at(600), at(350), owner(2), false);
    assert_eq!(purse.next_step(at(600), &reach), CreditStep::NoOwner);
}
