use crate::quota_model::{
    EqualShares, FleetEvent, GossipedCounts, OwnerCredits, QuotaPolicy, QuotaResult, play,
};

const ACCOUNTS: usize = 87;
const SEEDS: [u64; 1] = [1];
/// Share of the requests within the limits that may be refused for the quota on a day without a cut.
const MAX_REFUSED_CALM: f64 = 0.001;
/// The same beside cuts and restarts.
const MAX_REFUSED_TROUBLED: f64 = 0.01;

const HOT: FleetEvent = FleetEvent::Hot {
    account: 0,
    factor: 7.5,
    from_ms: 6_000,
    to_ms: 12_000,
};
const HOT_SMALL: FleetEvent = FleetEvent::Hot {
    account: 60,
    factor: 8.0,
    from_ms: 6_000,
    to_ms: 12_000,
};
const CUT: FleetEvent = FleetEvent::Cut {
    share: 0.33,
    from_ms: 5_000,
    to_ms: 15_000,
};
const HERD: FleetEvent = FleetEvent::Restart {
    share: 0.55,
    at_ms: 7_000,
    down_ms: 1_500,
};
const LOWER: FleetEvent = FleetEvent::Limit {
    factor: 0.1,
    at_ms: 8_000,
};
const HIGHER: FleetEvent = FleetEvent::Limit {
    factor: 10.0,
    at_ms: 8_000,
};

fn worst<P: QuotaPolicy>(
    size: usize,
    events: &[FleetEvent],
    policy: impl Fn() -> P,
) -> QuotaResult {
    let results = SEEDS.map(|seed| play(policy(), size, ACCOUNTS, events, seed));
    results
        .into_iter()
        .fold(QuotaResult::default(), |worst, result| QuotaResult {
            overshoot: worst.overshoot.max(result.overshoot),
            refused_share: worst.refused_share.max(result.refused_share),
            messages: worst.messages.max(result.messages),
        })
}

fn credits(size: usize, events: &[FleetEvent]) -> QuotaResult {
    worst(size, events, || OwnerCredits::new(size))
}

#[test]
fn limits_hold_and_refuse_nothing_within_them_on_a_calm_day() {
    for size in [3, 13, 89] {
        let result = credits(size, &[]);
        println!("calm {size}: {result:?}");
        assert!(result.overshoot <= 0.0, "{size}: {result:?}");
        assert!(
            result.refused_share <= MAX_REFUSED_CALM,
            "{size}: {result:?}"
        );
    }
}

#[test]
fn a_hot_account_is_held_to_its_limit_and_others_do_not_notice() {
    for size in [3, 13, 89] {
        for events in [[HOT], [HOT_SMALL]] {
            let result = credits(size, &events);
            println!("hot {size}: {result:?}");
            assert!(result.overshoot <= 0.0, "{size}: {result:?}");
            assert!(
                result.refused_share <= MAX_REFUSED_CALM,
                "{size}: {result:?}"
            );
        }
    }
}

#[test]
fn limits_hold_through_cuts_and_restarts() {
    for size in [3, 13, 89] {
        for events in [
            &[HOT, CUT][..],
            &[HOT_SMALL, CUT],
            &[HOT, HERD],
            &[HOT, CUT, HERD],
        ] {
            let result = credits(size, events);
            println!("troubled {size} {events:?}: {result:?}");
            assert!(result.overshoot <= 0.0, "{size} {events:?}: {result:?}");
        }
    }
}

#[test]
fn a_herd_of_restarts_refuses_little_within_the_limits() {
    for size in [13, 89] {
        let result = credits(size, &[HERD]);
        println!("herd {size}: {result:?}");
        assert!(
            result.refused_share <= MAX_REFUSED_TROUBLED,
            "{size}: {result:?}"
        );
    }
}

#[test]
fn changed_limits_hold_after_one_window() {
    for size in [3, 13, 89] {
        for event in [LOWER, HIGHER] {
            let result = credits(size, &[event]);
            println!("changed {size} {event:?}: {result:?}");
            assert!(result.overshoot <= 0.0, "{size} {event:?}: {result:?}");
        }
    }
}

/// The table of docs/design/accounts.md; run by hand.
#[test]
#[ignore = "prints a table for the design page; takes a minute in a release build"]
fn compare_ways_of_sharing_limits() {
    let scenarios: [(&str, &[FleetEvent]); 7] = [
        ("calm", &[]),
        ("hot large account", &[HOT]),
        ("hot small account", &[HOT_SMALL]),
        ("hot, a third cut off", &[HOT, CUT]),
        ("hot, herd of restarts", &[HOT, HERD]),
        ("limits cut to a tenth", &[LOWER]),
        ("limits raised tenfold", &[HIGHER]),
    ];
    for size in [3, 13, 89, 300] {
        for (name, events) in scenarios {
            let print = |way: &str, result: QuotaResult| {
                println!(
                    "| {size} | {name} | {way} | {:.0} | {:.2} | {:.1} |",
                    result.overshoot,
                    result.refused_share * 100.0,
                    result.messages
                );
            };
            print(
                "equal shares",
                worst(size, events, || EqualShares::new(size)),
            );
            print("gossiped counts", worst(size, events, GossipedCounts::new));
            print("owners and credits", credits(size, events));
        }
    }
}
