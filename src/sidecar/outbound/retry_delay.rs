use {super::super::RouteRule, rand::RngExt, std::time::Duration};

/// Retry delay that refused callers get when no estimate is known.
pub(super) const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Random part of a retry delay, as a share of the latency objective of the route.
const RETRY_JITTER_SHARE: f64 = 0.5;
/// Lower bound of the retry delay without its random part.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(40);

/// Retry delay of a refused caller, with jitter so that callers do not return at the same time.
pub(super) fn retry_after(rule: &RouteRule, delay: Duration) -> Duration {
    let max_jitter = rule.latency_objective.mul_f64(RETRY_JITTER_SHARE);
    let delay = delay.clamp(MIN_RETRY_DELAY, max_jitter.max(MIN_RETRY_DELAY));
    delay + max_jitter.mul_f64(rand::rng().random())
}

/// Retry delay of a caller whose account has used up its limit for this time.
pub(super) fn retry_after_limit(rule: &RouteRule, wait: Duration) -> Duration {
    let max_jitter = rule.latency_objective.mul_f64(RETRY_JITTER_SHARE);
    wait.max(MIN_RETRY_DELAY) + max_jitter.mul_f64(rand::rng().random())
}
