use {
    crate::time::TimePoint,
    std::{collections::HashMap, time::Duration},
};

/// Time for which a duration counts at least; it counts for twice that at most.
const WINDOW: Duration = Duration::from_secs(10);
/// Factor by which a request may take longer than all recent ones of its route.
const MARGIN: f64 = 1.5;

#[derive(Clone, Copy, Debug, Default)]
struct LongestDurations {
    current: Option<Duration>,
    previous: Option<Duration>,
}

/// Longest time that requests of each route have taken recently.
#[derive(Debug, Default)]
pub struct RouteDurations {
    routes: HashMap<String, LongestDurations>,
    window_start: TimePoint,
}

impl RouteDurations {
    /// Records that a request has taken `duration` from its first attempt to its end.
    pub fn record(&mut self, now: TimePoint, route: &str, duration: Duration) {
        self.advance(now);
        if let Some(longest) = self.routes.get_mut(route) {
            longest.current = longest.current.max(Some(duration));
        } else {
            let longest = LongestDurations {
                current: Some(duration),
                previous: None,
            };
            self.routes.insert(route.into(), longest);
        }
    }

    /// Time that a request of the route may take; `None` if none has ended recently.
    pub fn expected(&mut self, now: TimePoint, route: &str) -> Option<Duration> {
        self.advance(now);
        let longest = self.routes.get(route)?;
        let duration = longest.current.max(longest.previous)?;
        Some(duration.mul_f64(MARGIN))
    }

    fn advance(&mut self, now: TimePoint) {
        let elapsed = now.since(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        self.window_start = now;
        let is_recent = elapsed < WINDOW * 2;
        self.routes.retain(|_, longest| {
            *longest = LongestDurations {
                current: None,
                previous: longest.current.filter(|_| is_recent),
            };
            longest.previous.is_some()
        });
    }
}
