use {
    crate::admission::GuardLoad,
    metrics::{counter, gauge, histogram},
    metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle},
    std::{sync::OnceLock, time::Duration},
};

static RECORDER: OnceLock<PrometheusHandle> = OnceLock::new();

/// Handle to the metrics of this process, which all its daemons share.
pub(crate) fn process_recorder() -> PrometheusHandle {
    RECORDER.get_or_init(install_recorder).clone()
}

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 11] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

fn install_recorder() -> PrometheusHandle {
    // Each sample is kept until the next upkeep moves it into a bucket; buckets bound the memory.
    let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS);
    let recorder = builder.unwrap_or_default().build_recorder();
    let handle = recorder.handle();
    // If the embedding program has installed its own recorder, that one receives all metrics.
    metrics::set_global_recorder(recorder).ok();
    handle
}

/// Counts a final response to a caller and records its latency.
pub(crate) fn count_response(class: &str, status: u16, outcome: &'static str, elapsed: Duration) {
    let class = class.to_owned();
    counter!("banyantrestle_requests_total",
        "class" => class.clone(), "status" => status.to_string(), "outcome" => outcome)
    .increment(1);
    histogram!("banyantrestle_request_seconds", "class" => class).record(elapsed);
}

/// Counts a refusal that is sent to a caller or to the target.
pub(crate) fn count_refusal(kind: &'static str) {
    counter!("banyantrestle_refusals_total", "reason" => kind).increment(1);
}

/// Counts a retry that is sent.
pub(crate) fn count_retry() {
    counter!("banyantrestle_retries_total").increment(1);
}

/// Sets the gauges for the load of the guard.
pub(crate) fn set_load_gauges(load: &GuardLoad) {
    gauge!("banyantrestle_guard_running").set(load.in_flight);
    gauge!("banyantrestle_guard_queued").set(load.queued);
    gauge!("banyantrestle_guard_limit").set(load.limit);
    gauge!("banyantrestle_guard_threshold").set(load.threshold.as_u32());
}
