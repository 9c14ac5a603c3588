//! A deep service that has lost all targets but one slow one, in logical time.
//!
//! Requests of the highest rank take three quarters of what is left. Those of the lowest rank are
//! of two kinds: one makes four calls to the service, one after another, the other a single call.
//! The target works more slowly from 95% of its slots on.

use {
    crate::load_model::{
        Crowding, KindInterval, KindResult, LoadSimulation, RequestKind, SimulationResult,
        SimulationSetup, kind, share,
    },
    banyantrestle::sidecar::LeastService,
    std::time::Duration,
};

const RUN_LENGTH: Duration = Duration::from_secs(30);
/// Intervals at the start in which the shares of the ranks settle.
const UNSETTLED_INTERVALS: usize = 1;
const FRONT_COUNTS: [usize; 3] = [3, 13, 67];
const SEEDS: [u64; 3] = [1, 2, 3];
/// Part of the mean share of all kinds below which a kind is starved.
const STARVED_SHARE: f64 = 0.25;
const SLOTS: u32 = 30;
const SPEED: f64 = 0.6;
/// Share of the slots that calls may hold without a slowdown.
const USABLE_SHARE: f64 = 0.93;

fn kinds() -> [RequestKind; 3] {
    [
        kind("read", 1, 172.0, 4, 40.0, 15.0, 1_000),
        kind("report", 1, 26.0, 1, 130.0, 0.0, 800),
        kind("change", 3, 78.0, 4, 40.0, 25.0, 1_200),
    ]
}

/// Plays each fleet with each seed; `check` gets a name of the play and its result.
fn play(least_service: LeastService, check: fn(&str, &SimulationResult)) {
    for fronts in FRONT_COUNTS {
        for seed in SEEDS {
            let setup = SimulationSetup {
                target_speeds: vec![SPEED],
                ingresses: fronts,
                least_service,
                callers: 3,
                returning_share: 0.7,
                crowding: Some(Crowding {
                    utilization: 0.95,
                    factor: 1.3,
                }),
                ..SimulationSetup::new(&kinds(), SLOTS, seed)
            };
            let result = LoadSimulation::new(setup).run(RUN_LENGTH);
            check(&format!("{fronts} fronts, seed {seed}"), &result);
        }
    }
}

/// Slot seconds that the requests of a kind need of the target for each second of `arrivals`.
fn slot_seconds(kind: RequestKind, requests: u32) -> f64 {
    f64::from(requests) * f64::from(kind.calls) * kind.call_ms / 1_000.0 / SPEED
}

fn served(kind: KindResult) -> f64 {
    share(kind.completed, kind.arrived)
}

#[test]
fn highest_rank_is_served_by_the_last_slow_target() {
    play(LeastService::NONE, |name, result| {
        let change = result.kinds[2];
        assert!(served(change) >= 0.97, "{name}: {result:?}");
    });
}

/// Share of the requests of some kinds that were served, also after a return, once the shares of the
/// ranks have settled.
fn settled_share(kinds: &[Vec<KindInterval>]) -> f64 {
    let settled = kinds
        .iter()
        .flat_map(|intervals| &intervals[UNSETTLED_INTERVALS..]);
    let (completed, arrived) = settled.fold((0, 0), |(completed, arrived), interval| {
        (completed + interval.completed, arrived + interval.arrived)
    });
    share(completed, arrived)
}

#[test]
fn lowest_rank_is_not_starved_by_the_highest_at_the_last_slow_target() {
    play(LeastService::default(), |name, result| {
        let read = settled_share(&result.intervals[..1]);
        let all = settled_share(&result.intervals);
        assert!(read >= STARVED_SHARE * all, "{name}: {read:.3} of {all:.3}");
        let least_due = 0.97 * (1.0 - LeastService::default().capacity_share);
        let change = served(result.kinds[2]);
        assert!(change >= least_due, "{name}: {change:.3}");
    });
}

#[test]
fn slots_that_the_highest_rank_leaves_serve_both_kinds_of_the_lowest() {
    play(LeastService::default(), |name, result| {
        let [read, report, change] = kinds();
        let [reads, reports, changes] = result.kinds[..] else {
            panic!("three kinds of requests");
        };
        let measured_s = f64::from(changes.arrived) / change.per_second;
        let usable = f64::from(SLOTS) * USABLE_SHARE * measured_s;
        let left = usable - slot_seconds(change, changes.arrived);
        let used = slot_seconds(read, reads.completed) + slot_seconds(report, reports.completed);
        assert!(
            used >= left / 3.0,
            "{name}: {used:.1} of {left:.1} slot seconds"
        );
        let (reads, reports) = (served(reads), served(reports));
        let is_even = reads >= reports / 3.0 && reports >= reads / 3.0;
        assert!(is_even, "{name}: {reads:.3} and {reports:.3} served");
    });
}
