use {
    super::{HopContext, forwarded_call::ForwardedCall, live_target::LiveTarget},
    crate::{
        crash::{
            CrashReport, CrashSuspect, DigestKey, RequestDigest, RequestView, RunEnd,
            SuspectStanding, TargetRun,
        },
        time::{BootClock, ProcessClock},
    },
    metrics::counter,
    slog::Logger,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::AsyncReadExt,
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Time in which all connections of a process that has crashed break.
const BREAK_TIME: Duration = Duration::from_millis(30);
const BREAK_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Time in which a live target accepts a connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a live target keeps a new connection open without a request.
const PROBE_READ_TIME: Duration = Duration::from_millis(20);
/// Maximum number of suspects that are logged for one crash.
const MAX_LOGGED_SUSPECTS: usize = 32;

/// Finds out whether the local target has crashed, and under which calls.
#[derive(Debug)]
pub(crate) struct CrashWatch {
    pub(super) key: DigestKey,
    /// Mesh address of this sidecar.
    pub(super) own_address: SocketAddr,
    pub(super) clock: BootClock,
    pub(super) wall_clock: ProcessClock,
    pub(super) logger: Logger,
}

/// A call that the local target is running; abandoned on drop.
#[derive(Debug)]
pub(crate) struct RunGuard {
    watch: Arc<CrashWatch>,
    target: Arc<LiveTarget>,
    run: Option<TargetRun>,
}

impl CrashWatch {
    pub(crate) fn digest(&self, call: &ForwardedCall, context: &HopContext) -> RequestDigest {
        let host = &call.host;
        self.key.request(&RequestView {
            method: call.method.as_str(),
            host: host.rsplit_once(':').map_or(host, |(name, _)| name),
            path: &call.path,
            caller: context.caller.as_str(),
            body: &call.body,
        })
    }

    /// Starts a call on the target.
    pub(crate) fn start(
        self: &Arc<Self>,
        target: &Arc<LiveTarget>,
        digest: RequestDigest,
    ) -> Option<RunGuard> {
        let standing = SuspectStanding::Trusted;
        target.runs().try_start(standing).then(|| RunGuard {
            watch: self.clone(),
            target: target.clone(),
            run: Some(TargetRun {
                digest,
                standing,
                started_at: self.clock.now(),
            }),
        })
    }

    /// Finds out whether the process has crashed after a connection to it broke.
    ///
    /// A crash breaks all connections, and no new one can be opened.
    pub(crate) async fn has_crashed(&self, target: &LiveTarget) -> bool {
        let broken_at = self.clock.now();
        let mut last_probe_at = target.probe.lock().await;
        if target.runs().has_crashed() {
            return true;
        }
        if last_probe_at.is_some_and(|probed_at| probed_at >= broken_at) {
            return false;
        }
        let deadline = broken_at + BREAK_TIME;
        while target.runs().running() > 0 && self.clock.now() < deadline {
            sleep(BREAK_CHECK_INTERVAL).await;
        }
        *last_probe_at = Some(self.clock.now());
        if accepts_connections(target.pool.target()).await {
            return false;
        }
        self.record_end(target, "connections refused");
        target.runs().has_crashed()
    }

    /// Records that the process has ended; `source` names the evidence in the log.
    pub(crate) fn record_end(&self, target: &LiveTarget, source: &str) {
        if target.runs().has_crashed() {
            return;
        }
        let suspects = target.runs().record_end();
        if target.runs().has_crashed() {
            self.record_crash(target, source, suspects);
        }
    }

    fn record_crash(&self, target: &LiveTarget, source: &str, suspects: Vec<CrashSuspect>) {
        let incarnation = &target.incarnation;
        let report = CrashReport {
            process: self.key.process(
                self.own_address,
                &incarnation.instance,
                incarnation.started_ms,
            ),
            reporter: self.own_address,
            at_ms: self.wall_clock.wall_ms(),
            suspects,
        };
        counter!("banyantrestle_target_crashes_total").increment(1);
        slog::warn!(self.logger, "target crashed"; "instance" => &incarnation.instance,
            "source" => source, "unanswered" => report.suspects.len());
        for suspect in report.suspects.iter().take(MAX_LOGGED_SUSPECTS) {
            slog::info!(self.logger, "call unanswered by a crashed target";
                "hash" => %suspect.digest, "instance" => &incarnation.instance,
                "run_ms" => suspect.run_time.as_millis());
        }
    }
}

impl RunGuard {
    pub(crate) fn finish(mut self, end: RunEnd) {
        self.end_run(end);
    }

    /// Ends a call whose connection broke, and finds out in the background whether the target has
    /// crashed.
    pub(crate) fn finish_broken(self) {
        let (watch, target) = (self.watch.clone(), self.target.clone());
        self.finish(RunEnd::Broken);
        tokio::spawn(async move { watch.has_crashed(&target).await });
    }

    pub(crate) fn digest(&self) -> Option<RequestDigest> {
        self.run.map(|run| run.digest)
    }

    fn end_run(&mut self, end: RunEnd) {
        let Some(run) = self.run.take() else {
            return;
        };
        let now = self.watch.clock.now();
        let late_suspect = {
            let mut runs = self.target.runs();
            if end == RunEnd::Answered {
                runs.record_sign_of_life(now);
            }
            runs.finish(now, run, end)
        };
        if let Some(suspect) = late_suspect {
            let source = "call ended after the crash";
            self.watch.record_crash(&self.target, source, vec![suspect]);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.end_run(RunEnd::Abandoned);
    }
}

/// Whether a process listens at the address and keeps a connection open.
async fn accepts_connections(address: SocketAddr) -> bool {
    let connecting = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    let mut stream = match connecting {
        Ok(Ok(stream)) => stream,
        Ok(Err(_)) => return false,
        // A target that is slow to accept connections is not known to have crashed.
        Err(_) => return true,
    };
    let mut buffer = [0];
    let closing = timeout(PROBE_READ_TIME, stream.read(&mut buffer)).await;
    closing.is_err()
}
