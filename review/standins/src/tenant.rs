//! A tenant's clients, and the check of its quota.

use {
    crate::{
        case::{Record, Verdict},
        fleet::{Machine, Network, wait_until},
        http::{Client, Request},
        store::Store,
        upstream::{Run, Upstream},
    },
    std::{
        collections::HashSet,
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Number of the first machine.
const FIRST_HOST: u8 = 2;
pub const SERVICE: &str = "catalogue";
/// Limit of the tenant, and bounds of the settings.
const RATE: f64 = 40.0;
const BURST: f64 = 40.0;
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_OVERAGE: f64 = 0.1;
const QUOTA_SLACK: f64 = 20.0;
/// Clients of the tenant on each machine, and the time between two requests of one.
const CLIENTS: usize = 8;
const CLIENT_INTERVAL: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_secs(5);
const KEY: &str = "7u27gxprymh2rrytapjs";
/// Id of the requests before the clients start.
const SETTLE_ID: &str = "settle";

const CONFIGURATION: &str = r#"{"version":"00000007","routes":{"browse":{"host":"hulo84.example","prefix":"/browse/","route_type":"safe","timeout":"1200ms","target_latency":"1500ms","priority":2,"service":"catalogue","max_attempts":2,"public":false}},"services":{"catalogue":{"health_path":"/healthz","max_connections":610,"protocol":"h1","tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"tenants":{"pulo780":{"api_keys":["7u27gxprymh2rrytapjs"],"priority":1,"rate_per_s":40,"burst":40}}}"#;

/// What a case disturbs.
pub struct Stage<'a> {
    pub record: &'a Record,
    pub network: &'a Network,
    pub store: &'a Store,
    pub machines: &'a [Machine],
}

/// Lets the tenant's clients press on `count` machines, all but `added` of which run from the
/// start, and checks the quota; `disturb` acts meanwhile.
pub fn play(
    record: &Record,
    count: u8,
    added: usize,
    disturb: impl FnOnce(&Stage<'_>) -> Result<(), String>,
) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let network = Network::choose().map_err(text)?;
    let store = network.start_store().map_err(text)?;
    store.put_configuration(CONFIGURATION);
    let machines: Result<Vec<Machine>, _> = (FIRST_HOST..FIRST_HOST + count)
        .map(|host| network.machine(host, SERVICE))
        .collect();
    let machines = machines.map_err(text)?;
    let upstreams: Result<Vec<Upstream>, _> = machines
        .iter()
        .map(|machine| Upstream::start(SERVICE, &format!("i-{}", machine.host), machine.target, 85))
        .collect();
    let upstreams = upstreams.map_err(text)?;
    let first = &machines[..machines.len() - added];
    for machine in first {
        machine.start().map_err(text)?;
    }
    let is_over = AtomicBool::new(false);
    let sent = AtomicU64::new(0);
    let disturbed_at = thread::scope(|scope| {
        for (upstream, machine) in upstreams.iter().zip(&machines) {
            let is_over = &is_over;
            scope.spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    upstream.beat(machine.admin, "ready");
                    thread::sleep(HEARTBEAT_INTERVAL);
                }
            });
        }
        let result = (|| {
            let is_up = wait_until(Duration::from_secs(20), || {
                first
                    .iter()
                    .all(|machine| machine.is_ready() && is_served(machine))
            });
            if !is_up {
                return Err("the deployment does not serve".to_owned());
            }
            for (number, machine) in machines.iter().enumerate() {
                for client in 0..CLIENTS {
                    let (is_over, sent) = (&is_over, &sent);
                    scope.spawn(move || {
                        press(record, number * CLIENTS + client, machine, is_over, sent);
                    });
                }
            }
            thread::sleep(Duration::from_secs(12));
            let disturbed_at = Instant::now();
            disturb(&Stage {
                record,
                network: &network,
                store: &store,
                machines: &machines,
            })?;
            Ok(disturbed_at)
        })();
        is_over.store(true, Ordering::SeqCst);
        result
    })?;

    let runs = first_runs(&upstreams);
    for run in &runs {
        record.line_at(run.began_at, &format!("request {} runs", run.id));
    }
    let before: Vec<Run> = runs
        .iter()
        .filter(|run| run.began_at < disturbed_at)
        .cloned()
        .collect();
    let (_, most_before) = fullest_window(&before);
    let (at, most) = fullest_window(&runs);
    let bound = quota_bound();
    record.line(&format!(
        "{} requests sent, {} run; most in one window before the change: {most_before}",
        sent.load(Ordering::SeqCst),
        runs.len()
    ));
    if let Some(at) = at {
        record.line_at(
            at,
            &format!("here begins the window with most: {most} of the tenant's requests run in it, the bound is {bound:.0}"),
        );
    }
    Ok(if most as f64 > bound {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Requests that may run in one window.
fn quota_bound() -> f64 {
    (RATE * QUOTA_WINDOW.as_secs_f64() + BURST) * (1.0 + QUOTA_OVERAGE) + QUOTA_SLACK
}

/// The first run of each of the clients' requests.
fn first_runs(upstreams: &[Upstream]) -> Vec<Run> {
    let mut runs: Vec<Run> = upstreams.iter().flat_map(Upstream::runs).collect();
    runs.sort_by_key(|run| run.began_at);
    let mut seen = HashSet::new();
    runs.retain(|run| run.id != SETTLE_ID && seen.insert(run.id.clone()));
    runs
}

/// Start and number of runs of the window with most.
fn fullest_window(runs: &[Run]) -> (Option<Instant>, usize) {
    let mut most = (None, 0);
    for (index, run) in runs.iter().enumerate() {
        let end = run.began_at + QUOTA_WINDOW;
        let count = runs[index..]
            .iter()
            .take_while(|other| other.began_at < end)
            .count();
        if count > most.1 {
            most = (Some(run.began_at), count);
        }
    }
    most
}

fn is_served(machine: &Machine) -> bool {
    Client::connect(machine.outbound)
        .is_ok_and(|mut client| client.call(&browse(SETTLE_ID)).is_success())
}

/// Sends requests at a steady rate.
fn press(
    record: &Record,
    number: usize,
    machine: &Machine,
    is_over: &AtomicBool,
    sent: &AtomicU64,
) {
    let mut connection = None;
    for count in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let begin = Instant::now();
        if let Some(mut client) = connection
            .take()
            .or_else(|| Client::connect(machine.outbound).ok())
        {
            sent.fetch_add(1, Ordering::SeqCst);
            let id = format!("{number:02x}{count:06x}");
            let answer = client.call(&browse(&id));
            record.line_at(
                begin,
                &format!(
                    "request {id} sent to {}, answered {}",
                    machine.name, answer.status
                ),
            );
            if answer.is_complete && !answer.is_closing {
                connection = Some(client);
            }
        }
        thread::sleep(CLIENT_INTERVAL.saturating_sub(begin.elapsed()));
    }
}

fn browse(id: &str) -> Request<'_> {
    Request {
        method: "GET",
        host: "hulo84.example",
        path: "/browse/10/page",
        id,
        deadline: DEADLINE,
        key: Some(KEY),
        body: b"",
    }
}
