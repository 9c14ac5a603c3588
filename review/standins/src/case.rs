//! The frame of a case: its record, its verdict and its exit status.

use {
    crate::fleet::kill_all,
    std::{
        env,
        fs::File,
        io::Write,
        panic::{self, AssertUnwindSafe},
        path::Path,
        process::exit,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Time after which a case that has not ended could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Whether the rule was broken.
pub enum Verdict {
    Held,
    Broken,
}

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub started: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.duration_since(self.started).as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{seconds:8.3} s  {text}").ok();
    }
}

/// Runs a case with the folder of its record as the first argument, and exits with its status.
pub fn run(case: impl FnOnce(&Record, bool) -> Result<Verdict, String>) -> ! {
    let folder = env::args().nth(1).unwrap_or_else(|| ".".into());
    let is_troubled = env::var("TROUBLE").map_or(true, |value| value != "0");
    let file = File::create(Path::new(&folder).join("record.txt"));
    let Ok(file) = file else {
        eprintln!("record.txt can't be written");
        exit(2);
    };
    let record = Record {
        file: Arc::new(Mutex::new(file)),
        started: Instant::now(),
    };
    let limited = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        limited.line("could not run: time limit");
        kill_all();
        exit(2);
    });
    record.line(if is_troubled {
        "with the disruption"
    } else {
        "without the disruption"
    });
    let result = panic::catch_unwind(AssertUnwindSafe(|| case(&record, is_troubled)));
    kill_all();
    let (text, status) = match result {
        Ok(Ok(Verdict::Held)) => ("the rule held".to_owned(), 0),
        Ok(Ok(Verdict::Broken)) => ("the rule was broken".to_owned(), 1),
        Ok(Err(reason)) => (format!("could not run: {reason}"), 2),
        Err(_) => ("could not run: the stand-ins failed".to_owned(), 2),
    };
    record.line(&text);
    println!("{text}");
    exit(status);
}
