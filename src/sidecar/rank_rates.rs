use {
    crate::time::{TimePoint, decay_factor},
    std::{collections::BTreeMap, time::Duration},
};

/// Average number of events below which a rank is dropped.
const MIN_EVENTS: f64 = 0.01;

/// Moving average of the events per second of each rank.
#[derive(Clone, Debug)]
pub(super) struct RankRates {
    time_constant: Duration,
    /// Events by rank, each decayed by its age.
    events: BTreeMap<u8, f64>,
    updated_at: TimePoint,
}

impl RankRates {
    pub(super) fn new(time_constant: Duration, now: TimePoint) -> Self {
        Self {
            time_constant,
            events: BTreeMap::new(),
            updated_at: now,
        }
    }

    pub(super) fn record(&mut self, now: TimePoint, rank: u8) {
        self.advance(now);
        *self.events.entry(rank).or_default() += 1.0;
    }

    pub(super) fn advance(&mut self, now: TimePoint) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let decay = decay_factor(elapsed, self.time_constant);
        self.updated_at = now;
        self.events.retain(|_, events| {
            *events *= decay;
            *events > MIN_EVENTS
        });
    }

    /// Events per second of the ranks above `rank`.
    pub(super) fn per_second_above(&self, rank: u8) -> f64 {
        let events = self.events.iter().filter(|(other, _)| **other > rank);
        let sum: f64 = events.map(|(_, events)| events).sum();
        sum / self.time_constant.as_secs_f64()
    }
}
