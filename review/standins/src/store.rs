//! Stand-in for the platform's store: rows, transactions and the feed.

use {
    crate::{
        http::Head,
        json::{Json, base64},
    },
    std::{
        collections::BTreeMap,
        io::{self, BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

type RowName = (String, String, String);

#[derive(Default)]
struct Rows {
    /// Value and version by table, part and key.
    rows: BTreeMap<RowName, (String, u64)>,
    version: u64,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
    /// Table that is not available.
    lost_table: Arc<Mutex<Option<String>>>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self {
            rows: Arc::default(),
            started: Instant::now(),
            lost_table: Arc::default(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(&stream));
            }
        });
        Ok(store)
    }

    /// Makes one table unavailable, or all available again.
    pub fn lose_table(&self, table: Option<&str>) {
        *self.lost_table.lock().unwrap() = table.map(str::to_owned);
    }

    /// Writes `op/config`, as the operator does.
    pub fn put_configuration(&self, document: &str) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let name = ("op".into(), String::new(), "config".into());
        rows.rows
            .insert(name, (base64(document.as_bytes()), version));
        changed.notify_all();
    }

    fn serve(&self, stream: &TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            let mut body = Vec::new();
            if head
                .read_body(&mut reader, |piece| body.extend_from_slice(piece))
                .is_err()
            {
                return;
            }
            thread::sleep(Duration::from_millis(4));
            let (status, text) = self.respond(head.word(1), &String::from_utf8_lossy(&body));
            let answer = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
                .unwrap_or_default()
        };
        let lost_table = self.lost_table.lock().unwrap().clone();
        let uses = |table: &String| {
            field("table") == *table || body.contains(&format!("\"table\":\"{table}\""))
        };
        if lost_table.as_ref().is_some_and(uses) {
            return (503, "{}".into());
        }
        match path {
            "/v1/rows-get" => {
                let limit = field("limit").parse().unwrap_or(500).min(500);
                (
                    200,
                    self.read(&field("table"), &field("part"), &field("from"), limit),
                )
            }
            "/v1/rows-feed" => {
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                (
                    200,
                    self.feed(&field("table"), field("after").parse().unwrap_or(0), wait),
                )
            }
            "/v1/rows-tx" => self.transact(body),
            _ => (404, "{}".into()),
        }
    }

    fn now(&self) -> String {
        format!("{}ms", self.started.elapsed().as_millis())
    }

    fn read(&self, table: &str, part: &str, from: &str, limit: usize) -> String {
        let rows = self.rows.0.lock().unwrap();
        let found = rows.rows.iter().filter(|((of_table, of_part, key), _)| {
            of_table == table && of_part == part && key.as_str() >= from
        });
        let mut texts: Vec<String> = found
            .take(limit + 1)
            .map(|(name, row)| row_text(name, row))
            .collect();
        let has_more = texts.len() > limit;
        texts.truncate(limit);
        let (version, now) = (rows.version, self.now());
        let texts = texts.join(",");
        format!(
            "{{\"rows\":[{texts}],\"has_more\":{has_more},\"ver\":{version},\"now\":\"{now}\"}}"
        )
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let (rows, changed) = &*self.rows;
        let deadline = Instant::now() + wait;
        let mut rows = rows.lock().unwrap();
        loop {
            let found = rows
                .rows
                .iter()
                .filter(|(name, row)| name.0 == table && row.1 > after);
            let texts: Vec<String> = found.map(|(name, row)| row_text(name, row)).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !texts.is_empty() || left.is_zero() {
                let (version, now, texts) = (rows.version, self.now(), texts.join(","));
                return format!("{{\"rows\":[{texts}],\"ver\":{version},\"now\":\"{now}\"}}");
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else {
            return (400, "{}".into());
        };
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        let conditions = body.list("precondition");
        let is_met = |condition: &Json| {
            let row = rows.rows.get(&row_name(condition));
            row.map_or(0, |row| row.1) == condition.number("ver")
        };
        if !conditions.iter().all(is_met) {
            let found = conditions.iter().filter_map(|condition| {
                let name = row_name(condition);
                rows.rows.get(&name).map(|row| row_text(&name, row))
            });
            let texts: Vec<String> = found.collect();
            let (version, now, texts) = (rows.version, self.now(), texts.join(","));
            return (
                412,
                format!("{{\"rows\":[{texts}],\"ver\":{version},\"now\":\"{now}\"}}"),
            );
        }
        rows.version += 1;
        let version = rows.version;
        for put in body.list("puts") {
            rows.rows
                .insert(row_name(&put), (put.text("value"), version));
        }
        for removal in body.list("remove") {
            rows.rows.remove(&row_name(&removal));
        }
        changed.notify_all();
        (
            200,
            format!("{{\"ver\":{version},\"now\":\"{}\"}}", self.now()),
        )
    }
}

fn row_name(entry: &Json) -> RowName {
    (entry.text("table"), entry.text("part"), entry.text("key"))
}

fn row_text((table, part, key): &RowName, (value, version): &(String, u64)) -> String {
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\"value\":\"{value}\",\"ver\":{version}}}"
    )
}
