use {
    banyantrestle::{
        context::ServiceName,
        sidecar::{
            EndedRequest, IngressAdmission, PressureReport, QueuePressure, ServiceLimiter,
            ServicePressure, TreeCost,
        },
        time::TimePoint,
    },
    std::time::Duration,
};

const TICK_MS: u64 = 50;
const FAIR_SHARE: f64 = 5.0;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

fn service() -> ServiceName {
    ServiceName::new("deep").expect("a valid name")
}

fn served(rank: u8) -> EndedRequest {
    EndedRequest {
        rank,
        is_lifted: false,
        is_served: true,
    }
}

fn tree_cost(cost_ms: u64, pressure: f64) -> TreeCost {
    let mut tree_cost = TreeCost::default();
    tree_cost.add(&service(), Duration::from_millis(cost_ms), pressure);
    tree_cost
}

/// Simulates requests of two routes at one ingress sidecar; returns how many of each were admitted.
fn simulate(pressure: QueuePressure, buy_per_tick: u32, seconds: u64) -> (u32, u32) {
    let mut admission = IngressAdmission::default();
    admission.record_cost("browse", 1, &tree_cost(200, 0.5), true);
    admission.record_cost("buy", 3, &tree_cost(200, 0.5), true);
    let (mut browse, mut buy) = (0, 0);
    for tick in 0..seconds * 1_000 / TICK_MS {
        let now = at(tick * TICK_MS);
        admission.record_pressure(now, &service(), pressure);
        admission.tick(now, |_| FAIR_SHARE);
        for _ in 0..buy_per_tick {
            buy += u32::from(admission.admit(now, "buy", 3).is_ok());
        }
        for _ in 0..8 {
            browse += u32::from(admission.admit(now, "browse", 1).is_ok());
        }
    }
    (browse, buy)
}

fn loaded_report() -> PressureReport {
    let known = ServicePressure {
        service: service(),
        pressure: QueuePressure::uniform(2.0),
        age: Duration::ZERO,
    };
    PressureReport::new([known].into_iter())
}

#[test]
fn low_pressure_refuses_nothing() {
    let (browse, buy) = simulate(QueuePressure::uniform(0.8), 1, 10);
    assert_eq!((browse, buy), (1_600, 200));
}

#[test]
fn the_lowest_rank_is_refused_first() {
    let (browse, buy) = simulate(QueuePressure::uniform(1.4), 1, 10);
    assert_eq!(buy, 200, "all requests of the higher rank are admitted");
    assert!(browse < 400, "{browse} requests of the lowest rank");
}

#[test]
fn high_ranks_may_exceed_the_fair_share() {
    // The load is 12 slot seconds per second, the fair share is 5. Only calls of the lowest rank
    // queue.
    let pressure = QueuePressure {
        total: 1.4,
        urgent: 1.0,
    };
    let (browse, buy) = simulate(pressure, 3, 10);
    assert_eq!(buy, 600);
    assert!(browse < 60, "{browse}");
}

#[test]
fn very_high_pressure_refuses_high_ranks_too() {
    let (_, buy) = simulate(QueuePressure::uniform(4.0), 6, 10);
    assert!(buy < 900, "{buy} of 1200");
}

#[test]
fn urgent_queue_limits_high_ranks_to_the_share_of_the_sidecar() {
    let (browse, buy) = simulate(QueuePressure::uniform(2.5), 3, 10);
    let fair = FAIR_SHARE * 10.0 / 0.2;
    assert!(f64::from(buy) <= fair, "{buy} of 600");
    assert!(browse < 20, "{browse}");
}

#[test]
fn long_queue_of_the_lowest_rank_does_not_limit_the_others() {
    let pressure = QueuePressure {
        total: 8.0,
        urgent: 1.0,
    };
    let (browse, buy) = simulate(pressure, 1, 10);
    assert_eq!(buy, 200);
    assert!(browse < 20, "{browse}");
}

/// While the highest rank alone exceeds the capacity, a request that costs less than half as much
/// is admitted with it, and its calls wait with those of the highest rank.
#[test]
fn cheap_requests_of_a_middle_rank_pass_while_the_highest_rank_is_limited() {
    let mut admission = IngressAdmission::default();
    admission.record_cost("browse", 1, &tree_cost(200, 0.5), true);
    admission.record_cost("list", 2, &tree_cost(40, 0.5), true);
    admission.record_cost("buy", 3, &tree_cost(200, 0.5), true);
    let (mut buy, mut list) = (0, 0);
    for tick in 0..200 {
        let now = at(tick * TICK_MS);
        admission.record_pressure(now, &service(), QueuePressure::uniform(2.2));
        admission.tick(now, |_| FAIR_SHARE);
        for _ in 0..4 {
            buy += u32::from(admission.admit(now, "buy", 3).is_ok());
        }
        let admitted = admission.admit(now, "list", 2);
        if tick > 0 {
            list += u32::from(admitted.is_ok_and(|admitted| admitted.queue_rank == 3));
        }
    }
    assert!(buy < 400, "{buy} of 800");
    assert!(list >= 190, "{list} of 199");
}

/// Until the first requests of a route have ended, their cost is unknown and no rate limits them.
#[test]
fn few_requests_of_unknown_cost_are_in_flight_while_a_service_is_loaded() {
    let mut admission = IngressAdmission::default();
    let now = at(1_000);
    let admit = |admission: &mut IngressAdmission, route, rank| {
        let admitted = (0..100).filter(|_| admission.admit(now, route, rank).is_ok());
        admitted.count()
    };
    assert_eq!(admit(&mut admission, "before", 1), 100, "nothing is loaded");
    admission.record_pressure(now, &service(), QueuePressure::uniform(2.0));
    admission.merge_report(now, &loaded_report());
    admission.tick(now, |_| FAIR_SHARE);
    assert_eq!(admit(&mut admission, "before", 1), 0);
    let urgent = admit(&mut admission, "urgent", 2);
    assert!((1..=10).contains(&urgent), "{urgent}");
    for _ in 0..urgent {
        admission.record_end(now, "urgent", served(2));
    }
    assert_eq!(admit(&mut admission, "urgent", 2), urgent);
}

#[test]
fn routes_that_avoid_the_loaded_service_are_admitted() {
    let mut admission = IngressAdmission::default();
    admission.record_cost("browse", 1, &tree_cost(200, 0.5), true);
    admission.record_cost("archive", 1, &TreeCost::default(), true);
    for tick in 0..100 {
        let now = at(tick * TICK_MS);
        admission.record_pressure(now, &service(), QueuePressure::uniform(3.0));
        admission.tick(now, |_| FAIR_SHARE);
        admission.admit(now, "browse", 1).ok();
        assert!(admission.admit(now, "archive", 1).is_ok());
        assert!(admission.admit(now, "unseen", 1).is_ok());
        admission.record_end(now, "unseen", served(1));
    }
    let refusal = admission
        .admit(at(5_000), "browse", 1)
        .expect_err("a refusal");
    assert_eq!(refusal.service, service());
    assert!(refusal.retry_after > Duration::ZERO);
}

#[test]
fn limiting_holds_a_long_queue_to_the_fair_share_and_stops_at_low_pressure() {
    let mut limiter = ServiceLimiter::new(at(0));
    let mut now = at(0);
    for tick in 0..20 {
        now = at(tick * TICK_MS);
        limiter.record_pressure(now, QueuePressure::uniform(2.0));
        limiter.charge(0, 0.2);
        limiter.tick(now, FAIR_SHARE, None);
        // Below a queue of half the limit, the rate may fill slots that are still free.
        if let Some(rate) = limiter.rate_limit()
            && limiter.pressure().total > 1.5
        {
            assert!(rate <= FAIR_SHARE, "{rate}");
        }
    }
    assert!(limiter.rate_limit().is_some());
    for _ in 0..60 {
        now = now + Duration::from_millis(TICK_MS);
        limiter.record_pressure(now, QueuePressure::uniform(0.3));
        limiter.tick(now, FAIR_SHARE, None);
    }
    assert_eq!(limiter.rate_limit(), None);
}

#[test]
fn rate_recovers_after_a_time_without_targets() {
    let mut limiter = ServiceLimiter::new(at(0));
    let mut rates = Vec::new();
    for tick in 0..200 {
        let now = at(tick * TICK_MS);
        let has_targets = !(80..120).contains(&tick);
        limiter.record_pressure(now, QueuePressure::uniform(1.2));
        limiter.tick(now, if has_targets { FAIR_SHARE } else { 0.0 }, None);
        rates.extend(limiter.rate_limit());
    }
    let (first, last) = (rates[40], rates[rates.len() - 1]);
    assert!(last.is_finite() && last > first / 2.0, "{first} {last}");
}

#[test]
fn pressure_report_replaces_only_older_pressure() {
    let mut admission = IngressAdmission::default();
    let report = |pressure, age| {
        let known = ServicePressure {
            service: service(),
            pressure: QueuePressure::uniform(pressure),
            age: Duration::from_millis(age),
        };
        PressureReport::new([known].into_iter())
    };
    admission.merge_report(at(1_000), &report(2.0, 10));
    admission.merge_report(at(1_050), &report(1.0, 200));
    let limiter = admission.limiter(&service()).expect("a known service");
    assert!((limiter.pressure().total - 2.0).abs() < f64::EPSILON);
    admission.merge_report(at(1_100), &report(1.5, 10));
    let limiter = admission.limiter(&service()).expect("a known service");
    assert!((limiter.pressure().total - 1.5).abs() < f64::EPSILON);
}

#[test]
fn unconfirmed_pressure_decays() {
    let mut limiter = ServiceLimiter::new(at(0));
    limiter.merge_remote_pressure(at(100), QueuePressure::uniform(3.0), Duration::ZERO);
    for tick in 0..60 {
        limiter.tick(at(100 + tick * TICK_MS), FAIR_SHARE, None);
    }
    assert!(limiter.pressure().total < 0.1, "{limiter:?}");
}

/// After a restart under full load, all requests fail at first, so that no cost of a successful one
/// is known.
#[test]
fn limits_when_all_requests_have_failed() {
    let mut admission = IngressAdmission::default();
    let mut refused = 0;
    for tick in 0..100 {
        let now = at(tick * TICK_MS);
        admission.record_pressure(now, &service(), QueuePressure::uniform(3.0));
        admission.tick(now, |_| FAIR_SHARE);
        for _ in 0..8 {
            refused += u32::from(admission.admit(now, "browse", 1).is_err());
            admission.record_cost("browse", 1, &tree_cost(150, 3.0), false);
        }
    }
    assert!(refused > 600, "{refused} of 800");
}

#[test]
fn partial_costs_raise_and_never_lower_the_route_cost() {
    let mut admission = IngressAdmission::default();
    admission.record_cost("browse", 1, &tree_cost(200, 0.5), true);
    for _ in 0..100 {
        admission.record_cost("browse", 1, &tree_cost(20, 0.5), false);
    }
    admission.record_pressure(at(1_000), &service(), QueuePressure::uniform(3.0));
    admission.tick(at(1_000), |_| FAIR_SHARE);
    admission.admit(at(1_000), "browse", 1).ok();
    let refusal = admission
        .admit(at(1_000), "browse", 1)
        .expect_err("a refusal");
    assert!(
        refusal.retry_after >= Duration::from_millis(40),
        "{:?}",
        refusal.retry_after
    );
}
