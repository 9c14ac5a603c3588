use {
    super::{Daemon, DaemonOptions},
    crate::settings::{self, DaemonSettings},
    anyhow::Context,
    slog::{Drain, Level, LevelFilter, Logger, error, info, o},
    std::{io, path::PathBuf, process::ExitCode, str::FromStr},
    tokio::{
        runtime::Runtime,
        signal::unix::{Signal, SignalKind, signal},
    },
};

/// Exit status of bad arguments or settings.
const EXIT_USAGE: u8 = 2;

xflags::xflags! {
    /// The overload control daemon beside a target.
    cmd banyantrestled {
        /// Settings of the daemon, JSON with comments.
        required --settings path: PathBuf
        /// Check the settings and exit.
        optional --check
    }
}

/// What the daemon was started for.
#[derive(Debug)]
pub struct DaemonCommand {
    settings: DaemonSettings,
    is_check_only: bool,
}

impl DaemonCommand {
    /// Reads the arguments and the settings they name.
    ///
    /// # Errors
    /// The status to exit with, after the reason was printed or help was asked for.
    pub fn from_args() -> Result<Self, ExitCode> {
        let flags = match Banyantrestled::from_env() {
            Ok(flags) => flags,
            Err(error) if error.is_help() => {
                println!("{error}");
                return Err(ExitCode::SUCCESS);
            }
            Err(error) => return Err(report_usage_error(&error)),
        };
        let settings =
            settings::load(&flags.settings).map_err(|error| report_usage_error(&error))?;
        Ok(Self {
            settings,
            is_check_only: flags.check,
        })
    }
}

/// Runs a daemon until it is told to stop: once by SIGTERM or SIGINT to end gracefully, a second
/// time to end at once.
#[must_use]
pub fn run_daemon(command: &DaemonCommand) -> ExitCode {
    if command.is_check_only {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    let log = build_log(&command.settings.log.level);
    let result = Runtime::new()
        .context("no runtime for the daemon")
        .and_then(|runtime| runtime.block_on(serve(command.settings.clone(), log.clone())));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            error!(log, "daemon failed"; "error" => format!("{cause:#}"));
            drop(log);
            eprintln!("banyantrestled: {cause:#}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: DaemonSettings, log: Logger) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("no handler for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("no handler for SIGINT")?;
    let daemon = Daemon::start(settings, DaemonOptions::default(), log.clone()).await?;
    let listen = daemon.listen();
    println!("{}", serde_json::to_string(&listen)?);
    info!(log, "daemon listens";
        "edge" => %listen.edge,
        "local" => %listen.local,
        "mesh" => %listen.mesh,
        "gossip" => %listen.gossip,
        "admin" => %listen.admin);
    wait_for_stop_signal(&mut terminate, &mut interrupt).await;
    daemon
        .shutdown(wait_for_stop_signal(&mut terminate, &mut interrupt))
        .await;
    Ok(())
}

async fn wait_for_stop_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

fn build_log(level: &str) -> Logger {
    let level = Level::from_str(level).unwrap_or(Level::Info);
    let lines = slog_json::Json::default(io::stderr()).fuse();
    let drain = slog_async::Async::new(lines).build();
    let filtered = LevelFilter::new(drain.fuse(), level);
    Logger::root(filtered.fuse(), o!())
}

fn report_usage_error<E: std::fmt::Display>(error: &E) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_USAGE)
}
