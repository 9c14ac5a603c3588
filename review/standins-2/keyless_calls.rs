//! A sidecar is killed while the upstream beside it works on requests; the calls that the upstream
//! then makes for them get 401 from the restarted sidecar.

mod fleet;

use {
    fleet::*,
    std::{
        net::{SocketAddr, TcpStream},
        path::{Path, PathBuf},
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

const PURCHASES: usize = 16;
/// Work of the upstream on a purchase before it makes its call.
const WORK: Duration = Duration::from_millis(1_200);
/// Time from the purchases to the kill, and from there to the restart.
const KILL_AFTER: Duration = Duration::from_millis(200);
const RESTART_AFTER: Duration = Duration::from_millis(300);
const DEADLINE_MS: u64 = 5_000;
const SLOTS: u32 = 39;
/// Number of such answers of machines out of touch that DENIED allows.
const ALLOWED: usize = 10;

/// Answers to the calls of the upstream.
type Answers = Arc<Mutex<Vec<(String, String)>>>;

fn answer(writer: &mut TcpStream, status: &str, id: &str) -> bool {
    let headers = format!(
        "X-Banyantrestle-Request-Id: {id}\r\nX-Banyantrestle-Response-Signature: sig\r\n\
         Keep-Alive: timeout=10\r\n"
    );
    respond(writer, status, &headers, b"done").is_ok()
}

/// Works on purchases, also when their connection closes, and makes one call for each.
fn serve_upstream(stream: TcpStream, outbound: SocketAddr, record: &Record, answers: &Answers) {
    let mut writer = stream.try_clone().expect("a stream");
    let mut reader = Reader::new(stream);
    while let Ok(received) = reader.message() {
        let id = received
            .header("x-banyantrestle-request-id")
            .unwrap_or_default()
            .to_owned();
        if !received.path().starts_with("/buy/") {
            if !answer(&mut writer, "200 OK", &id) {
                return;
            }
            continue;
        }
        record.add(format!("an upstream runs {id}"));
        let deadline = received.header("x-banyantrestle-deadline-ms");
        let deadline_ms: u64 = deadline.and_then(|text| text.parse().ok()).unwrap_or(0);
        thread::sleep(WORK);
        // Calls of upstreams carry no tenant key, and expire at their parent's deadline.
        let call_id = format!("{id}.1");
        let left_ms = deadline_ms.saturating_sub(WORK.as_millis() as u64);
        let bytes = request("GET", "/read/1", &call_id, left_ms, b"");
        let called = call(outbound, &bytes, Duration::from_secs(5));
        let text = called.map_or_else(|error| error.to_string(), |called| called.start);
        record.add(format!("the upstream's call {call_id} gets: {text}"));
        let is_served = text.contains(" 200 ");
        answers.lock().unwrap().push((call_id, text));
        let status = if is_served {
            "200 OK"
        } else {
            "500 Internal Server Error"
        };
        if !answer(&mut writer, status, &id) {
            return;
        }
    }
}

fn keyed(method: &str, path: &str, id: &str) -> Vec<u8> {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: one.example\r\nX-Banyantrestle-Request-Id: {id}\r\n\
         X-Banyantrestle-Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Token key1\r\n\
         Content-Length: 0\r\n\r\n"
    );
    text.into_bytes()
}

fn main() {
    limit_run(Duration::from_secs(100));
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let program = Path::new("target/release/banyantrestle-sidecar");
    let record = Record::new();
    let temporary = temporary_folder();
    let network = Network::new();
    let store = Store::start(network.address(1, STORE));
    let routes = [
        route("buy", "/buy/", "unsafe", 1_500, "billing"),
        route("read", "/read/", "safe", 1_500, "catalogue"),
    ];
    let document = config(1, &routes.join(","), &["billing", "catalogue"], 67_108_864);
    let document = document.trim_end_matches('}').to_owned();
    store.put_config(&format!(
        "{document}}},\"tenants\":{{\"tenant1\":{{\"api_keys\":[\"key1\"],\"priority\":1,\
         \"rate_per_s\":0,\"burst\":0}}}}}}"
    ));
    let figures = Figures {
        memory_mb: 260,
        grace_s: 6,
        bounds: r#","revoke_fail_closed=true","revoke=5000ms","quota_window=5s","quota_overage=0.1","quota_slack=20""#,
    };
    let answers = Answers::default();
    let mut sidecars: Vec<_> = [(2, "billing"), (3, "catalogue"), (4, "catalogue")]
        .map(|(host, service)| {
            let sidecar = Sidecar::start(network, host, service, figures, &temporary, program);
            let (outbound, record, answers) =
                (sidecar.address(OUTBOUND), record.clone(), answers.clone());
            serve(sidecar.address(APP), move |stream| {
                serve_upstream(stream, outbound, &record, &answers);
            });
            let (admin, app) = (sidecar.address(ADMIN), sidecar.address(APP));
            Heartbeats::start(admin, app, &format!("i-{host}"), service, SLOTS);
            sidecar
        })
        .into();
    let is_serving = wait_until(Duration::from_secs(20), || {
        ["/read/1", "/buy/first"].iter().all(|path| {
            let bytes = keyed("POST", path, &format!("first-{}", now_ms()));
            let answer = call(
                sidecars[1].address(OUTBOUND),
                &bytes,
                Duration::from_secs(3),
            );
            answer.is_ok_and(|answer| answer.status() == 200)
        })
    });
    if !is_serving {
        record.add("the sidecars don't serve".into());
        record.write(&folder.join("record.txt"));
        end_run(COULD_NOT_RUN);
    }
    thread::sleep(Duration::from_secs(4));
    answers.lock().unwrap().clear();

    // The clients are on a machine that nothing happens to.
    let outbound = sidecars[1].address(OUTBOUND);
    let clients: Vec<_> = (0..PURCHASES)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("purchase-{number}");
                let bytes = keyed("POST", "/buy/1", &id);
                let answer = call(outbound, &bytes, Duration::from_secs(6));
                let text = answer.map_or_else(|error| error.to_string(), |answer| answer.start);
                record.add(format!("the client of {id} gets: {text}"));
            })
        })
        .collect();
    thread::sleep(KILL_AFTER);
    if has_trouble() {
        sidecars[0].kill();
        record.add("the sidecar beside the upstream is killed".into());
        thread::sleep(RESTART_AFTER);
        sidecars[0].restart();
        record.add("it is started again".into());
    }
    for client in clients {
        client.join().ok();
    }
    thread::sleep(Duration::from_secs(2));
    let answers = answers.lock().unwrap();
    let denied = answers
        .iter()
        .filter(|(_, text)| text.contains(" 401 "))
        .count();
    let is_broken = denied > ALLOWED;
    record.add(format!(
        "DENIED {}: {denied} of {} calls got 401, {ALLOWED} are allowed",
        if is_broken { "broken" } else { "held" },
        answers.len()
    ));
    record.write(&folder.join("record.txt"));
    std::fs::remove_dir_all(&temporary).ok();
    let status = match answers.len() {
        0 => COULD_NOT_RUN,
        _ if is_broken => BROKEN,
        _ => HELD,
    };
    end_run(status)
}
