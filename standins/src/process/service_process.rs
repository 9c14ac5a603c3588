use {
    anyhow::{Context, bail},
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, File},
        io::{BufRead, BufReader},
        path::{Path, PathBuf},
        process::{Child, Command, ExitStatus, Stdio},
        sync::mpsc,
        thread,
        time::{Duration, Instant},
    },
    tempfile::TempDir,
};

const START_TIMEOUT: Duration = Duration::from_secs(60);
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a test does to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    Pause,
    Resume,
    Kill,
    Terminate,
}

/// A process that a test started; dropping it kills it.
#[derive(Debug)]
pub struct ServiceProcess {
    child: Child,
    directory: TempDir,
    first_line: String,
}

impl ServiceProcess {
    /// Starts `program` in a folder of its own that holds the text `settings` as `settings.json`,
    /// and waits for its first line.
    ///
    /// # Errors
    /// The program cannot be started, or ends or stays silent before its first line.
    pub fn start(program: &Path, arguments: &[&str], settings: &str) -> anyhow::Result<Self> {
        let directory = TempDir::new()?;
        fs::write(directory.path().join("settings.json"), settings)?;
        let log = File::create(directory.path().join("log"))?;
        let mut child = Command::new(program)
            .args(arguments)
            .current_dir(directory.path())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("starting {}", program.display()))?;
        let first_line = read_first_line(&mut child);
        let mut process = Self {
            child,
            directory,
            first_line: String::new(),
        };
        match first_line {
            Some(line) => process.first_line = line,
            None => bail!("no first line of {}: {}", program.display(), process.log()),
        }
        Ok(process)
    }

    /// The line that the program printed when it was ready.
    #[must_use]
    pub fn first_line(&self) -> &str {
        &self.first_line
    }

    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    #[must_use]
    pub fn directory(&self) -> PathBuf {
        self.directory.path().into()
    }

    /// What the program wrote to its standard error.
    #[must_use]
    pub fn log(&self) -> String {
        fs::read_to_string(self.directory.path().join("log")).unwrap_or_default()
    }

    /// # Errors
    /// The process is gone.
    pub fn signal(&self, signal: ProcessSignal) -> anyhow::Result<()> {
        let signal = match signal {
            ProcessSignal::Pause => Signal::STOP,
            ProcessSignal::Resume => Signal::CONT,
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::Terminate => Signal::TERM,
        };
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Waits for the process to end, for at most `limit`; `None` if it still runs.
    ///
    /// # Errors
    /// The state of the process cannot be read.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> anyhow::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.child.try_wait()?;
            if status.is_some() || Instant::now() >= deadline {
                return Ok(status);
            }
            thread::sleep(EXIT_POLL_INTERVAL);
        }
    }
}

impl Drop for ServiceProcess {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the first line, and the rest in the background, so that the program never blocks on it.
fn read_first_line(child: &mut Child) -> Option<String> {
    let output = child.stdout.take()?;
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            // Only the first line is awaited.
            let _ = sender.send(line);
        }
    });
    receiver.recv_timeout(START_TIMEOUT).ok()
}
