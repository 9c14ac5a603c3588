//! The store comes back from a copy that is older than an acknowledged leave, while the sidecar that
//! acknowledged it restarts; then a heartbeat arrives that the upstream had sent before it left.

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

const DEADLINE_MS: u64 = 5_000;
const WORK: Duration = Duration::from_millis(120);
const SLOTS: u32 = 147;
/// Clients, and further ones that come after the late heartbeat.
const CLIENTS: usize = 2;
const FURTHER_CLIENTS: usize = 8;
/// Time between two requests of a client.
const PAUSE: Duration = Duration::from_millis(800);
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Age of the copy, and time for which the store is away.
const COPY_AGE: Duration = Duration::from_millis(1_500);
const AWAY: Duration = Duration::from_millis(700);
/// Time from the leave to the late heartbeat, and to the exit of the upstream.
const LATENESS: Duration = Duration::from_millis(2_500);
const SERVE_TIME: Duration = Duration::from_millis(8_500);

/// Requests that the leaving upstream has begun to work on.
type Arrivals = Arc<Mutex<Vec<(Instant, String)>>>;

fn serve_upstream(stream: TcpStream, arrivals: &Arrivals) {
    let mut writer = stream.try_clone().expect("a stream");
    let mut reader = Reader::new(stream);
    while let Ok(request) = reader.message() {
        let id = request
            .header("x-banyantrestle-request-id")
            .unwrap_or_default()
            .to_owned();
        arrivals.lock().unwrap().push((Instant::now(), id.clone()));
        thread::sleep(WORK);
        let headers = format!(
            "X-Banyantrestle-Request-Id: {id}\r\nX-Banyantrestle-Response-Signature: sig\r\n\
             Keep-Alive: timeout=10\r\n"
        );
        if respond(&mut writer, "200 OK", &headers, b"done").is_err() {
            return;
        }
    }
}

fn sleep_until(instant: Instant) {
    thread::sleep(instant.saturating_duration_since(Instant::now()));
}

fn main() {
    limit_run(Duration::from_secs(100));
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let program = Path::new("target/release/banyantrestle-sidecar");
    let record = Record::new();
    let temporary = temporary_folder();
    let network = Network::new();
    let store = Store::start(network.address(1, STORE));
    let routes = route("buy", "/buy/", "unsafe", 800, "billing");
    store.put_config(&config(1, &routes, &["billing"], 67_108_864));
    let figures = Figures {
        memory_mb: 260,
        grace_s: 6,
        bounds: "",
    };
    let born = now_ms();
    let leaving_arrivals = Arrivals::default();
    let mut machines: Vec<_> = [2, 3, 4]
        .map(|host| {
            let sidecar = Sidecar::start(network, host, "billing", figures, &temporary, program);
            let arrivals = if host == 2 {
                leaving_arrivals.clone()
            } else {
                Arrivals::default()
            };
            serve(sidecar.address(APP), move |stream| {
                serve_upstream(stream, &arrivals)
            });
            let (admin, app) = (sidecar.address(ADMIN), sidecar.address(APP));
            let id = format!("i-{host}");
            let beats = Heartbeats::start_as(admin, app, &id, "billing", SLOTS, born);
            (sidecar, beats)
        })
        .into();
    let is_serving = wait_until(Duration::from_secs(20), || {
        machines.iter().all(|(sidecar, _)| {
            let bytes = request(
                "POST",
                "/buy/1",
                &format!("first-{}", now_ms()),
                2_000,
                b"x",
            );
            let answer = call(sidecar.address(OUTBOUND), &bytes, Duration::from_secs(3));
            sidecar.is_ready() && answer.is_ok_and(|answer| answer.status() == 200)
        })
    });
    if !is_serving {
        record.add("the sidecars don't serve".into());
        record.write(&folder.join("record.txt"));
        end_run(COULD_NOT_RUN);
    }
    thread::sleep(Duration::from_secs(4));

    // Clients on the two machines that nothing happens to.
    let is_over = Arc::new(AtomicBool::new(false));
    let outbounds = [1, 2].map(|machine| machines[machine].0.address(OUTBOUND));
    let start_client = |client: usize| {
        let outbound = outbounds[client % 2];
        let is_over = is_over.clone();
        thread::spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let id = format!("purchase-{client}-{number}");
                let bytes = request("POST", "/buy/1", &id, DEADLINE_MS, b"x");
                call(outbound, &bytes, Duration::from_secs(6)).ok();
                thread::sleep(PAUSE);
            }
        })
    };
    let mut clients: Vec<_> = (0..CLIENTS).map(start_client).collect();
    thread::sleep(Duration::from_secs(2));

    let (admin, app) = {
        let (sidecar, beats) = &machines[0];
        beats.is_over.store(true, Ordering::Relaxed);
        (sidecar.address(ADMIN), sidecar.address(APP))
    };
    // A heartbeat of this number is on its way from now on.
    let late_sequence = machines[0].1.sequence.load(Ordering::Relaxed) + 1;
    let copy = store.copy();
    let copied_at = Instant::now();
    thread::sleep(Duration::from_millis(300));
    let leave = "DELETE /v1/instances/i-2 HTTP/1.1\r\nHost: sidecar\r\n\r\n";
    let status =
        call(admin, leave.as_bytes(), Duration::from_secs(1)).map(|answer| answer.status());
    let left_at = Instant::now();
    record.add(format!("upstream i-2 sends DELETE: {status:?}"));
    if !matches!(status, Ok(200)) {
        record.write(&folder.join("record.txt"));
        end_run(COULD_NOT_RUN);
    }
    if has_trouble() {
        sleep_until(copied_at + COPY_AGE - AWAY);
        store.is_down.store(true, Ordering::Relaxed);
        record.add("the store is away".into());
        thread::sleep(Duration::from_millis(200));
        machines[0].0.kill();
        record.add("the sidecar beside i-2 is killed".into());
        thread::sleep(Duration::from_millis(300));
        machines[0].0.restart();
        record.add("it is started again".into());
        sleep_until(copied_at + COPY_AGE);
        store.restore(copy);
        store.is_down.store(false, Ordering::Relaxed);
        record.add("the store is back from the copy".into());
    }
    let calm_from = Instant::now() + STABLE_WINDOW;
    sleep_until(left_at + LATENESS);
    let figures = (late_sequence, born, SLOTS);
    let status = beat(admin, app, "i-2", "billing", "ready", figures);
    record.add(format!("a heartbeat of i-2 arrives late: {status:?}"));
    clients.extend((CLIENTS..CLIENTS + FURTHER_CLIENTS).map(start_client));
    sleep_until(left_at + SERVE_TIME);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().ok();
    }
    let arrivals = leaving_arrivals.lock().unwrap();
    let is_late = |entry: &&(Instant, String)| entry.0 > left_at + DRAIN && entry.0 > calm_from;
    let late: Vec<_> = arrivals.iter().filter(is_late).collect();
    for (at, id) in late.iter().take(5) {
        let since = at.saturating_duration_since(left_at).as_millis();
        record.add(format!(
            "{id} runs on i-2 {since} ms after the acknowledgement"
        ));
    }
    let is_broken = !late.is_empty();
    record.add(format!(
        "DRAIN {}: {} requests later than {} ms after the acknowledgement and {} ms after the trouble",
        if is_broken { "broken" } else { "held" },
        late.len(),
        DRAIN.as_millis(),
        STABLE_WINDOW.as_millis()
    ));
    record.write(&folder.join("record.txt"));
    std::fs::remove_dir_all(&temporary).ok();
    end_run(if is_broken { BROKEN } else { HELD })
}
