use {
    banyantrestle::{
        accounts::{
            AccountLimit, CREDIT_LIFETIME, CreditGrant, CreditLedger, QuotaTolerance,
            choose_quota_owners, quota_owner_count,
        },
        time::TimePoint,
    },
    proptest::prelude::*,
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
        time::Duration,
    },
};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn limit(rate: f64, burst: f64) -> AccountLimit {
    AccountLimit { rate, burst }
}

fn members(count: u8) -> impl Iterator<Item = SocketAddr> {
    (0..count).map(|host| SocketAddr::new(Ipv4Addr::new(10, 0, 0, host).into(), 7_000))
}

#[test]
fn a_new_ledger_starts_empty_after_the_credits_before_it_are_void() {
    let account = Arc::from("one");
    let mut ledger = CreditLedger::new(at(0));
    let part = limit(10.0, 10.0);
    assert_eq!(
        ledger.grant(at(300), &account, part, 1),
        CreditGrant::NotOwner
    );
    let started = at(0) + CREDIT_LIFETIME;
    let wait = Duration::from_millis(100);
    assert_eq!(
        ledger.grant(started, &account, part, 1),
        CreditGrant::Exhausted(wait)
    );
    let later = started + Duration::from_secs(5);
    assert_eq!(
        ledger.grant(later, &account, part, 1),
        CreditGrant::Granted(1)
    );
}

#[test]
fn an_owner_that_replaces_a_lost_one_waits() {
    let account = Arc::from("one");
    let part = limit(10.0, 10.0);
    let mut ledger = CreditLedger::new(at(0));
    ledger.record_lost_member(at(10_000), false);
    assert_eq!(
        ledger.grant(at(11_900), &account, part, 1),
        CreditGrant::NotOwner
    );
    assert_eq!(
        ledger.grant(at(12_200), &account, part, 1),
        CreditGrant::Granted(1)
    );
}

#[test]
fn one_request_gets_a_part_of_what_is_there() {
    let account = Arc::from("one");
    let part = limit(10.0, 100.0);
    let mut ledger = CreditLedger::new(at(0));
    assert_eq!(
        ledger.grant(at(60_000), &account, part, 90),
        CreditGrant::Granted(25)
    );
    assert_eq!(
        ledger.grant(at(60_000), &account, part, 2),
        CreditGrant::Granted(2)
    );
}

#[test]
fn a_lower_limit_holds_at_once() {
    let account = Arc::from("one");
    let mut ledger = CreditLedger::new(at(0));
    let before = ledger.grant(at(60_000), &account, limit(100.0, 100.0), 1);
    assert_eq!(before, CreditGrant::Granted(1));
    let mut granted = 0;
    while let CreditGrant::Granted(count) = ledger.grant(at(60_000), &account, limit(1.0, 10.0), 8)
    {
        granted += count;
    }
    assert!(granted <= 10, "{granted}");
}

#[test]
fn owners_are_spread_and_few_for_small_limits() {
    let cases = [
        (0.5, 0.0, 1),
        (1.0, 1.0, 1),
        (3.0, 9.0, 3),
        (300.0, 300.0, 6),
    ];
    for (rate, burst, count) in cases {
        assert_eq!(
            quota_owner_count(&limit(rate, burst)),
            count,
            "{rate} {burst}"
        );
    }
    let mut owned = std::collections::HashMap::<_, usize>::new();
    for account in 0..1_000 {
        let owners = choose_quota_owners(&format!("account-{account}"), 6, members(89));
        assert_eq!(owners.len(), 6);
        for owner in owners {
            *owned.entry(owner).or_default() += 1;
        }
    }
    let most = owned.values().max().copied().unwrap_or_default();
    assert!(owned.len() == 89 && most < 110, "{most}");
}

#[test]
fn the_loss_of_a_member_moves_only_its_accounts() {
    for account in 0..200 {
        let name = format!("account-{account}");
        let before = choose_quota_owners(&name, 4, members(30));
        let lost = before[0];
        let rest = members(30).filter(|member| *member != lost);
        let after = choose_quota_owners(&name, 4, rest);
        assert_eq!(before[1..], after[..3]);
    }
}

proptest! {
    /// An owner never hands out more in any time than its part of the limit allows.
    #[test]
    fn credit_is_conserved(
        rate in 0.5..200.0_f64,
        burst in 0.0..200.0_f64,
        requests in prop::collection::vec((0..200_u64, 0..40_u32), 1..200),
    ) {
        let account = Arc::from("one");
        let part = limit(rate, burst);
        let mut ledger = CreditLedger::new(at(0));
        let mut grants = Vec::new();
        let mut now = at(0);
        for (gap, wanted) in requests {
            now = now + Duration::from_millis(gap);
            if let CreditGrant::Granted(count) = ledger.grant(now, &account, part, wanted) {
                grants.push((now, f64::from(count)));
            }
        }
        for (index, (start, _)) in grants.iter().enumerate() {
            let mut sum = 0.0;
            for (end, count) in &grants[index..] {
                sum += count;
                let length = end.since(*start).as_secs_f64();
                prop_assert!(sum <= burst.max(1.0) + rate * length + 1e-6);
            }
        }
    }

    /// What all owners hand out together stays within the tolerance.
    #[test]
    fn divided_limits_stay_within_the_tolerance(
        rate in 1.0..1_000.0_f64,
        burst_seconds in 0.0..3.0_f64,
        slack in 0.0..40.0_f64,
    ) {
        let whole = limit(rate, rate * burst_seconds);
        let tolerance = QuotaTolerance { window: Duration::from_secs(5), overage: 0.1, slack };
        let owners = quota_owner_count(&whole);
        let part = tolerance.divide(whole, owners);
        let count = f64::from(u32::try_from(owners).expect("few owners"));
        let handed_out = count * (part.rate * 5.0 + part.burst.max(1.0));
        prop_assert!(handed_out <= tolerance.bound(whole) + count);
    }
}
