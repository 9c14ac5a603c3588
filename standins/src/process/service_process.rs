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

/// Signal that a test sends to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGSTOP.
    Pause,
    /// SIGCONT.
    Resume,
    /// SIGKILL.
    Kill,
    /// SIGTERM.
    Terminate,
}

/// A process started by a test; dropping it kills it.
#[derive(Debug)]
pub struct ServiceProcess {
    child: Child,
    directory: TempDir,
    first_line: String,
}

impl ServiceProcess {
    /// Starts `program` in a new temporary directory, with the text `settings` in the file
    /// `settings.json`, and waits for its first line of output.
    ///
    /// # Errors
    /// The program cannot be started, or it exits or times out before its first line.
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
            .with_context(|| format!("failed to start {}", program.display()))?;
        let first_line = read_first_line(&mut child);
        let mut process = Self {
            child,
            directory,
            first_line: String::new(),
        };
        match first_line {
            Some(line) => process.first_line = line,
            None => bail!(
                "{} exited or printed no line within {START_TIMEOUT:?}; its log: {}",
                program.display(),
                process.log()
            ),
        }
        Ok(process)
    }

    /// Line that the program printed when it was ready.
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

    /// Output of the program on its standard error.
    #[must_use]
    pub fn log(&self) -> String {
        fs::read_to_string(self.directory.path().join("log")).unwrap_or_default()
    }

    /// # Errors
    /// The process does not exist any more.
    pub fn signal(&self, signal: ProcessSignal) -> anyhow::Result<()> {
        let signal = match signal {
            ProcessSignal::Pause => Signal::STOP,
            ProcessSignal::Resume => Signal::CONT,
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::Terminate => Signal::TERM,
        };
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Waits for the process to exit, for at most `timeout`; returns `None` if it still runs.
    ///
    /// # Errors
    /// The exit status cannot be read.
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
        // The process may already have exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the first line, and discards the rest in the background so that the program never blocks
/// on a full pipe.
fn read_first_line(child: &mut Child) -> Option<String> {
    let output = child.stdout.take()?;
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            // The receiver is dropped after the first line.
            let _ = sender.send(line);
        }
    });
    receiver.recv_timeout(START_TIMEOUT).ok()
}
