//! Three of nine sidecars are silent; requests of tenants whose quota two of those keep get no answer.

mod fleet;

use {
    fleet::*,
    std::{
        net::TcpStream,
        path::{Path, PathBuf},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const HOSTS: [u8; 9] = [2, 3, 4, 5, 6, 7, 8, 9, 10];
/// Machines that are cut off: 0.35 of nine, rounded down.
const CUT_HOSTS: [u8; 3] = [8, 9, 10];
const CUT_TIME: Duration = Duration::from_secs(12);
/// Time of the usual load before the cut and after it.
const USUAL_TIME: Duration = Duration::from_secs(7);
const TENANTS: usize = 87;
/// Requests a second and burst of each tenant.
const TENANT_RATE: u32 = 2;
/// Clients of each tenant, each on another machine, and the time between two requests of a client.
const TENANT_CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_secs(7);
const TIMEOUT: Duration = Duration::from_millis(1_200);
const DEADLINE_MS: u64 = 5_000;
const LATENESS: Duration = Duration::from_millis(500);
const WORK: Duration = Duration::from_millis(20);
const SLOTS: u32 = 39;

struct Sent {
    id: String,
    tenant: usize,
    at: Instant,
    /// Time until the answer, and what it was.
    answered_after: Duration,
    answer: String,
}

fn serve_upstream(stream: TcpStream) {
    let mut writer = stream.try_clone().expect("a stream");
    let mut reader = Reader::new(stream);
    while let Ok(request) = reader.message() {
        let id = request.header("x-banyantrestle-request-id");
        thread::sleep(WORK);
        let headers = format!(
            "X-Banyantrestle-Request-Id: {}\r\nX-Banyantrestle-Response-Signature: sig\r\n\
             Keep-Alive: timeout=10\r\n",
            id.unwrap_or_default()
        );
        if respond(&mut writer, "200 OK", &headers, b"done").is_err() {
            return;
        }
    }
}

fn keyed_request(tenant: usize, id: &str) -> Vec<u8> {
    let text = format!(
        "GET /read/1 HTTP/1.1\r\nHost: one.example\r\nX-Banyantrestle-Request-Id: {id}\r\n\
         X-Banyantrestle-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Token key{tenant}\r\n\r\n"
    );
    text.into_bytes()
}

fn main() {
    limit_run(Duration::from_secs(100));
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let program = Path::new("target/release/banyantrestle-sidecar");
    let record = Record::new();
    let temporary = temporary_folder();
    // The quotas of a tenant are kept by machines that its name and their addresses choose.
    let network = Network::fixed([88, 42]);
    let store = Store::start(network.address(1, STORE));
    let timeout_ms = u64::try_from(TIMEOUT.as_millis()).expect("a short time");
    let routes = route("read", "/read/", "safe", timeout_ms, "catalogue");
    let tenants: Vec<_> = (0..TENANTS)
        .map(|tenant| {
            format!(
                "\"tenant{tenant}\":{{\"api_keys\":[\"key{tenant}\"],\"priority\":1,\
                 \"rate_per_s\":{TENANT_RATE},\"burst\":{TENANT_RATE}}}"
            )
        })
        .collect();
    let document = config(1, &routes, &["catalogue"], 67_108_864);
    let document = document.trim_end_matches('}').to_owned();
    store.put_config(&format!(
        "{document}}},\"tenants\":{{{}}}}}",
        tenants.join(",")
    ));
    let figures = Figures {
        memory_mb: 260,
        grace_s: 6,
        bounds: r#","revoke_fail_closed=true","revoke=5000ms","quota_window=5s","quota_overage=0.1","quota_slack=20""#,
    };
    let sidecars: Vec<_> = HOSTS
        .map(|host| {
            let sidecar = Sidecar::start(network, host, "catalogue", figures, &temporary, program);
            serve(sidecar.address(APP), serve_upstream);
            let (admin, app) = (sidecar.address(ADMIN), sidecar.address(APP));
            Heartbeats::start(admin, app, &format!("i-{host}"), "catalogue", SLOTS);
            sidecar
        })
        .into();
    let is_serving = wait_until(Duration::from_secs(25), || {
        sidecars.iter().all(|sidecar| {
            let bytes = keyed_request(0, &format!("first-{}", now_ms()));
            let answer = call(sidecar.address(OUTBOUND), &bytes, Duration::from_secs(3));
            sidecar.is_ready() && answer.is_ok_and(|answer| [200, 429].contains(&answer.status()))
        })
    });
    if !is_serving {
        record.add("the sidecars don't serve".into());
        record.write(&folder.join("record.txt"));
        end_run(COULD_NOT_RUN);
    }
    thread::sleep(Duration::from_secs(4));

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..TENANTS * TENANT_CLIENTS)
        .map(|client| {
            let tenant = client / TENANT_CLIENTS;
            // Clients use the machines that stay in touch.
            let outbound = sidecars[client % (HOSTS.len() - CUT_HOSTS.len())].address(OUTBOUND);
            let (sent, is_over) = (sent.clone(), is_over.clone());
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(client as u64 * 13));
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("client{client}-{number}");
                    let bytes = keyed_request(tenant, &id);
                    let sent = sent.clone();
                    thread::spawn(move || {
                        let at = Instant::now();
                        let answer = call(outbound, &bytes, Duration::from_millis(DEADLINE_MS));
                        let answer = match answer {
                            Ok(answer) => answer.status().to_string(),
                            Err(error) => format!("none ({})", error.kind()),
                        };
                        let answered_after = at.elapsed();
                        let entry = Sent {
                            id,
                            tenant,
                            at,
                            answered_after,
                            answer,
                        };
                        sent.lock().unwrap().push(entry);
                    });
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(USUAL_TIME);
    let begin = Instant::now();
    record.add("the cut begins".into());
    let cut: Vec<_> = sidecars
        .iter()
        .filter(|sidecar| CUT_HOSTS.contains(&sidecar.host))
        .collect();
    if has_trouble() {
        cut.iter()
            .for_each(|sidecar| send_signal(&sidecar.child, SIGSTOP));
    }
    thread::sleep(CUT_TIME);
    if has_trouble() {
        cut.iter()
            .for_each(|sidecar| send_signal(&sidecar.child, SIGCONT));
    }
    record.add("the cut ends".into());
    thread::sleep(USUAL_TIME);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    thread::sleep(Duration::from_millis(DEADLINE_MS + 1_000));

    let mut sent = std::mem::take(&mut *sent.lock().unwrap());
    sent.sort_by_key(|entry| entry.at);
    let mut counts = std::collections::BTreeMap::<&str, usize>::new();
    for entry in &sent {
        *counts.entry(&entry.answer).or_default() += 1;
    }
    record.add(format!("{} requests, answers {counts:?}", sent.len()));
    let due: Vec<_> = sent
        .iter()
        .filter(|entry| entry.answered_after >= TIMEOUT)
        .collect();
    let is_late = |entry: &&&Sent| entry.answered_after >= TIMEOUT + LATENESS;
    let late: Vec<_> = due.iter().filter(is_late).collect();
    for entry in &late {
        record.add(format!(
            "{} of tenant{}, sent {} ms after the begin of the cut: {} after {} ms",
            entry.id,
            entry.tenant,
            entry.at.saturating_duration_since(begin).as_millis(),
            entry.answer,
            entry.answered_after.as_millis()
        ));
    }
    let unanswered = late.iter().filter(|entry| entry.answer.starts_with("none"));
    record.add(format!(
        "{} requests had no answer at the client's deadline",
        unanswered.count()
    ));
    let is_broken = late.len() >= 8 && late.len() * 4 > due.len();
    record.add(format!(
        "CONFIG {}: {} requests unanswered at their route's timeout, {} of them {} ms later",
        if is_broken { "broken" } else { "held" },
        due.len(),
        late.len(),
        LATENESS.as_millis()
    ));
    record.write(&folder.join("record.txt"));
    std::fs::remove_dir_all(&temporary).ok();
    end_run(if is_broken { BROKEN } else { HELD })
}
