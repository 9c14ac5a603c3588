use {
    super::{
        CallerClass, CallerReport, CallerSettings, RetryStrategy,
        caller_recorder::{CallerRecorder, CallerRequest},
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

/// Interval at which a class whose rate is zero checks for a new rate.
const RATE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Largest jitter of a retry, as a share of the time in `Retry-After`.
const MAX_JITTER_RATIO: f64 = 0.5;

/// Running callers of all classes; dropping the fleet aborts them.
#[derive(Debug)]
pub struct CallerFleet {
    state: Arc<FleetState>,
    control: watch::Sender<FleetControl>,
    arrival_tasks: Vec<JoinHandle<()>>,
}

#[derive(Debug)]
struct FleetState {
    settings: CallerSettings,
    client: CallClient,
    recorder: Mutex<CallerRecorder>,
}

#[derive(Clone, Debug)]
struct FleetControl {
    /// Factor on the arrival rate of each class.
    rate_factors: Vec<f64>,
    is_stopping: bool,
}

impl CallerFleet {
    /// Starts the arrivals of all classes.
    #[must_use]
    pub fn start(settings: CallerSettings, client: CallClient) -> Self {
        let rate_factors = vec![1.0; settings.classes.len()];
        let recorder = Mutex::new(CallerRecorder::new(&settings.classes));
        let control = watch::Sender::new(FleetControl {
            rate_factors,
            is_stopping: false,
        });
        let state = Arc::new(FleetState {
            settings,
            client,
            recorder,
        });
        let indices = 0..state.settings.classes.len();
        let arrival_tasks = indices
            .map(|class| {
                let arrivals = ClassArrivals::new(class, &state, control.subscribe());
                tokio::spawn(arrivals.run())
            })
            .collect();
        Self {
            state,
            control,
            arrival_tasks,
        }
    }

    /// Multiplies the rates in the settings of all classes by `factor` from now on.
    pub fn set_rate_factor(&self, factor: f64) {
        let change = |control: &mut FleetControl| control.rate_factors.fill(factor);
        self.control.send_modify(change);
    }

    /// Multiplies the rate in the settings of one class by `factor` from now on.
    pub fn set_class_rate_factor(&self, class: usize, factor: f64) {
        self.control
            .send_modify(|control| control.rate_factors[class] = factor);
    }

    /// Time since the start of the fleet.
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.state.recorder().elapsed()
    }

    #[must_use]
    pub fn report(&self) -> CallerReport {
        self.state.recorder().report()
    }

    /// Stops the arrivals and waits for the requests in flight.
    pub async fn stop(mut self) -> CallerReport {
        self.control
            .send_modify(|control| control.is_stopping = true);
        for task in &mut self.arrival_tasks {
            // A panic of the task is not reported here; the counts of its class reveal it.
            let _ = task.await;
        }
        self.report()
    }
}

impl Drop for CallerFleet {
    fn drop(&mut self) {
        for task in &self.arrival_tasks {
            task.abort();
        }
    }
}

impl FleetState {
    fn recorder(&self) -> MutexGuard<'_, CallerRecorder> {
        self.recorder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn send_request(&self, request: CallerRequest, identity: String, jitter: f64) {
        let class = &self.settings.classes[request.class];
        self.recorder().record_arrival(request);
        for attempt in 0..self.settings.strategy.attempts() {
            if attempt > 0 {
                self.recorder().record_retry(request);
            }
            let call = build_call(class, &identity, attempt);
            let result = self.client.call(&call).await;
            self.recorder()
                .record_attempt(request, &call.attempt, &result);
            if result.is_complete() {
                self.recorder().record_success(request, attempt);
                return;
            }
            let Some(delay) = self.settings.strategy.retry_delay(&result, jitter) else {
                return;
            };
            sleep(delay).await;
        }
    }
}

impl RetryStrategy {
    fn attempts(self) -> u32 {
        match self {
            Self::Never => 1,
            Self::Immediate { attempts } | Self::RetryAfter { attempts } => attempts,
        }
    }

    /// Time to wait before the next attempt; `None` to give up.
    fn retry_delay(self, result: &CallResult, jitter: f64) -> Option<Duration> {
        match self {
            Self::Never => None,
            Self::Immediate { .. } => Some(Duration::ZERO),
            Self::RetryAfter { .. } => match result {
                CallResult::Refused { retry_after, .. } => {
                    Some(retry_after.as_ref()?.mul_f64(1.0 + jitter))
                }
                _ => None,
            },
        }
    }
}

fn build_call(class: &CallerClass, identity: &str, attempt: u32) -> OutboundCall {
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
    control: watch::Receiver<FleetControl>,
    random: SmallRng,
    requests: JoinSet<()>,
}

impl ClassArrivals {
    fn new(class: usize, state: &Arc<FleetState>, control: watch::Receiver<FleetControl>) -> Self {
        let seed = state.settings.seed.wrapping_add(class as u64);
        Self {
            class,
            state: Arc::clone(state),
            control,
            random: SmallRng::seed_from_u64(seed),
            requests: JoinSet::new(),
        }
    }

    async fn run(mut self) {
        let mut next_arrival = Instant::now();
        let mut number = 0_u64;
        loop {
            let control = self.control.borrow().clone();
            if control.is_stopping {
                break;
            }
            let rate =
                self.state.settings.classes[self.class].rate * control.rate_factors[self.class];
            if rate <= 0.0 {
                sleep(RATE_CHECK_INTERVAL).await;
                next_arrival = Instant::now();
                continue;
            }
            next_arrival += self.draw_interarrival(rate);
            tokio::select! {
                () = sleep_until(next_arrival.into()) => {}
                changed = self.control.changed() => {
                    if changed.is_err() {
                        break;
                    }
                    next_arrival = Instant::now();
                    continue;
                }
            }
            self.start_request(number, next_arrival);
            number += 1;
            while self.requests.try_join_next().is_some() {}
        }
        while self.requests.join_next().await.is_some() {}
    }

    /// Exponential time between two arrivals of a Poisson process of `rate` arrivals per second.
    fn draw_interarrival(&mut self, rate: f64) -> Duration {
        let draw: f64 = self.random.random();
        Duration::from_secs_f64(-(1.0 - draw).ln() / rate)
    }

    fn start_request(&mut self, number: u64, arrived_at: Instant) {
        let state = Arc::clone(&self.state);
        let class = self.class;
        let identity = format!("{:x}-{class}-{number}", state.settings.seed);
        let jitter = self.random.random_range(0.0..MAX_JITTER_RATIO);
        let request = CallerRequest { class, arrived_at };
        self.requests
            .spawn(async move { state.send_request(request, identity, jitter).await });
    }
}
