use {crate::time::TimePoint, std::time::Duration};

/// Decides when a call is dropped from a standing queue, by the control law of `CoDel` (RFC 8289).
///
/// The control law sets how many calls are dropped; the order of the queue sets which.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SojournControl {
    /// Time from which the queue counts as standing: one interval after its delay exceeded the
    /// target. `None` while the delay is at most the target.
    standing_from: Option<TimePoint>,
    schedule: Option<DropSchedule>,
}

#[derive(Clone, Copy, Debug)]
struct DropSchedule {
    next_drop_at: TimePoint,
    /// Drops since the queue became standing.
    count: u32,
}

impl SojournControl {
    /// Whether one call must be dropped now; must be called again after each drop until it returns
    /// false.
    pub(super) fn is_drop_due(
        &mut self,
        now: TimePoint,
        delay: Duration,
        target: Duration,
        interval: Duration,
    ) -> bool {
        if delay <= target {
            *self = Self::default();
            return false;
        }
        self.standing_from.get_or_insert(now + interval);
        if !self.is_standing(now) {
            return false;
        }
        let schedule = self.schedule.get_or_insert(DropSchedule {
            next_drop_at: now,
            count: 0,
        });
        if now < schedule.next_drop_at {
            return false;
        }
        schedule.count += 1;
        schedule.next_drop_at =
            schedule.next_drop_at + interval.div_f64(f64::from(schedule.count).sqrt());
        true
    }

    /// Whether the delay has been above its target for an interval.
    pub(super) fn is_standing(&self, now: TimePoint) -> bool {
        self.standing_from
            .is_some_and(|standing_from| now >= standing_from)
    }
}
