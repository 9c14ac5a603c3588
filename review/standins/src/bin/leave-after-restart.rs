//! A sidecar is restarted as planned; its upstream leaves before its first heartbeat to the new
//! process, and a heartbeat that it had sent before arrives late.

use {
    review_standins::{
        case::{self, Record, Verdict},
        fleet::{Machine, Network, SIGTERM, wait_until},
        http::{Answer, Client, Request},
        upstream::Upstream,
    },
    std::{
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Bounds of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// How late the heartbeat arrives.
const LATENESS: Duration = Duration::from_millis(2_400);
/// Time for which the upstream serves after its leaving was acknowledged.
const SERVE_TIME: Duration = Duration::from_secs(8);
const CLIENTS: usize = 6;
const WORK_MS: u64 = 300;
const DEADLINE: Duration = Duration::from_secs(5);

const CONFIGURATION: &str = r#"{"version":"00000007","routes":{"purchase":{"host":"jepu9.example","prefix":"/buy/","route_type":"unsafe","timeout":"5000ms","target_latency":"1500ms","priority":0,"service":"billing","max_attempts":2},"browse":{"host":"hulo84.example","prefix":"/browse/","route_type":"safe","timeout":"5000ms","target_latency":"1200ms","priority":2,"service":"catalogue","max_attempts":2}},"services":{"billing":{"health_path":"/healthz","max_connections":982,"protocol":"h1","tls":false},"catalogue":{"health_path":"/healthz","max_connections":982,"protocol":"h1","tls":false}},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

struct Sent {
    id: String,
    at: Instant,
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
    // Clients are on machine 2; billing has two upstreams, one of which leaves.
    let machines = [
        network.machine(2, "catalogue").map_err(text)?,
        network.machine(3, "billing").map_err(text)?,
        network.machine(4, "billing").map_err(text)?,
    ];
    let upstream = |index: usize, service: &str| {
        Upstream::start(service, &format!("i-{index}"), machines[index].target, 147).map_err(text)
    };
    let upstreams = [
        upstream(0, "catalogue")?,
        upstream(1, "billing")?,
        upstream(2, "billing")?,
    ];
    for machine in &machines {
        machine.start().map_err(text)?;
    }
    let stays_until = Arc::new(AtomicBool::new(true));
    for index in [0, 1] {
        keep_beating(&upstreams[index], &machines[index], stays_until.clone());
    }
    let (leaver, beside) = (&upstreams[2], &machines[2]);
    let leaver_beats = Arc::new(AtomicBool::new(true));
    keep_beating(leaver, beside, leaver_beats.clone());
    let is_up = wait_until(Duration::from_secs(20), || {
        machines.iter().all(Machine::is_ready)
            && Client::connect(machines[0].outbound).is_ok_and(|mut client| {
                client
                    .call(&purchase("settle", "/buy/1/settle"))
                    .is_success()
            })
    });
    if !is_up {
        return Err("the deployment does not serve".into());
    }

    let sent = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (sent, is_over, outbound) = (sent.clone(), is_over.clone(), machines[0].outbound);
            thread::spawn(move || press(number, outbound, &sent, &is_over))
        })
        .collect();
    thread::sleep(Duration::from_secs(6));
    if leaver.runs().is_empty() {
        return Err("the second upstream got no requests".into());
    }

    if is_troubled {
        record.line(&format!("SIGTERM to the sidecar of {}", beside.name));
        beside.signal(SIGTERM);
        if !beside.wait_for_end(Duration::from_secs(6)) {
            return Err("the sidecar did not end within the grace".into());
        }
        record.line(&format!("the sidecar of {} has ended", beside.name));
        leaver_beats.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(500));
        beside.start().map_err(text)?;
    } else {
        leaver_beats.store(false, Ordering::SeqCst);
    }
    let restarted_at = Instant::now();
    record.line(&format!("the sidecar of {} runs", beside.name));
    if !wait_until(Duration::from_secs(2), || beside.is_ready()) {
        return Err("the sidecar is not ready again".into());
    }
    // The network holds this heartbeat up.
    let late_heartbeat = leaver.next_heartbeat("ready");
    let beaten_at = Instant::now();
    record.line(&format!(
        "upstream {} sends a heartbeat: {late_heartbeat}",
        leaver.id
    ));
    thread::sleep(Duration::from_millis(200));
    if !leaver.leave(beside.admin) {
        return Err("the leaving was not acknowledged".into());
    }
    let acked_at = Instant::now();
    record.line(&format!(
        "DELETE of upstream {} acknowledged by {}",
        leaver.id, beside.name
    ));
    thread::sleep((beaten_at + LATENESS).saturating_duration_since(Instant::now()));
    let status = leaver.send_heartbeat(beside.admin, &late_heartbeat);
    record.line(&format!("the heartbeat arrives, acknowledged: {status}"));
    thread::sleep((acked_at + SERVE_TIME).saturating_duration_since(Instant::now()));
    leaver.end();
    let ended_at = Instant::now();
    record.line(&format!("upstream {} has ended", leaver.id));
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    stays_until.store(false, Ordering::SeqCst);

    // The machines that took and sent the requests are in touch from then on.
    let bound = (acked_at + DRAIN).max(restarted_at + STABLE_WINDOW);
    let late: Vec<_> = leaver
        .runs()
        .into_iter()
        .filter(|run| run.began_at > bound)
        .collect();
    let sent = sent.lock().unwrap();
    for request in sent.iter() {
        let outcome = request.answer.describe();
        record.line_at(
            request.at,
            &format!(
                "request {} sent to {}, answered: {outcome}",
                request.id, machines[0].name
            ),
        );
    }
    for run in &late {
        let answer = sent.iter().find(|request| request.id == run.id);
        let outcome = answer.map_or_else(String::new, |request| request.answer.describe());
        let delay = run.began_at.duration_since(acked_at).as_millis();
        record.line_at(
            run.began_at,
            &format!("request {} runs on {}, {delay} ms after the acknowledgement; the client gets: {outcome}", run.id, leaver.id),
        );
    }
    let is_cut = |request: &&Sent| {
        request.at < ended_at && !request.answer.is_success() && request.at > bound
    };
    let cut = sent.iter().filter(is_cut).count();
    record.line(&format!(
        "{} requests sent, {} run by {} later than {} ms after its acknowledged leaving; {cut} requests sent after that and before its end got no success",
        sent.len(), late.len(), leaver.id, DRAIN.as_millis()
    ));
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

fn purchase<'a>(id: &'a str, path: &'a str) -> Request<'a> {
    Request {
        method: "POST",
        host: "jepu9.example",
        path,
        id,
        deadline: DEADLINE,
        key: None,
        body: b"one subscription",
    }
}

/// Sends one purchase after another.
fn press(
    number: usize,
    outbound: std::net::SocketAddr,
    sent: &Mutex<Vec<Sent>>,
    is_over: &AtomicBool,
) {
    let mut connection = None;
    for count in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("{number:02x}{count:06x}");
        let path = format!("/buy/{WORK_MS}/{id}");
        let at = Instant::now();
        let Some(client) = connection.take().or_else(|| Client::connect(outbound).ok()) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let mut client = client;
        let answer = client.call(&purchase(&id, &path));
        if answer.is_complete && !answer.is_closing {
            connection = Some(client);
        }
        sent.lock().unwrap().push(Sent { id, at, answer });
    }
}

fn keep_beating(upstream: &Upstream, machine: &Machine, beats: Arc<AtomicBool>) {
    let (upstream, admin) = (upstream.clone(), machine.admin);
    thread::spawn(move || {
        while beats.load(Ordering::SeqCst) {
            upstream.beat(admin, "ready");
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    });
}
