//! How far proofs of the configuration travel between sidecars, by the number of those that reach the
//! store.

use {
    banyantrestle::{
        accounts::{ConfigProof, ProofReport, ProofRule, ProofSchedule, ProofStep},
        time::TimePoint,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

const STEP_MS: u64 = 100;
const RUN_MS: u64 = 30_000;
/// Time after which the run is judged.
const SETTLE_MS: u64 = 3_000;
const BOUND: Duration = Duration::from_secs(5);

/// Conditions of a run.
#[derive(Clone, Copy)]
struct Conditions {
    size: usize,
    /// Share of the sidecars that the store turns away.
    away: f64,
    /// Share of the messages that are lost.
    loss: f64,
    /// Calls a second between sidecars, as seen by each; their responses bring proofs along.
    calls_per_s: f64,
}

#[derive(Debug, Default)]
struct FreshnessResult {
    /// Share of the time in which a sidecar refused keys.
    refusing: f64,
    oldest_ms: u64,
    store_calls_per_s: f64,
    messages_per_s: f64,
}

fn play(conditions: Conditions, seed: u64) -> FreshnessResult {
    let Conditions {
        size,
        away,
        loss,
        calls_per_s,
    } = conditions;
    let mut rng = StdRng::seed_from_u64(seed);
    let rule = ProofRule::within(BOUND);
    let is_away: Vec<bool> = (0..size)
        .map(|front| count(front) + 0.5 < away * count(size))
        .collect();
    let mut schedules = vec![ProofSchedule::default(); size];
    let mut proofs = vec![ConfigProof::default(); size];
    let (mut store_calls, mut messages, mut refusing, mut checks) = (0_u32, 0_u32, 0_u32, 0_u32);
    let mut oldest = Duration::ZERO;
    for time_ms in (0..RUN_MS).step_by(100) {
        let now = TimePoint::from_millis(100_000 + time_ms);
        for front in 0..size {
            let calls = calls_per_s * f64::from(u32::try_from(STEP_MS).unwrap_or(0)) / 1_000.0;
            let mut pulls = u32::from(rng.random_bool(calls.fract()));
            pulls += (0..8)
                .map(|number| u32::from(calls >= f64::from(number + 1)))
                .sum::<u32>();
            let step = schedules[front].next_step(now, proofs[front].age(now), size, &mut rng);
            match step {
                ProofStep::Wait => {}
                ProofStep::AskPeer => {
                    pulls += 1;
                    messages += 1;
                }
                ProofStep::AskStore => {
                    store_calls += 1;
                    let has_answered = !is_away[front] && !rng.random_bool(loss);
                    if has_answered {
                        proofs[front].record(now);
                    }
                    schedules[front].record_store(now, has_answered, &mut rng);
                }
            }
            for _ in 0..pulls {
                let peer = rng.random_range(0..size);
                if peer != front
                    && !rng.random_bool(loss)
                    && let Some(age) = proofs[peer].age(now)
                {
                    proofs[front].merge(1, now, ProofReport { version: 1, age });
                }
            }
            if time_ms >= SETTLE_MS {
                checks += 1;
                refusing += u32::from(proofs[front].valid_until(&rule, now).is_none());
                oldest = oldest.max(proofs[front].age(now).unwrap_or(BOUND));
            }
        }
    }
    let seconds = f64::from(u32::try_from(RUN_MS).unwrap_or(1)) / 1_000.0;
    FreshnessResult {
        refusing: f64::from(refusing) / f64::from(checks),
        oldest_ms: u64::try_from(oldest.as_millis()).unwrap_or(u64::MAX),
        store_calls_per_s: f64::from(store_calls) / seconds,
        messages_per_s: f64::from(messages) / seconds,
    }
}

fn count(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

#[test]
fn proofs_reach_all_sidecars_while_a_third_is_turned_away_by_the_store() {
    for size in [3, 13, 89, 300] {
        for (away, loss, calls_per_s) in [(0.0, 0.0, 25.0), (0.35, 0.0, 25.0), (0.35, 0.05, 0.0)] {
            let conditions = Conditions {
                size,
                away,
                loss,
                calls_per_s,
            };
            let result = play(conditions, 7);
            println!("{size} away {away} loss {loss} calls {calls_per_s}: {result:?}");
            assert!(result.refusing <= 0.0, "{size} {away}: {result:?}");
            assert!(result.oldest_ms < 4_000, "{size} {away}: {result:?}");
            // Without relays, each sidecar would ask the store once a second.
            assert!(
                result.store_calls_per_s < count(size),
                "{size} {away}: {result:?}"
            );
            assert!(
                result.messages_per_s < 5.0 * count(size),
                "{size} {away}: {result:?}"
            );
        }
    }
}

#[test]
fn no_proof_outlives_the_store() {
    let conditions = Conditions {
        size: 13,
        away: 1.0,
        loss: 0.0,
        calls_per_s: 25.0,
    };
    let result = play(conditions, 7);
    assert!(result.refusing >= 1.0, "{result:?}");
}
