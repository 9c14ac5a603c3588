use {
    banyantrestle::{
        context::ServiceName,
        sidecar::{IngressAdmission, PressureReport, ServiceLimiter, ServicePressure, TreeCost},
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

fn tree(cost_ms: u64, pressure: f64) -> TreeCost {
    let mut tree = TreeCost::default();
    tree.add(&service(), Duration::from_millis(cost_ms), pressure);
    tree
}

/// Requests of two routes for a while at one front, and how many of each were admitted.
fn play(pressure: f64, urgent_per_tick: u32, seconds: u64) -> (u32, u32) {
    let mut front = IngressAdmission::default();
    front.note_cost("browse", 1, &tree(200, 0.5), true);
    front.note_cost("buy", 3, &tree(200, 0.5), true);
    let (mut browse, mut buy) = (0, 0);
    for tick in 0..seconds * 1_000 / TICK_MS {
        let now = at(tick * TICK_MS);
        front.note_pressure(now, &service(), pressure);
        front.tick(now, |_| FAIR_SHARE);
        for _ in 0..urgent_per_tick {
            buy += u32::from(front.admit(now, "buy", 3).is_ok());
        }
        for _ in 0..8 {
            browse += u32::from(front.admit(now, "browse", 1).is_ok());
        }
    }
    (browse, buy)
}

#[test]
fn a_calm_service_refuses_nothing() {
    let (browse, buy) = play(0.8, 1, 10);
    assert_eq!((browse, buy), (1_600, 200));
}

#[test]
fn the_lowest_rank_is_refused_first() {
    let (browse, buy) = play(1.4, 1, 10);
    assert_eq!(buy, 200, "all that is urgent");
    assert!(browse < 400, "{browse} of the rest");
}

#[test]
fn urgent_requests_pass_even_beyond_the_share() {
    // 12 slot seconds a second against a share of 5.
    let (browse, buy) = play(1.4, 3, 10);
    assert_eq!(buy, 600);
    assert!(browse < 60, "{browse}");
}

#[test]
fn a_crushed_service_refuses_urgent_requests_too() {
    let (_, buy) = play(4.0, 6, 10);
    assert!(buy < 900, "{buy} of 1200");
}

#[test]
fn requests_that_do_not_reach_a_loaded_service_pass() {
    let mut front = IngressAdmission::default();
    front.note_cost("browse", 1, &tree(200, 0.5), true);
    front.note_cost("archive", 1, &TreeCost::default(), true);
    for tick in 0..100 {
        let now = at(tick * TICK_MS);
        front.note_pressure(now, &service(), 3.0);
        front.tick(now, |_| FAIR_SHARE);
        front.admit(now, "browse", 1).ok();
        assert!(front.admit(now, "archive", 1).is_ok());
        assert!(front.admit(now, "unseen", 1).is_ok());
    }
    let refusal = front.admit(at(5_000), "browse", 1).expect_err("no room");
    assert_eq!(refusal.service, service());
    assert!(refusal.wait > Duration::ZERO);
}

#[test]
fn limiting_begins_at_the_fair_share_and_ends_when_pressure_does() {
    let mut valve = ServiceLimiter::new(at(0));
    let mut now = at(0);
    for tick in 0..20 {
        now = at(tick * TICK_MS);
        valve.note_pressure(now, 2.0);
        valve.admit(0.2);
        valve.tick(now, FAIR_SHARE);
        if let Some(rate) = valve.rate() {
            assert!(rate <= FAIR_SHARE, "{rate}");
        }
    }
    assert!(valve.rate().is_some());
    for _ in 0..60 {
        now = now + Duration::from_millis(TICK_MS);
        valve.note_pressure(now, 0.3);
        valve.tick(now, FAIR_SHARE);
    }
    assert_eq!(valve.rate(), None);
}

#[test]
fn a_rumour_replaces_only_what_is_older() {
    let mut front = IngressAdmission::default();
    let rumour = |pressure, age| {
        let known = ServicePressure {
            service: service(),
            pressure,
            age: Duration::from_millis(age),
        };
        PressureReport::new([known].into_iter())
    };
    front.hear(at(1_000), &rumour(2.0, 10));
    front.hear(at(1_050), &rumour(1.0, 200));
    let valve = front.valve(&service()).expect("heard of");
    assert!((valve.pressure() - 2.0).abs() < f64::EPSILON);
    front.hear(at(1_100), &rumour(1.5, 10));
    let valve = front.valve(&service()).expect("heard of");
    assert!((valve.pressure() - 1.5).abs() < f64::EPSILON);
}

#[test]
fn an_unconfirmed_pressure_fades() {
    let mut valve = ServiceLimiter::new(at(0));
    valve.hear_pressure(at(100), 3.0, Duration::ZERO);
    for tick in 0..60 {
        valve.tick(at(100 + tick * TICK_MS), FAIR_SHARE);
    }
    assert!(valve.pressure() < 0.1, "{}", valve.pressure());
}

/// After a restart under full load nothing ends well at first.
#[test]
fn a_front_that_has_seen_only_failures_limits_too() {
    let mut front = IngressAdmission::default();
    let mut refused = 0;
    for tick in 0..100 {
        let now = at(tick * TICK_MS);
        front.note_pressure(now, &service(), 3.0);
        front.tick(now, |_| FAIR_SHARE);
        for _ in 0..8 {
            refused += u32::from(front.admit(now, "browse", 1).is_err());
            front.note_cost("browse", 1, &tree(150, 3.0), false);
        }
    }
    assert!(refused > 600, "{refused} of 800");
}

#[test]
fn parts_raise_the_cost_of_a_route_and_never_lower_it() {
    let mut front = IngressAdmission::default();
    front.note_cost("browse", 1, &tree(200, 0.5), true);
    for _ in 0..100 {
        front.note_cost("browse", 1, &tree(20, 0.5), false);
    }
    front.note_pressure(at(1_000), &service(), 3.0);
    front.tick(at(1_000), |_| FAIR_SHARE);
    front.admit(at(1_000), "browse", 1).ok();
    let refusal = front.admit(at(1_000), "browse", 1).expect_err("no room");
    assert!(
        refusal.wait >= Duration::from_millis(40),
        "{:?}",
        refusal.wait
    );
}
