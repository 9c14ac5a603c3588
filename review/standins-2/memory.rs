//! Uploads of clients whose sizes stay within the configured limit, until the sidecar takes more
//! memory than its machine gives it.

mod fleet;

use {
    fleet::*,
    std::{
        collections::{BTreeMap, BTreeSet},
        io::Write,
        net::{SocketAddr, TcpStream},
        path::{Path, PathBuf},
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

const MEMORY_MB: u32 = 260;
/// The limit as the more generous reading of MB has it.
const MEMORY_BYTES: u64 = MEMORY_MB as u64 * 1024 * 1024;
const MAX_BODY_BYTES: u64 = 67_108_864;
const DEADLINE_MS: u64 = 5_000;
const SLOTS: u32 = 147;
/// Waves of uploads under the usual load: clients at once, and bytes of each body.
const WAVES: [(usize, usize); 10] = [
    (67, 1_060_000),
    (34, 2_100_000),
    (18, 4_200_000),
    (9, 8_450_000),
    (5, 16_900_000),
    (67, 1_060_000),
    (34, 2_100_000),
    (18, 4_200_000),
    (9, 8_450_000),
    (5, 16_900_000),
];
/// Waves of a burst of 1.8 times as many clients.
const BURST_WAVES: [usize; 10] = [120, 60, 31, 15, 8, 120, 60, 31, 15, 8];
/// Bytes a second of all uploads. They stay on the machine: the only upstream of their service is the one
/// beside its sidecar, so that no packet waits at a link.
const UPLOAD_RATE: f64 = 100e6;
const WAVE_INTERVAL: Duration = Duration::from_millis(2_000);
const CHUNK_BYTES: usize = 16 * 1024;
/// Clients that keep a connection, and the work of an upstream on a request.
const KEPT_CLIENTS: usize = 12;
const UPSTREAM_WORK: Duration = Duration::from_millis(300);
/// Times for which LOST allows such an end.
const ALLOWED: usize = 3;

/// Requests that upstreams have begun to work on.
type Runs = Arc<Mutex<BTreeSet<String>>>;

fn serve_upstream(stream: TcpStream, runs: &Runs) {
    let mut writer = stream.try_clone().expect("a stream");
    let mut reader = Reader::new(stream);
    while let Ok(request) = reader.message() {
        let id = request.header("x-banyantrestle-request-id");
        let id = id.unwrap_or_default().to_owned();
        runs.lock().unwrap().insert(id.clone());
        thread::sleep(UPSTREAM_WORK);
        let headers = format!(
            "X-Banyantrestle-Request-Id: {id}\r\nX-Banyantrestle-Response-Signature: sig\r\n\
             Keep-Alive: timeout=10\r\n"
        );
        if respond(&mut writer, "200 OK", &headers, b"done").is_err() {
            return;
        }
    }
}

/// Uploads a body in chunks; returns the status of the answer.
fn upload(outbound: SocketAddr, id: &str, length: usize, rate: f64) -> Option<u16> {
    let mut stream = TcpStream::connect(outbound).ok()?;
    stream.set_nodelay(true).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))
        .ok()?;
    let head = format!(
        "POST /put/file HTTP/1.1\r\nHost: one.example\r\nX-Banyantrestle-Request-Id: {id}\r\n\
         X-Banyantrestle-Deadline-Ms: {DEADLINE_MS}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let chunk = vec![b'x'; CHUNK_BYTES];
    let start = Instant::now();
    let mut sent = 0;
    while sent < length {
        let size = CHUNK_BYTES.min(length - sent);
        let frame = [format!("{size:x}\r\n").as_bytes(), &chunk[..size], b"\r\n"].concat();
        stream.write_all(&frame).ok()?;
        sent += size;
        let due = Duration::from_secs_f64(sent as f64 / rate);
        thread::sleep(due.saturating_sub(start.elapsed()));
    }
    stream.write_all(b"0\r\n\r\n").ok()?;
    let answer = Reader::new(stream).message().ok()?;
    Some(answer.status())
}

/// Sends one request after another on a connection that is kept; returns the id of the request that
/// got no complete answer because the connection ended.
fn keep_connection(
    outbound: SocketAddr,
    name: &str,
    answered: &AtomicU64,
    is_over: &AtomicBool,
) -> Option<String> {
    let mut stream = TcpStream::connect(outbound).ok()?;
    stream.set_nodelay(true).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)))
        .ok()?;
    let mut reader = Reader::new(stream.try_clone().ok()?);
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return None;
        }
        let id = format!("{name}{number}");
        let bytes = request("POST", "/buy/1", &id, DEADLINE_MS, &[b'y'; 4_000]);
        if stream.write_all(&bytes).is_err() || reader.message().is_err() {
            return (number > 0).then_some(id);
        }
        answered.fetch_add(1, Ordering::Relaxed);
    }
    None
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
        route("put", "/put/", "unsafe", DEADLINE_MS, "billing"),
        route("buy", "/buy/", "unsafe", DEADLINE_MS, "billing"),
    ];
    store.put_config(&config(
        1,
        &routes.join(","),
        &["billing", "catalogue"],
        MAX_BODY_BYTES,
    ));
    let runs = Runs::default();
    let figures = Figures {
        memory_mb: MEMORY_MB,
        grace_s: 6,
        bounds: "",
    };
    let mut sidecars: Vec<_> = [(2, "billing"), (3, "catalogue")]
        .map(|(host, service)| {
            let sidecar = Sidecar::start(network, host, service, figures, &temporary, program);
            let runs = runs.clone();
            serve(sidecar.address(APP), move |stream| {
                serve_upstream(stream, &runs)
            });
            let (admin, app) = (sidecar.address(ADMIN), sidecar.address(APP));
            Heartbeats::start(admin, app, &format!("i-{host}"), service, SLOTS);
            sidecar
        })
        .into();
    let outbound = sidecars[0].address(OUTBOUND);
    let is_serving = wait_until(Duration::from_secs(20), || {
        sidecars.iter().all(|sidecar| {
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
    // Both sidecars know each other's target by now.
    thread::sleep(Duration::from_secs(4));

    let is_over = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU64::new(0));
    let kept: Vec<_> = (0..KEPT_CLIENTS)
        .map(|client| {
            let (answered, is_over) = (answered.clone(), is_over.clone());
            let name = format!("kept-{client}-");
            thread::spawn(move || keep_connection(outbound, &name, &answered, &is_over))
        })
        .collect();
    let statuses: Arc<Mutex<BTreeMap<String, usize>>> = Arc::default();
    let waves = thread::spawn({
        let (statuses, record) = (statuses.clone(), record.clone());
        let is_over = is_over.clone();
        move || {
            for (wave, ((usual, length), burst)) in WAVES.into_iter().zip(BURST_WAVES).enumerate() {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let clients = if has_trouble() { burst } else { usual };
                record.add(format!("{clients} clients upload {length} bytes each"));
                for client in 0..clients {
                    let statuses = statuses.clone();
                    thread::spawn(move || {
                        let id = format!("upload-{wave}-{client}");
                        let rate = UPLOAD_RATE / clients as f64;
                        let status = upload(outbound, &id, length, rate);
                        let name = status.map_or("no answer".into(), |status| status.to_string());
                        *statuses.lock().unwrap().entry(name).or_default() += 1;
                    });
                }
                thread::sleep(WAVE_INTERVAL);
            }
            is_over.store(true, Ordering::Relaxed);
        }
    });
    let mut peak = 0;
    while !is_over.load(Ordering::Relaxed) {
        let memory = sidecars[0].memory("RssAnon");
        peak = peak.max(memory);
        if memory > MEMORY_BYTES {
            // The platform kills a process that exceeds its memory.
            sidecars[0].kill();
            record.add(format!(
                "sidecar killed: it took {memory} of {MEMORY_BYTES} bytes"
            ));
            is_over.store(true, Ordering::Relaxed);
        }
        thread::sleep(Duration::from_millis(5));
    }
    let cut: Vec<_> = kept
        .into_iter()
        .filter_map(|client| client.join().ok()?)
        .collect();
    waves.join().ok();
    thread::sleep(Duration::from_millis(500));
    record.add(format!(
        "kept connections: {} requests answered",
        answered.load(Ordering::Relaxed)
    ));
    record.add(format!("uploads: {:?}", statuses.lock().unwrap()));
    record.add(format!("peak memory of the sidecar: {peak} bytes"));
    let runs = runs.lock().unwrap();
    let lost: Vec<_> = cut.into_iter().filter(|id| runs.contains(id)).collect();
    for id in &lost {
        record.add(format!(
            "{id}: an upstream ran it; its connection ended without an answer"
        ));
    }
    let is_broken = lost.len() > ALLOWED;
    record.add(format!(
        "LOST {}: {} requests, {ALLOWED} allowed",
        if is_broken { "broken" } else { "held" },
        lost.len()
    ));
    record.write(&folder.join("record.txt"));
    std::fs::remove_dir_all(&temporary).ok();
    end_run(if is_broken { BROKEN } else { HELD })
}
