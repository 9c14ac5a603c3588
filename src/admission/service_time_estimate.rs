use {
    super::{CompletionKind, ServiceSample, rank_table::RankTable},
    crate::time::TimePoint,
    std::time::Duration,
};

/// Minimum weight of a new sample; the first samples weigh more, as in a plain mean.
const SAMPLE_GAIN: f64 = 1.0 / 16.0;
/// Shortest service time that is distinguished, in seconds.
const MIN_SECONDS: f64 = 1e-6;
/// Time without samples after which an expected time starts to decay.
const ESTIMATE_HOLD: Duration = Duration::from_millis(500);
/// Half-life of a decaying expected time.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_millis(250);

/// Service time of each class.
///
/// The expected time is the geometric mean, so that a few slow calls do not cause the many fast
/// ones to be refused. It decays without samples, since an estimate that refuses every call would
/// otherwise never be corrected.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimeEstimate {
    ranks: RankTable<RankEstimate>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RankEstimate {
    /// Mean of the natural logarithms of the service times in seconds.
    log_seconds: f64,
    mean_seconds: f64,
    samples: u32,
    updated_at: TimePoint,
}

impl ServiceTimeEstimate {
    /// Records a completed call; one that failed or was cancelled counts only if it took longer
    /// than expected.
    pub(super) fn observe(&mut self, sample: &ServiceSample) {
        let latency = sample.latency();
        let is_success = sample.kind == CompletionKind::Success;
        if is_success || latency > self.expected_time(sample.finished_at, sample.rank) {
            let estimate = self.ranks.row_mut(sample.rank);
            estimate.observe(sample.finished_at, latency);
        }
    }

    /// Geometric mean of the service time, decayed; zero if there is no sample.
    pub(super) fn expected_time(&self, now: TimePoint, rank: u8) -> Duration {
        self.ranks
            .row(rank)
            .map_or(Duration::ZERO, |estimate| estimate.decayed_at(now))
    }

    /// Arithmetic mean of the service time; zero if there is no sample.
    pub(super) fn mean_time(&self, rank: u8) -> Duration {
        self.ranks.row(rank).map_or(Duration::ZERO, |estimate| {
            duration_from_seconds(estimate.mean_seconds)
        })
    }
}

impl RankEstimate {
    fn observe(&mut self, now: TimePoint, latency: Duration) {
        let seconds = latency.as_secs_f64().max(MIN_SECONDS);
        self.samples = self.samples.saturating_add(1);
        let gain = SAMPLE_GAIN.max(1.0 / f64::from(self.samples));
        self.log_seconds += gain * (seconds.ln() - self.log_seconds);
        self.mean_seconds += gain * (seconds - self.mean_seconds);
        self.updated_at = now;
    }

    fn decayed_at(&self, now: TimePoint) -> Duration {
        if self.samples == 0 {
            return Duration::ZERO;
        }
        let idle = now.since(self.updated_at).saturating_sub(ESTIMATE_HOLD);
        let halvings = idle.as_secs_f64() / ESTIMATE_HALF_LIFE.as_secs_f64();
        let seconds = self.log_seconds.exp() * (-halvings).exp2();
        duration_from_seconds(seconds)
    }
}

fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
