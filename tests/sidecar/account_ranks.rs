//! Ranks of accounts at an ingress sidecar whose service is overloaded.

use {
    banyantrestle::{
        context::ServiceName,
        sidecar::{EndedRequest, IngressAdmission, QueuePressure, TreeCost},
        time::TimePoint,
    },
    std::time::Duration,
};

const TICK_MS: u64 = 50;
/// Slot seconds that the sidecar may admit in a second at the setpoint.
const FAIR_SHARE: f64 = 5.0;
const CALL_TIME: Duration = Duration::from_millis(100);
/// Share of the service of all requests below which an account counts as shut out.
const MIN_SHARE_OF_ALL: f64 = 0.25;

/// Ranks of two accounts, each with a high and a low route: the upper half is the account's.
const FIRST_HIGH: u8 = 0xFF;
const FIRST_LOW: u8 = 0xFE;
const LAST_HIGH: u8 = 0xEF;
const LAST_LOW: u8 = 0xEE;
const RANKS: [(&str, u8); 4] = [
    ("high", FIRST_HIGH),
    ("low", FIRST_LOW),
    ("high", LAST_HIGH),
    ("low", LAST_LOW),
];

/// Ranks that come first in successive rounds.
const TURNS: [usize; 4] = [0, 2, 1, 3];

/// Shares of the requests that are admitted, by [`RANKS`], at a load of `per_tick` requests of each.
fn play(per_tick: u32, pressure: f64) -> [f64; 4] {
    let service = ServiceName::new("deep").expect("a valid name");
    let mut cost = TreeCost::default();
    cost.add(&service, CALL_TIME, pressure);
    let mut admission = IngressAdmission::default();
    for (route, rank) in RANKS {
        admission.record_cost(route, rank, &cost, true);
    }
    let mut admitted = [0_u32; 4];
    let (mut asked, mut round) = (0, 0);
    for tick in 0..400 {
        let now = TimePoint::from_millis(tick * TICK_MS);
        admission.record_pressure(now, &service, QueuePressure::uniform(pressure));
        admission.tick(now, |_| FAIR_SHARE);
        // The first ticks fill the buckets.
        let is_counted = tick >= 40;
        for _ in 0..per_tick {
            round += 1;
            asked += u32::from(is_counted);
            for position in 0..RANKS.len() {
                // Requests of all ranks come in turns.
                let index = (position + TURNS[round % TURNS.len()]) % RANKS.len();
                let (route, rank) = RANKS[index];
                let Ok(request) = admission.admit(now, route, rank) else {
                    continue;
                };
                let ended = EndedRequest {
                    rank,
                    is_lifted: request.is_lifted,
                    is_served: true,
                };
                admission.record_end(now, route, ended);
                admitted[index] += u32::from(is_counted);
            }
        }
    }
    admitted.map(|admitted| f64::from(admitted) / f64::from(asked))
}

#[test]
fn the_account_goes_before_the_route() {
    for pressure in [1.5, 1.8] {
        let [_, first_low, last_high, _] = play(2, pressure);
        assert!(first_low > last_high, "{pressure}: {first_low} {last_high}");
    }
}

#[test]
fn no_account_is_shut_out() {
    for (per_tick, pressure) in [(1, 1.6), (2, 1.6), (4, 1.8), (8, 1.8)] {
        let shares = play(per_tick, pressure);
        let all: f64 = shares.iter().sum::<f64>() / 4.0;
        let last = f64::midpoint(shares[2], shares[3]);
        assert!(
            last >= MIN_SHARE_OF_ALL * all,
            "{per_tick} {pressure}: {shares:?}"
        );
    }
}
