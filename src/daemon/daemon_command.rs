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

/// Exit status for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

xflags::xflags! {
    /// Overload control daemon of a target.
    cmd banyantrestled {
        /// Path of the daemon settings, in JSON with comments.
        required --settings path: PathBuf
        /// Check the settings and exit.
        optional --check
    }
}

/// The parsed command line and the settings that it names.
#[derive(Debug)]
pub struct DaemonCommand {
    settings: DaemonSettings,
    is_check_only: bool,
}

impl DaemonCommand {
    /// Parses the arguments and loads the settings file.
    ///
    /// # Errors
    /// Returns the exit status after it has printed the error or the requested help.
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

/// Runs a daemon until it receives SIGTERM or SIGINT. The first signal starts a graceful shutdown,
/// the second one stops the daemon immediately.
#[must_use]
pub fn run_daemon(command: &DaemonCommand) -> ExitCode {
    if command.is_check_only {
        println!("settings are valid");
        return ExitCode::SUCCESS;
    }
    let log = build_log(&command.settings.log.level);
    let result = Runtime::new()
        .context("cannot start the async runtime")
        .and_then(|runtime| runtime.block_on(serve(command.settings.clone(), log.clone())));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            error!(log, "daemon failed and exits"; "error" => format!("{cause:#}"));
            drop(log);
            eprintln!("banyantrestled: {cause:#}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: DaemonSettings, log: Logger) -> anyhow::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("cannot install the handler of SIGTERM")?;
    let mut interrupt =
        signal(SignalKind::interrupt()).context("cannot install the handler of SIGINT")?;
    let daemon = Daemon::start(settings, DaemonOptions::default(), log.clone()).await?;
    let listen = daemon.listen();
    println!("{}", serde_json::to_string(&listen)?);
    info!(log, "daemon is listening";
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
