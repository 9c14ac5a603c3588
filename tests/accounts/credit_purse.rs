use {
    banyantrestle::{
        accounts::{CREDIT_LIFETIME, CreditGrant, CreditPurse, CreditStep, OwnerReach},
        time::TimePoint,
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        time::Duration,
    },
};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(100_000 + millis)
}

fn owner(host: u8) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(10, 0, 0, host).into(), 7_000)
}

fn purse(owners: u8) -> CreditPurse {
    let owners: Vec<_> = (0..owners).map(owner).collect();
    let mut purse = CreditPurse::default();
    purse.set_owners(&owners, 0);
    purse
}

fn ask(purse: &mut CreditPurse, millis: u64) -> (SocketAddr, u32) {
    match purse.next_step(at(millis), &OwnerReach::default()) {
        CreditStep::Ask { owner, wanted } => (owner, wanted),
        step => panic!("{step:?}"),
    }
}

#[test]
fn granted_credits_are_taken_one_by_one_until_they_are_void() {
    let mut purse = purse(1);
    let (owner, wanted) = ask(&mut purse, 0);
    purse.record_answer(at(2), at(0), owner, wanted, Some(CreditGrant::Granted(2)));
    let expires_at = at(0) + CREDIT_LIFETIME;
    assert_eq!(
        purse.next_step(at(2), &OwnerReach::default()),
        CreditStep::Pass { expires_at }
    );
    assert!(matches!(
        purse.next_step(at(1_000), &OwnerReach::default()),
        CreditStep::Ask { .. }
    ));
}

#[test]
fn an_answer_that_comes_after_the_lifetime_gives_nothing() {
    let mut purse = purse(1);
    let (owner, wanted) = ask(&mut purse, 0);
    purse.record_answer(
        at(1_500),
        at(0),
        owner,
        wanted,
        Some(CreditGrant::Granted(5)),
    );
    assert!(matches!(
        purse.next_step(at(1_500), &OwnerReach::default()),
        CreditStep::Ask { .. }
    ));
}

#[test]
fn all_owners_are_asked_before_the_limit_counts_as_reached() {
    let mut purse = purse(3);
    for (host, wait) in [(0, 300), (1, 100), (2, 200)] {
        let (asked, wanted) = ask(&mut purse, 0);
        assert_eq!(asked, owner(host));
        let answer = CreditGrant::Exhausted(Duration::from_millis(wait));
        purse.record_answer(at(0), at(0), asked, wanted, Some(answer));
    }
    let wait = Duration::from_millis(100);
    assert_eq!(
        purse.next_step(at(0), &OwnerReach::default()),
        CreditStep::LimitReached(wait)
    );
    assert_eq!(ask(&mut purse, 100).0, owner(1));
}

#[test]
fn unreachable_owners_do_not_mean_that_the_limit_is_reached() {
    let mut purse = purse(2);
    for answer in [None, Some(CreditGrant::NotOwner)] {
        let (owner, wanted) = ask(&mut purse, 0);
        purse.record_answer(at(0), at(0), owner, wanted, answer);
    }
    assert_eq!(
        purse.next_step(at(0), &OwnerReach::default()),
        CreditStep::NoOwner
    );
    assert_eq!(
        CreditPurse::default().next_step(at(0), &OwnerReach::default()),
        CreditStep::NoOwner
    );
}

#[test]
fn a_returned_credit_keeps_its_lifetime() {
    let mut purse = purse(1);
    let (owner, wanted) = ask(&mut purse, 0);
    purse.record_answer(at(0), at(0), owner, wanted, Some(CreditGrant::Granted(1)));
    let CreditStep::Pass { expires_at } = purse.next_step(at(0), &OwnerReach::default()) else {
        panic!("a credit");
    };
    purse.put_back(at(200), expires_at);
    assert_eq!(
        purse.next_step(at(300), &OwnerReach::default()),
        CreditStep::Pass { expires_at }
    );
    purse.put_back(at(2_000), expires_at);
    assert!(matches!(
        purse.next_step(at(2_000), &OwnerReach::default()),
        CreditStep::Ask { .. }
    ));
}

#[test]
fn credits_are_requested_in_advance_for_steady_demand() {
    let mut purse = purse(1);
    for number in 0..2_000 {
        purse.record_request(at(number * 10));
    }
    let (_, wanted) = ask(&mut purse, 20_000);
    assert!((8..15).contains(&wanted), "{wanted}");
    let (_, second) = ask(&mut purse, 20_000);
    assert!(second <= 2, "{second} while {wanted} are pending");
}
