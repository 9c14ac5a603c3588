use {
    super::{CompletionKind, ServiceSample, rank_table::RankTable},
    crate::time::TimePoint,
    std::time::Duration,
};

/// Weight of the newest sample once there are enough.
const SAMPLE_GAIN: f64 = 1.0 / 16.0;
/// Shortest time that is told apart, in s.
const MIN_SECONDS: f64 = 1e-6;
/// Time without samples after which an estimate fades.
const ESTIMATE_HOLD: Duration = Duration::from_millis(500);
/// Time in which a decay_factor estimate halves.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_millis(250);

/// Service time of each class.
///
/// What a call is likely to need is the geometric mean, so that a few slow calls do not get the
/// many fast ones refused. It fades without samples: an estimate that refuses every call would
/// otherwise never be corrected.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTimeEstimate {
    ranks: RankTable<RankEstimate>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RankEstimate {
    log_seconds: f64,
    mean_seconds: f64,
    samples: u32,
    updated: TimePoint,
}

impl ServiceTimeEstimate {
    /// A call that failed or was cancelled counts only if it took longer than expected.
    pub(super) fn observe(&mut self, sample: &ServiceSample) {
        let latency = sample.latency();
        let is_success = sample.kind == CompletionKind::Success;
        if is_success || latency > self.expected_time(sample.finished, sample.rank) {
            let estimate = self.ranks.row_mut(sample.rank);
            estimate.observe(sample.finished, latency);
        }
    }

    /// What a call is likely to need; zero if nothing is known.
    pub(super) fn expected_time(&self, now: TimePoint, rank: u8) -> Duration {
        self.ranks
            .row(rank)
            .map_or(Duration::ZERO, |estimate| estimate.decayed_at(now))
    }

    /// What a call takes up on average; zero if nothing is known.
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
        self.updated = now;
    }

    fn decayed_at(&self, now: TimePoint) -> Duration {
        if self.samples == 0 {
            return Duration::ZERO;
        }
        let idle = now.since(self.updated).saturating_sub(ESTIMATE_HOLD);
        let halvings = idle.as_secs_f64() / ESTIMATE_HALF_LIFE.as_secs_f64();
        let seconds = self.log_seconds.exp() * (-halvings).exp2();
        duration_from_seconds(seconds)
    }
}

fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
