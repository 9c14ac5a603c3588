use {
    super::{
        CallerClass, CallerReport, CallerSettings, RetryHabit,
        caller_record::{CallerRecord, CallerRequest},
    },
    crate::client::{CallClient, CallResult, OutboundCall},
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch,
        task::{JoinHandle, JoinSet},
        time::{sleep, sleep_until},
    },
};

/// Pace at which a class without arrivals looks for a changed rate.
const PACE_CHECK: Duration = Duration::from_millis(20);

/// Callers of all classes at work; dropping the fleet ends them at once.
#[derive(Debug)]
pub struct CallerFleet {
    state: Arc<FleetState>,
    pace: watch::Sender<FleetPace>,
    classes: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct FleetState {
    settings: CallerSettings,
    client: CallClient,
    record: Mutex<CallerRecord>,
}

#[derive(Clone, Debug)]
struct FleetPace {
    /// Factor on the rate of each class.
    factors: Vec<f64>,
    is_stopping: bool,
}

impl CallerFleet {
    /// Starts the arrivals of all classes.
    #[must_use]
    pub fn start(settings: CallerSettings, client: CallClient) -> Self {
        let factors = vec![1.0; settings.classes.len()];
        let record = Mutex::new(CallerRecord::new(&settings.classes));
        let pace = watch::Sender::new(FleetPace {
            factors,
            is_stopping: false,
        });
        let state = Arc::new(FleetState {
            settings,
            client,
            record,
        });
        let indices = 0..state.settings.classes.len();
        let classes = indices
            .map(|class| {
                let arrivals = ClassArrivals::new(class, &state, pace.subscribe());
                tokio::spawn(arrivals.run())
            })
            .collect();
        Self {
            state,
            pace,
            classes,
        }
    }

    /// Multiplies the rates of all classes from now on.
    pub fn set_factor(&self, factor: f64) {
        let change = |pace: &mut FleetPace| pace.factors.fill(factor);
        self.pace.send_modify(change);
    }

    /// Multiplies the rate of one class from now on.
    pub fn set_class_factor(&self, class: usize, factor: f64) {
        self.pace.send_modify(|pace| pace.factors[class] = factor);
    }

    /// Time since the start.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.state.record().elapsed()
    }

    #[must_use]
    pub fn report(&self) -> CallerReport {
        self.state.record().report()
    }

    /// Ends the arrivals and waits for the requests in flight.
    pub async fn stop(mut self) -> CallerReport {
        self.pace.send_modify(|pace| pace.is_stopping = true);
        for class in &mut self.classes {
            // A class that panicked shows in its counts.
            let _ = class.await;
        }
        self.report()
    }
}

impl Drop for CallerFleet {
    fn drop(&mut self) {
        for class in &self.classes {
            class.abort();
        }
    }
}

impl FleetState {
    fn record(&self) -> MutexGuard<'_, CallerRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run(&self, request: CallerRequest, identity: String, jitter: f64) {
        let class = &self.settings.classes[request.class];
        self.record().offer(request);
        for attempt in 0..self.settings.habit.attempts() {
            if attempt > 0 {
                self.record().retry(request);
            }
            let call = outbound(class, &identity, attempt);
            let result = self.client.call(&call).await;
            self.record().attempt(request, &call.attempt, &result);
            if result.is_complete() {
                self.record().whole(request, attempt);
                return;
            }
            let Some(pause) = self.settings.habit.pause(&result, jitter) else {
                return;
            };
            sleep(pause).await;
        }
    }
}

impl RetryHabit {
    fn attempts(self) -> u32 {
        match self {
            Self::Never => 1,
            Self::Hard { attempts } | Self::Patient { attempts } => attempts,
        }
    }

    /// Time to wait before the next attempt; `None` to give up.
    fn pause(self, result: &CallResult, jitter: f64) -> Option<Duration> {
        match self {
            Self::Never => None,
            Self::Hard { .. } => Some(Duration::ZERO),
            Self::Patient { .. } => match result {
                CallResult::Refused { retry_after, .. } => {
                    Some(retry_after.as_ref()?.mul_f64(1.0 + jitter))
                }
                _ => None,
            },
        }
    }
}

fn outbound(class: &CallerClass, identity: &str, attempt: u32) -> OutboundCall {
    let name = format!("{identity}.{attempt}");
    let call = OutboundCall::get(&class.service, class.path.clone(), &name, class.timeout);
    if class.is_keyed {
        call.keyed(identity)
    } else {
        call
    }
}

struct ClassArrivals {
    class: usize,
    state: Arc<FleetState>,
    pace: watch::Receiver<FleetPace>,
    random: SmallRng,
    requests: JoinSet<()>,
}

impl ClassArrivals {
    fn new(class: usize, state: &Arc<FleetState>, pace: watch::Receiver<FleetPace>) -> Self {
        let seed = state.settings.seed.wrapping_add(class as u64);
        Self {
            class,
            state: Arc::clone(state),
            pace,
            random: SmallRng::seed_from_u64(seed),
            requests: JoinSet::new(),
        }
    }

    async fn run(mut self) {
        let mut next = Instant::now();
        let mut number = 0_u64;
        loop {
            let pace = self.pace.borrow().clone();
            if pace.is_stopping {
                break;
            }
            let rate = self.state.settings.classes[self.class].rate * pace.factors[self.class];
            if rate <= 0.0 {
                sleep(PACE_CHECK).await;
                next = Instant::now();
                continue;
            }
            next += self.draw_gap(rate);
            tokio::select! {
                () = sleep_until(next.into()) => {}
                changed = self.pace.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    next = Instant::now();
                    continue;
                }
            }
            self.begin(number, next);
            number += 1;
            while self.requests.try_join_next().is_some() {}
        }
        while self.requests.join_next().await.is_some() {}
    }

    /// Exponential gap of a Poisson process.
    fn draw_gap(&mut self, rate: f64) -> Duration {
        let draw: f64 = self.random.random();
        Duration::from_secs_f64(-(1.0 - draw).ln() / rate)
    }

    fn begin(&mut self, number: u64, arrived: Instant) {
        let state = Arc::clone(&self.state);
        let class = self.class;
        let identity = format!("{:x}-{class}-{number}", state.settings.seed);
        let jitter = self.random.random_range(0.0..0.5);
        let request = CallerRequest { class, arrived };
        self.requests
            .spawn(async move { state.run(request, identity, jitter).await });
    }
}
