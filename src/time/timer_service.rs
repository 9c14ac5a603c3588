use {
    super::{ProcessClock, TimePoint},
    std::time::Duration,
    tokio::time::{MissedTickBehavior, interval},
    xtra::{Address, Handler},
};

/// One tick of a subscription. Missed ticks are skipped.
#[derive(Clone, Copy, Debug)]
pub struct TimerTick {
    pub now: TimePoint,
}

/// Sends periodic ticks to actors and runs periodic tasks.
///
/// A subscription ends once its actor has stopped.
#[derive(Clone, Copy, Debug)]
pub struct TimerService {
    clock: ProcessClock,
}

impl TimerService {
    #[must_use]
    pub fn new(clock: ProcessClock) -> Self {
        Self { clock }
    }

    /// Sends a tick to `subscriber` every `period`.
    pub fn subscribe<A>(&self, period: Duration, subscriber: Address<A>)
    where
        A: Handler<TimerTick>,
    {
        let clock = self.clock;
        tokio::spawn(async move {
            let mut ticks = interval(period);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
            loop {
                ticks.tick().await;
                let now = clock.now();
                if subscriber.send(TimerTick { now }).await.is_err() {
                    break;
                }
            }
        });
    }

    /// Runs `task` every `period` until it returns false.
    pub fn run_periodically<F>(&self, period: Duration, mut task: F)
    where
        F: FnMut(TimePoint) -> bool + Send + 'static,
    {
        let clock = self.clock;
        tokio::spawn(async move {
            let mut ticks = interval(period);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
            loop {
                ticks.tick().await;
                if !task(clock.now()) {
                    break;
                }
            }
        });
    }
}
