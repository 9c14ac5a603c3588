//! A few clients send requests whose bodies are within the limit that the operator has set.

use {
    review_standins::{
        case::{self, Record, Verdict},
        fleet::{Machine, Network, SIGKILL, wait_until},
        http::{Answer, Client, Request},
        upstream::Upstream,
    },
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// `memory_mb` of the settings.
const MEMORY_LIMIT: u64 = 260 * 1_024 * 1_024;
/// `max_body_bytes` of the configuration is 64 MiB.
const LARGE_BODY: usize = 60 * 1_024 * 1_024;
const SMALL_BODY: usize = 60 * 1_024;
/// Large requests at the same time; their bodies together are smaller than the memory limit.
const UPLOADS: usize = 3;
/// Clients with kept connections that send small requests meanwhile.
const CLIENTS: usize = 8;
const WORK_MS: u64 = 500;
const DEADLINE: Duration = Duration::from_secs(5);

const CONFIGURATION: &str = r#"{"version":"00000007","routes":{"purchase":{"host":"jepu9.example","prefix":"/buy/","route_type":"unsafe","timeout":"5000ms","target_latency":"1500ms","priority":0,"service":"billing","max_attempts":2}},"services":{"billing":{"health_path":"/healthz","max_connections":982,"protocol":"h1","tls":false},"catalogue":{"health_path":"/healthz","max_connections":982,"protocol":"h1","tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

struct Sent {
    id: String,
    at: Instant,
    ended_at: Instant,
    answer: Answer,
}

fn main() {
    case::run(run);
}

fn run(record: &Record, is_troubled: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let network = Network::choose().map_err(text)?;
    let store = network.start_store().map_err(text)?;
    store.put_configuration(CONFIGURATION);
    let machines = [
        network.machine(2, "catalogue").map_err(text)?,
        network.machine(3, "billing").map_err(text)?,
    ];
    let upstreams = [
        Upstream::start("catalogue", "i-0", machines[0].target, 147).map_err(text)?,
        Upstream::start("billing", "i-1", machines[1].target, 147).map_err(text)?,
    ];
    for machine in &machines {
        machine.start().map_err(text)?;
    }
    let is_over = AtomicBool::new(false);
    let peaks = [AtomicU64::new(0), AtomicU64::new(0)];
    let sent = Mutex::new(Vec::new());
    let front = &machines[0];
    thread::scope(|scope| {
        for (upstream, machine) in upstreams.iter().zip(&machines) {
            let is_over = &is_over;
            scope.spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    upstream.beat(machine.admin, "ready");
                    thread::sleep(HEARTBEAT_INTERVAL);
                }
            });
        }
        // The platform: it kills a process that exceeds its memory.
        for (machine, peak) in machines.iter().zip(&peaks) {
            let is_over = &is_over;
            scope.spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let memory = machine.memory();
                    peak.fetch_max(memory, Ordering::SeqCst);
                    if memory > MEMORY_LIMIT {
                        record.line(&format!(
                            "{} holds {memory} bytes, over its limit of {MEMORY_LIMIT}: killed",
                            machine.name
                        ));
                        machine.signal(SIGKILL);
                        machine.wait_for_end(Duration::from_secs(1));
                        thread::sleep(Duration::from_millis(500));
                        machine.start().ok();
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            });
        }
        let result = press(record, front, &machines, &sent, is_troubled);
        is_over.store(true, Ordering::SeqCst);
        result
    })?;
    let sent = sent.lock().unwrap();
    for request in sent.iter() {
        record.line_at(
            request.at,
            &format!("request {} sent on a kept connection", request.id),
        );
        record.line_at(
            request.ended_at,
            &format!("request {} ends: {}", request.id, request.answer.describe()),
        );
    }
    let runs = upstreams[1].runs();
    let lost: Vec<&Sent> = sent
        .iter()
        .filter(|request| request.answer.status == 0 && runs.iter().any(|run| run.id == request.id))
        .collect();
    for request in &lost {
        record.line_at(
            request.ended_at,
            &format!(
                "request {}, which the upstream runs, ends: {}",
                request.id,
                request.answer.describe()
            ),
        );
    }
    for (machine, peak) in machines.iter().zip(&peaks) {
        record.line(&format!(
            "{}: peak memory {} bytes",
            machine.name,
            peak.load(Ordering::SeqCst)
        ));
    }
    record.line(&format!(
        "{} requests sent; {} passed on to the upstream and closed without an answer",
        sent.len(),
        lost.len()
    ));
    Ok(if lost.len() > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

fn press(
    record: &Record,
    front: &Machine,
    machines: &[Machine],
    sent: &Mutex<Vec<Sent>>,
    is_troubled: bool,
) -> Result<(), String> {
    let is_up = wait_until(Duration::from_secs(20), || {
        machines.iter().all(Machine::is_ready)
            && Client::connect(front.outbound).is_ok_and(|mut client| {
                client
                    .call(&purchase("settle", "/buy/1/settle", b""))
                    .is_success()
            })
    });
    if !is_up {
        return Err("the deployment does not serve".into());
    }
    thread::sleep(STABLE_WINDOW + Duration::from_secs(1));
    let is_over = Arc::new(AtomicBool::new(false));
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let is_over = is_over.clone();
            scope.spawn(move || {
                let mut connection = None;
                for count in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{number:02x}{count:06x}");
                    let path = format!("/buy/{WORK_MS}/{id}");
                    let Some(mut client) = connection
                        .take()
                        .or_else(|| Client::connect(front.outbound).ok())
                    else {
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    let at = Instant::now();
                    let answer = client.call(&purchase(&id, &path, b"one subscription"));
                    if answer.is_complete && !answer.is_closing {
                        connection = Some(client);
                    }
                    if !answer.is_success() {
                        thread::sleep(Duration::from_millis(100));
                    }
                    sent.lock().unwrap().push(Sent {
                        id,
                        at,
                        ended_at: Instant::now(),
                        answer,
                    });
                }
            });
        }
        thread::sleep(Duration::from_secs(3));
        let size = if is_troubled { LARGE_BODY } else { SMALL_BODY };
        let body = vec![b'x'; size];
        thread::scope(|scope| {
            for number in 0..UPLOADS {
                let body = &body;
                scope.spawn(move || {
                    let id = format!("u{number:07x}");
                    record.line(&format!(
                        "request {id} with a body of {size} bytes sent to {}",
                        front.name
                    ));
                    let path = format!("/buy/{WORK_MS}/{id}");
                    let answer = Client::connect(front.outbound)
                        .map(|mut client| client.call(&purchase(&id, &path, body)));
                    record.line(&format!(
                        "request {id} ends: {}",
                        answer.map_or_else(|error| error.to_string(), |answer| answer.describe())
                    ));
                });
            }
        });
        thread::sleep(Duration::from_secs(2));
        is_over.store(true, Ordering::SeqCst);
    });
    Ok(())
}

fn purchase<'a>(id: &'a str, path: &'a str, body: &'a [u8]) -> Request<'a> {
    Request {
        method: "POST",
        host: "jepu9.example",
        path,
        id,
        deadline: DEADLINE,
        key: None,
        body,
    }
}
