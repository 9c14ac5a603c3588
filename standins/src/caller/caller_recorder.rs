use {
    super::{CallerClass, CallerReport, ClassReport, SERIES_STEP, SeriesBucket},
    crate::client::CallResult,
    banyantrestle::context::RunOutcome,
    hdrhistogram::Histogram,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

/// Maximum number of distinct refusal reasons per class; further reasons are not counted.
const MAX_REASONS: usize = 32;
/// Longest recorded latency; longer ones are recorded as this.
const MAX_LATENCY_US: u64 = 120_000_000;
const LATENCY_SIGNIFICANT_DIGITS: u8 = 3;

/// One request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct CallerRequest {
    /// Index of its class in the settings.
    pub class: usize,
    pub arrived_at: Instant,
}

/// Counters and latencies of a running fleet.
#[derive(Debug)]
pub struct CallerRecorder {
    started: Instant,
    report: CallerReport,
    latencies: Vec<Histogram<u64>>,
}

impl CallerRecorder {
    pub fn new(classes: &[CallerClass]) -> Self {
        let report = |class: &CallerClass| ClassReport {
            name: class.name.clone(),
            ..ClassReport::default()
        };
        let histogram = |_| {
            Histogram::new_with_max(MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS)
                .expect("the bounds are constant and in range")
        };
        Self {
            started: Instant::now(),
            report: CallerReport {
                classes: classes.iter().map(report).collect(),
                ..CallerReport::default()
            },
            latencies: classes.iter().map(histogram).collect(),
        }
    }

    pub fn record_arrival(&mut self, request: CallerRequest) {
        self.report.classes[request.class].offered += 1;
        self.bucket(request.class, request.arrived_at).offered += 1;
    }

    pub fn record_retry(&mut self, request: CallerRequest) {
        self.report.classes[request.class].retries += 1;
    }

    /// Counts the result of one attempt.
    pub fn record_attempt(&mut self, request: CallerRequest, attempt: &str, result: &CallResult) {
        let class = &mut self.report.classes[request.class];
        match result {
            CallResult::Complete => {
                self.report.succeeded_attempts.insert(attempt.into());
            }
            CallResult::Refused {
                outcome, detail, ..
            } => {
                match outcome {
                    Some(RunOutcome::NotRun) => {
                        class.not_run += 1;
                        self.report.not_run_attempts.push(attempt.into());
                    }
                    Some(RunOutcome::Unknown) => class.unknown += 1,
                    Some(RunOutcome::Run) => class.run += 1,
                    None => class.without_outcome += 1,
                }
                count_reason(&mut class.reasons, detail);
            }
            CallResult::WrongResponse(_) => class.wrong += 1,
            CallResult::Failed(_) => class.failed += 1,
            CallResult::TimedOut => class.timed_out += 1,
        }
    }

    /// Counts a request that got a complete response at `attempt`, counted from 0.
    pub fn record_success(&mut self, request: CallerRequest, attempt: u32) {
        self.report.classes[request.class].succeeded += 1;
        let latency = u64::try_from(request.arrived_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        self.latencies[request.class].saturating_record(latency);
        self.bucket(request.class, Instant::now()).completed += 1;
        let bucket = self.bucket(request.class, request.arrived_at);
        bucket.succeeded += 1;
        bucket.succeeded_first += u32::from(attempt == 0);
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn report(&self) -> CallerReport {
        let mut report = self.report.clone();
        for (class, latencies) in report.classes.iter_mut().zip(&self.latencies) {
            class.p50_ms = quantile_ms(latencies, 0.5);
            class.p99_ms = quantile_ms(latencies, 0.99);
        }
        report
    }

    fn bucket(&mut self, class: usize, time: Instant) -> &mut SeriesBucket {
        let since = time.saturating_duration_since(self.started);
        let step = since.as_millis() / SERIES_STEP.as_millis();
        let step = usize::try_from(step).unwrap_or_default();
        let series = &mut self.report.classes[class].series.0;
        if series.len() <= step {
            series.resize(step + 1, SeriesBucket::default());
        }
        &mut series[step]
    }
}

fn count_reason(reasons: &mut BTreeMap<String, u64>, detail: &str) {
    if let Some(count) = reasons.get_mut(detail) {
        *count += 1;
    } else if reasons.len() < MAX_REASONS {
        reasons.insert(detail.into(), 1);
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "latencies stay far below 2^52 us"
)]
fn quantile_ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / 1_000.0
}
