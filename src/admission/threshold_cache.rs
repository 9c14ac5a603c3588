use {
    super::{AdmissionRefusal, RefusalReason},
    crate::{
        context::{CallPriority, ClassName, ServiceName},
        time::TimePoint,
    },
    rand::{Rng, RngExt},
    std::{collections::HashMap, time::Duration},
};

/// Maximum number of services with cached thresholds; calls to further ones are always admitted.
const MAX_SERVICES: usize = 1_024;
/// Maximum number of classes of one service with a cached threshold.
const MAX_CLASSES: usize = 256;
/// Time for which a threshold stays in full effect without a further response.
const THRESHOLD_HOLD: Duration = Duration::from_millis(300);
/// Time after [`THRESHOLD_HOLD`] in which a threshold decreases linearly to the lowest priority.
const THRESHOLD_DECAY: Duration = Duration::from_millis(700);
/// One in this many calls below a threshold is admitted, to detect the end of the overload.
const CALLS_PER_PROBE: u32 = 32;
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Range of the random time added to the retry delay, so that retries do not arrive together.
const RETRY_JITTER: Duration = Duration::from_secs(2);

/// Admission thresholds of downstream services, as returned on their responses.
///
/// A daemon uses them to refuse calls at the start of a chain, before any work is done for them.
/// The thresholds of a service's targets differ, so a new value is averaged with the cached one. A
/// threshold that is not confirmed decays, so that it does not outlast the overload.
#[derive(Clone, Debug, Default)]
pub struct ThresholdCache {
    services: HashMap<ServiceName, Vec<CachedThreshold>>,
}

#[derive(Clone, Debug)]
struct CachedThreshold {
    class: ClassName,
    threshold: CallPriority,
    updated_at: TimePoint,
    /// Calls below the threshold since the last one that was admitted.
    calls_since_probe: u32,
}

impl ThresholdCache {
    /// Records a threshold from a response.
    pub fn record(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        class: &ClassName,
        threshold: CallPriority,
    ) {
        if let Some(cached) = self.cached_mut(service, class) {
            cached.threshold = cached.decayed_at(now).midpoint(threshold);
            cached.updated_at = now;
        } else if threshold > CallPriority::LOWEST {
            self.insert(now, service, class, threshold);
        }
    }

    /// Whether a call is sent; a few calls below the threshold are sent as probes.
    pub fn is_admitted(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        class: &ClassName,
        priority: CallPriority,
    ) -> bool {
        let Some(cached) = self.cached_mut(service, class) else {
            return true;
        };
        if priority >= cached.decayed_at(now) {
            return true;
        }
        cached.calls_since_probe = (cached.calls_since_probe + 1) % CALLS_PER_PROBE;
        cached.calls_since_probe == 0
    }

    /// Refusal of a call that was not admitted.
    pub fn refusal<R: Rng + ?Sized>(&self, rng: &mut R) -> AdmissionRefusal {
        AdmissionRefusal {
            reason: RefusalReason::DownstreamThreshold,
            retry_after: MIN_RETRY_AFTER + RETRY_JITTER.mul_f64(rng.random()),
        }
    }

    /// Removes thresholds that have decayed to the lowest priority.
    pub fn tick(&mut self, now: TimePoint) {
        for thresholds in self.services.values_mut() {
            thresholds.retain(|cached| cached.decayed_at(now) > CallPriority::LOWEST);
        }
        self.services.retain(|_, thresholds| !thresholds.is_empty());
    }

    fn cached_mut(
        &mut self,
        service: &ServiceName,
        class: &ClassName,
    ) -> Option<&mut CachedThreshold> {
        let thresholds = self.services.get_mut(service)?;
        thresholds.iter_mut().find(|cached| cached.class == *class)
    }

    fn insert(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        class: &ClassName,
        threshold: CallPriority,
    ) {
        if self.services.len() >= MAX_SERVICES && !self.services.contains_key(service) {
            return;
        }
        let thresholds = self.services.entry(service.clone()).or_default();
        if thresholds.len() < MAX_CLASSES {
            thresholds.push(CachedThreshold {
                class: class.clone(),
                threshold: CallPriority::LOWEST.midpoint(threshold),
                updated_at: now,
                calls_since_probe: 0,
            });
        }
    }
}

impl CachedThreshold {
    fn decayed_at(&self, now: TimePoint) -> CallPriority {
        let unconfirmed = now.since(self.updated_at).saturating_sub(THRESHOLD_HOLD);
        let decayed = unconfirmed.as_secs_f64() / THRESHOLD_DECAY.as_secs_f64();
        self.threshold.scaled(1.0 - decayed)
    }
}
