//! Limits on the retries of one user request across its whole chain.

use {
    banyantrestle::{
        context::{RequestId, RunOutcome},
        retry::{
            AttemptHistory, BudgetTable, FailureScope, MAX_BUDGETS, PermitDecision, RetryBucket,
            RetryBudget, RetrySafety,
        },
        time::TimePoint,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    std::time::Duration,
};

const NOW: TimePoint = TimePoint::from_millis(1_000);
const LATER: TimePoint = TimePoint::from_millis(2_000);

fn request(number: u128) -> RequestId {
    RequestId::from_u128(number)
}

fn config_with_fixed_seed() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    }
}

#[test]
fn budget_grants_its_limit_and_no_more() {
    let mut budgets = BudgetTable::new();
    budgets.register(request(1), RetryBudget::new(2, LATER));
    let decisions: Vec<_> = (0..4)
        .map(|_| budgets.try_acquire(NOW, request(1)))
        .collect();
    assert_eq!(
        decisions,
        [
            PermitDecision::Granted,
            PermitDecision::Granted,
            PermitDecision::Exhausted,
            PermitDecision::Exhausted,
        ]
    );
    assert_eq!(budgets.remove(request(1)), 2);
}

#[test]
fn ended_or_unknown_requests_get_no_retry() {
    let mut budgets = BudgetTable::new();
    budgets.register(request(1), RetryBudget::new(2, LATER));
    assert_eq!(
        budgets.try_acquire(NOW, request(2)),
        PermitDecision::UnknownRequest
    );
    assert_eq!(
        budgets.try_acquire(LATER, request(1)),
        PermitDecision::UnknownRequest
    );
    budgets.remove(request(1));
    assert_eq!(
        budgets.try_acquire(NOW, request(1)),
        PermitDecision::UnknownRequest
    );
}

#[test]
fn reopening_a_budget_does_not_refill_it() {
    let mut budgets = BudgetTable::new();
    budgets.register(request(1), RetryBudget::new(1, LATER));
    budgets.try_acquire(NOW, request(1));
    budgets.register(request(1), RetryBudget::new(1, LATER));
    assert_eq!(
        budgets.try_acquire(NOW, request(1)),
        PermitDecision::Exhausted
    );
}

#[test]
fn budget_table_is_bounded() {
    let mut budgets = BudgetTable::new();
    for number in 0..MAX_BUDGETS {
        assert!(budgets.register(request(number as u128), RetryBudget::new(1, LATER)));
    }
    assert!(!budgets.register(request(u128::MAX), RetryBudget::new(1, LATER)));
    assert_eq!(budgets.len(), MAX_BUDGETS);
}

#[test]
fn bucket_allows_its_share_of_first_attempts() {
    let mut bucket = RetryBucket::new();
    while bucket.try_acquire() {}
    for _ in 0..100 {
        bucket.record_attempt(10);
    }
    let granted = std::iter::repeat_with(|| bucket.try_acquire())
        .take_while(|is_granted| *is_granted)
        .count();
    assert_eq!(granted, 10);
}

#[test]
fn bucket_saves_up_no_more_than_its_capacity() {
    let mut bucket = RetryBucket::new();
    for _ in 0..100_000 {
        bucket.record_attempt(100);
    }
    let granted = std::iter::repeat_with(|| bucket.try_acquire())
        .take_while(|is_granted| *is_granted)
        .count();
    assert_eq!(granted, 10);
}

/// One call of a chain: the failures before it succeeds, and the calls that it makes.
#[derive(Clone, Debug)]
struct ChainCall {
    failures: u8,
    /// The response of the root daemon to the first permit request is lost.
    is_permit_lost: bool,
    children: Vec<ChainCall>,
}

fn chain_call() -> impl Strategy<Value = ChainCall> {
    let leaf = (0_u8..4, any::<bool>()).prop_map(|(failures, is_permit_lost)| ChainCall {
        failures,
        is_permit_lost,
        children: Vec::new(),
    });
    leaf.prop_recursive(12, 64, 3, |inner| {
        (0_u8..4, any::<bool>(), prop::collection::vec(inner, 0..3)).prop_map(
            |(failures, is_permit_lost, children)| ChainCall {
                failures,
                is_permit_lost,
                children,
            },
        )
    })
}

/// Runs a call and the calls it makes; returns the number of retries.
fn run_call(
    budgets: &mut BudgetTable,
    id: RequestId,
    call: &ChainCall,
    now: &mut TimePoint,
) -> u32 {
    let mut retries = 0;
    for attempt in 0..=call.failures {
        *now = *now + Duration::from_millis(1);
        if attempt > 0 {
            let decision = budgets.try_acquire(*now, id);
            if call.is_permit_lost || decision != PermitDecision::Granted {
                break;
            }
            retries += 1;
        }
        for child in &call.children {
            retries += run_call(budgets, id, child, now);
        }
    }
    retries
}

fn failed_attempt() -> impl Strategy<Value = (RunOutcome, FailureScope)> {
    let outcome = prop_oneof![
        Just(RunOutcome::NotRun),
        Just(RunOutcome::Unknown),
        Just(RunOutcome::Run)
    ];
    let scope = prop_oneof![Just(FailureScope::Target), Just(FailureScope::Call)];
    (outcome, scope)
}

proptest! {
    #![proptest_config(config_with_fixed_seed())]

    #[test]
    fn not_run_is_reported_only_if_no_attempt_may_have_run(
        attempts in prop::collection::vec(failed_attempt(), 1..8),
        is_idempotent in any::<bool>(),
    ) {
        let safety = if is_idempotent { RetrySafety::Idempotent } else { RetrySafety::NonIdempotent };
        let mut history = AttemptHistory::new(safety);
        let mut started = 0;
        for (outcome, scope) in attempts {
            started += u32::from(outcome != RunOutcome::NotRun);
            if !history.record_failure(outcome, scope) {
                break;
            }
        }
        prop_assert_eq!(history.outcome() == RunOutcome::NotRun, started == 0);
        prop_assert!(is_idempotent || started <= 1);
    }

    #[test]
    fn retries_are_bounded_at_any_depth_and_fan_out(call in chain_call(), limit in 0_u32..6) {
        let mut budgets = BudgetTable::new();
        let mut now = NOW;
        let deadline = NOW + Duration::from_secs(3_600);
        budgets.register(request(1), RetryBudget::new(limit, deadline));
        let retries = run_call(&mut budgets, request(1), &call, &mut now);
        prop_assert!(retries <= limit);
        prop_assert!(budgets.remove(request(1)) <= limit);
    }
}
