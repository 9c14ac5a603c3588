use {
    super::{AdmissionRefusal, RefusalReason},
    crate::{
        context::{CallPriority, ClassName, ServiceName},
        time::TimePoint,
    },
    rand::{Rng, RngExt},
    std::{collections::HashMap, time::Duration},
};

/// Services with a row of their own; further ones are not gated.
const MAX_SERVICES: usize = 1_024;
/// Classes of one service with a row of their own.
const MAX_CLASSES: usize = 256;
/// Time for which a threshold holds in full.
const THRESHOLD_HOLD: Duration = Duration::from_millis(300);
/// Time in which it then falls to the lowest.
const THRESHOLD_DECAY: Duration = Duration::from_millis(700);
/// One in so many calls below a threshold is let through, to learn whether pressure has ended.
const CALLS_PER_PROBE: u32 = 32;
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time over which the returning calls are spread.
const RETRY_JITTER: Duration = Duration::from_secs(2);

/// Thresholds of services further down, as answers carried them back.
///
/// A daemon sheds by them at the front of the chain, before a call has cost anything. The targets
/// of a service differ, so a new threshold is averaged in. One that is not confirmed fades, so that
/// it cannot outlast the pressure.
#[derive(Clone, Debug, Default)]
pub struct ThresholdCache {
    services: HashMap<ServiceName, Vec<CachedThreshold>>,
}

#[derive(Clone, Debug)]
struct CachedThreshold {
    class: ClassName,
    threshold: CallPriority,
    updated: TimePoint,
    refused: u32,
}

impl ThresholdCache {
    /// Takes the threshold that an answer carried back.
    pub fn record(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        class: &ClassName,
        threshold: CallPriority,
    ) {
        if let Some(row) = self.row_mut(service, class) {
            row.threshold = row.decayed_at(now).midpoint(threshold);
            row.updated = now;
        } else if threshold > CallPriority::LOWEST {
            self.insert(now, service, class, threshold);
        }
    }

    /// Whether a call is worth sending; a few of those below are.
    pub fn is_admitted(
        &mut self,
        now: TimePoint,
        service: &ServiceName,
        class: &ClassName,
        priority: CallPriority,
    ) -> bool {
        let Some(row) = self.row_mut(service, class) else {
            return true;
        };
        if priority >= row.decayed_at(now) {
            return true;
        }
        row.refused = (row.refused + 1) % CALLS_PER_PROBE;
        row.refused == 0
    }

    /// The refusal of a call that was not admitted.
    pub fn refusal<R: Rng + ?Sized>(&self, rng: &mut R) -> AdmissionRefusal {
        AdmissionRefusal {
            reason: RefusalReason::DownstreamThreshold,
            retry_after: MIN_RETRY_AFTER + RETRY_JITTER.mul_f64(rng.random()),
        }
    }

    /// Forgets what has faded.
    pub fn tick(&mut self, now: TimePoint) {
        for rows in self.services.values_mut() {
            rows.retain(|row| row.decayed_at(now) > CallPriority::LOWEST);
        }
        self.services.retain(|_, rows| !rows.is_empty());
    }

    fn row_mut(
        &mut self,
        service: &ServiceName,
        class: &ClassName,
    ) -> Option<&mut CachedThreshold> {
        let rows = self.services.get_mut(service)?;
        rows.iter_mut().find(|row| row.class == *class)
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
        let rows = self.services.entry(service.clone()).or_default();
        if rows.len() < MAX_CLASSES {
            rows.push(CachedThreshold {
                class: class.clone(),
                threshold: CallPriority::LOWEST.midpoint(threshold),
                updated: now,
                refused: 0,
            });
        }
    }
}

impl CachedThreshold {
    fn decayed_at(&self, now: TimePoint) -> CallPriority {
        let unconfirmed = now.since(self.updated).saturating_sub(THRESHOLD_HOLD);
        let decayed = unconfirmed.as_secs_f64() / THRESHOLD_DECAY.as_secs_f64();
        self.threshold.scaled(1.0 - decayed)
    }
}
