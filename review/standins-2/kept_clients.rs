//! More clients keep connections to one sidecar than it accepts; new clients wait without an answer.

mod fleet;

use {
    fleet::*,
    std::{
        io::Write,
        net::{SocketAddr, TcpStream},
        path::{Path, PathBuf},
        sync::{
            atomic::{AtomicBool, AtomicUsize, Ordering},
            Arc,
        },
        thread,
        time::{Duration, Instant},
    },
};

/// Clients that keep a connection: under the usual load, and in a burst of 1.8 times as many.
const USUAL_CLIENTS: usize = 1_450;
const BURST_CLIENTS: usize = 2_610;
/// Clients that come then.
const NEW_CLIENTS: usize = 20;
/// Pause between two requests of a client; clients may use connections that were idle for 12 s.
const PAUSE: Duration = Duration::from_secs(8);
const DEADLINE_MS: u64 = 5_000;
const WORK: Duration = Duration::from_millis(20);
const SLOTS: u32 = 147;
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Clients that must have tried meanwhile.
const MIN_TRIES: usize = 7;

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

/// Sends one request after another on a connection that is kept.
fn keep_connection(outbound: SocketAddr, client: usize, served: &AtomicUsize, is_over: &AtomicBool) {
    let Ok(mut stream) = TcpStream::connect_timeout(&outbound, Duration::from_secs(1)) else {
        return;
    };
    stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS))).ok();
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = Reader::new(reading);
    for number in 0.. {
        let id = format!("kept-{client}-{number}");
        let bytes = request("GET", "/read/1", &id, DEADLINE_MS, b"");
        if stream.write_all(&bytes).is_err() || reader.message().is_err() {
            return;
        }
        if number == 0 {
            served.fetch_add(1, Ordering::Relaxed);
        }
        let end = Instant::now() + PAUSE;
        while Instant::now() < end {
            if is_over.load(Ordering::Relaxed) {
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
    }
}

fn main() {
    limit_run(Duration::from_secs(100));
    let folder = PathBuf::from(std::env::args().nth(1).expect("the folder of the case"));
    let program = Path::new("target/release/banyantrestle-sidecar");
    let record = Record::new();
    let temporary = temporary_folder();
    let network = Network::new();
    let store = Store::start(network.address(1, STORE));
    let routes = route("read", "/read/", "safe", DEADLINE_MS, "catalogue");
    store.put_config(&config(1, &routes, &["catalogue"], 67_108_864));
    let figures = Figures {
        memory_mb: 260,
        grace_s: 6,
        bounds: "",
    };
    let sidecars: Vec<_> = [2, 3]
        .map(|host| {
            let sidecar = Sidecar::start(network, host, "catalogue", figures, &temporary, program);
            serve(sidecar.address(APP), serve_upstream);
            let (admin, app) = (sidecar.address(ADMIN), sidecar.address(APP));
            Heartbeats::start(admin, app, &format!("i-{host}"), "catalogue", SLOTS);
            sidecar
        })
        .into();
    let outbound = sidecars[0].address(OUTBOUND);
    let is_serving = wait_until(Duration::from_secs(20), || {
        sidecars.iter().all(|sidecar| {
            let bytes = request("GET", "/read/1", &format!("first-{}", now_ms()), 2_000, b"");
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

    let served = Arc::new(AtomicUsize::new(0));
    let is_over = Arc::new(AtomicBool::new(false));
    let start_clients = |numbers: std::ops::Range<usize>| {
        for client in numbers {
            let (served, is_over) = (served.clone(), is_over.clone());
            thread::Builder::new()
                .stack_size(128 * 1024)
                .spawn(move || keep_connection(outbound, client, &served, &is_over))
                .expect("a thread");
            thread::sleep(Duration::from_millis(3));
        }
    };
    start_clients(0..USUAL_CLIENTS);
    record.add(format!("{USUAL_CLIENTS} clients keep connections"));
    if has_trouble() {
        start_clients(USUAL_CLIENTS..BURST_CLIENTS);
        record.add(format!("burst: {BURST_CLIENTS} clients keep connections"));
    }
    thread::sleep(Duration::from_secs(1));
    record.add(format!("{} clients were served", served.load(Ordering::Relaxed)));

    // Each client tries again as soon as it has given up, as the pages have it.
    let begin = Instant::now();
    let tries = Arc::new(AtomicUsize::new(0));
    let taken = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..NEW_CLIENTS)
        .map(|client| {
            let (tries, taken) = (tries.clone(), taken.clone());
            thread::spawn(move || {
                let mut number = 0;
                while begin.elapsed() < STABLE_WINDOW {
                    tries.fetch_add(1, Ordering::Relaxed);
                    let id = format!("new-{client}-{number}");
                    let bytes = request("GET", "/read/1", &id, DEADLINE_MS, b"");
                    // A client leaves if its request hasn't been read after a second.
                    if call(outbound, &bytes, Duration::from_secs(1)).is_ok() {
                        taken.fetch_add(1, Ordering::Relaxed);
                        return;
                    }
                    number += 1;
                }
            })
        })
        .collect();
    let mut is_ready = true;
    while begin.elapsed() < STABLE_WINDOW {
        is_ready &= sidecars[0].is_ready();
        thread::sleep(Duration::from_millis(500));
    }
    for client in clients {
        client.join().ok();
    }
    is_over.store(true, Ordering::Relaxed);
    let (tries, taken) = (tries.load(Ordering::Relaxed), taken.load(Ordering::Relaxed));
    record.add(format!(
        "{NEW_CLIENTS} new clients tried {tries} times in {} s, {taken} were answered; ready: {is_ready}",
        STABLE_WINDOW.as_secs()
    ));
    record.add(format!("memory of the sidecar: {} bytes", sidecars[0].memory("VmHWM")));
    let is_broken = is_ready && taken == 0 && NEW_CLIENTS >= MIN_TRIES;
    record.add(format!("RECOVER {}", if is_broken { "broken" } else { "held" }));
    record.write(&folder.join("record.txt"));
    std::fs::remove_dir_all(&temporary).ok();
    end_run(if is_broken { BROKEN } else { HELD })
}
