//! Runs stand-in callers of one class against daemons and prints the results of their requests.

use {
    banyantrestle::context::ServiceName,
    standins::{
        caller::{CallerClass, CallerFleet, CallerSettings, RetryStrategy},
        client::{CallClient, CallPath, CallRouter},
        http::shutdown_signal,
    },
    std::{net::SocketAddr, time::Duration},
    tokio::time::sleep,
};

xflags::xflags! {
    /// Calls a service at a given rate and prints the counts of the results as JSON at the end.
    cmd standin-caller {
        /// Address of a daemon's `edge` listener; may be repeated.
        repeated --edge address: SocketAddr
        /// Service to call.
        required --service name: String
        /// Path within the service; `call` by default.
        optional --path path: String
        /// Arrivals per second; 10 by default.
        optional --rate count: f64
        /// Time to run, in s; 10 by default.
        optional --seconds seconds: u64
        /// Timeout of each attempt, in ms; 2000 by default.
        optional --timeout-ms ms: u64
        /// Sends an idempotency key with each request.
        optional --keyed
        /// Maximum attempts of a request, with immediate retries; 1 by default.
        optional --hard attempts: u32
        /// Maximum attempts of a request, with retries after the time in `Retry-After`.
        optional --patient attempts: u32
        /// Seed of the arrivals.
        optional --seed number: u64
    }
}

impl StandinCaller {
    fn strategy(&self) -> RetryStrategy {
        match (self.hard, self.patient) {
            (Some(attempts), _) => RetryStrategy::Immediate { attempts },
            (None, Some(attempts)) => RetryStrategy::RetryAfter { attempts },
            (None, None) => RetryStrategy::Never,
        }
    }

    fn settings(&self) -> anyhow::Result<CallerSettings> {
        let path = self.path.as_deref().unwrap_or("call");
        let class = CallerClass {
            name: "call".into(),
            service: ServiceName::new(&self.service)?,
            path: CallPath::parse(path),
            rate: self.rate.unwrap_or(10.0),
            is_keyed: self.keyed,
            timeout: Duration::from_millis(self.timeout_ms.unwrap_or(2_000)),
        };
        Ok(CallerSettings {
            classes: vec![class],
            strategy: self.strategy(),
            seed: self.seed.unwrap_or(1),
        })
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let flags = StandinCaller::from_env_or_exit();
    let client = CallClient::new(CallRouter::daemons(flags.edge.clone()));
    let fleet = CallerFleet::start(flags.settings()?, client);
    let seconds = Duration::from_secs(flags.seconds.unwrap_or(10));
    tokio::select! {
        () = sleep(seconds) => {}
        received = shutdown_signal() => received?,
    }
    let report = fleet.stop().await;
    println!("{}", serde_json::to_string(&report)?);
    Ok(())
}
