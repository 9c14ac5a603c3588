use {
    super::{
        forwarded_call::ForwardedCall, live_target::LiveTarget, request_labels::RequestLabels,
        run_guard::RunGuard, target_probe::accepts_connections,
    },
    crate::{
        crash::{
            AnsweredRequests, CrashReport, CrashSuspect, DigestKey, RequestDigest, RequestView,
            SuspectRecord, SuspectStanding, SuspectTable, TargetRun,
        },
        time::{BootClock, ProcessClock},
    },
    bytes::Bytes,
    metrics::{counter, gauge},
    slog::Logger,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

/// Time in which all connections of a process that has crashed break.
const BREAK_TIME: Duration = Duration::from_millis(30);
const BREAK_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Time for which the failure of a call is held back until the other sidecars of the service know
/// of the crash; a further attempt of the call may reach them next.
const NEWS_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of suspects that are logged for one crash.
const MAX_LOGGED_SUSPECTS: usize = 32;

/// Finds out whether the local target has crashed, and under which calls; holds what all sidecars
/// know of such calls.
#[derive(Debug)]
pub(crate) struct CrashWatch {
    key: DigestKey,
    /// Mesh address of this sidecar.
    own_address: SocketAddr,
    pub(super) clock: BootClock,
    wall_clock: ProcessClock,
    logger: Logger,
    suspects: Mutex<SuspectTable>,
    answered: Mutex<AnsweredRequests>,
    labels: RequestLabels,
    /// Number of changes of the table that other sidecars are to be told.
    changes: watch::Sender<u64>,
    /// Number of changes that the other sidecars of the service have been told.
    announced: watch::Sender<u64>,
    /// Number of refusals that this sidecar has begun or ended.
    refusals: watch::Sender<u64>,
}

impl CrashWatch {
    pub(crate) fn new(
        deployment: &str,
        own_address: SocketAddr,
        clock: BootClock,
        wall_clock: ProcessClock,
        logger: Logger,
    ) -> Self {
        Self {
            key: DigestKey::derive(deployment),
            own_address,
            clock,
            wall_clock,
            logger,
            suspects: Mutex::default(),
            answered: Mutex::default(),
            labels: RequestLabels::default(),
            changes: watch::Sender::new(0),
            announced: watch::Sender::new(0),
            refusals: watch::Sender::new(0),
        }
    }

    pub(crate) fn digest(&self, call: &ForwardedCall, caller: &str) -> RequestDigest {
        let host = &call.host;
        let body: Vec<&[u8]> = call.body.segments().iter().map(Bytes::as_ref).collect();
        self.key.request(&RequestView {
            method: call.method.as_str(),
            host: host.rsplit_once(':').map_or(host, |(name, _)| name),
            path: &call.path,
            caller,
            body: &body,
        })
    }

    /// Digest of the request if it is refused; cheap unless requests are refused at present.
    pub(crate) fn refused_digest(
        &self,
        call: &ForwardedCall,
        caller: &str,
    ) -> Option<RequestDigest> {
        if self.suspects().refused() == 0 {
            return None;
        }
        let digest = self.digest(call, caller);
        (self.standing(digest) == SuspectStanding::Refused).then_some(digest)
    }

    /// How the local target handles a request.
    pub(crate) fn standing(&self, digest: RequestDigest) -> SuspectStanding {
        let suspects = self.suspects();
        if suspects.is_empty() {
            return SuspectStanding::Trusted;
        }
        let is_familiar = self.answered().contains(digest);
        suspects.standing(self.now_ms(), &digest, is_familiar)
    }

    /// Starts a call on the target; `None` if it must not run beside the calls that are running.
    pub(crate) fn try_start(
        self: &Arc<Self>,
        target: &Arc<LiveTarget>,
        digest: RequestDigest,
    ) -> Option<RunGuard> {
        let standing = self.standing(digest);
        target.runs().try_start(standing).then(|| {
            let started_at = self.clock.now();
            let run = TargetRun {
                digest,
                standing,
                started_at,
            };
            RunGuard::new(self.clone(), target.clone(), run)
        })
    }

    /// Finds out whether the process has crashed after a connection to it broke, and waits until
    /// the other sidecars of the service know of it.
    ///
    /// A crash breaks all connections, and no new one can be opened.
    pub(crate) async fn has_crashed(&self, target: &LiveTarget) -> bool {
        if !self.probe(target).await {
            return false;
        }
        let changes = *self.changes.borrow();
        let mut announced = self.announced.subscribe();
        let announcing = announced.wait_for(|announced| *announced >= changes);
        // The news reach sidecars that can't be told now in the next exchange with them.
        let _ = timeout(NEWS_TIMEOUT, announcing).await;
        true
    }

    async fn probe(&self, target: &LiveTarget) -> bool {
        let broken_at = self.clock.now();
        let mut last_probe_at = target.probe.lock().await;
        if target.runs().has_crashed() {
            return true;
        }
        if last_probe_at.is_some_and(|probed_at| probed_at >= broken_at) {
            return false;
        }
        // An answer that arrives well after the break shows that the process is alive.
        let is_alive = |target: &LiveTarget| {
            let last_answer_at = target.runs().last_answer_at();
            last_answer_at.is_some_and(|at| at > broken_at + BREAK_CHECK_INTERVAL)
        };
        let deadline = broken_at + BREAK_TIME;
        while target.runs().running() > 0 && self.clock.now() < deadline {
            sleep(BREAK_CHECK_INTERVAL).await;
            if is_alive(target) {
                *last_probe_at = Some(self.clock.now());
                return false;
            }
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
        let suspects = {
            let mut runs = target.runs();
            if runs.has_crashed() {
                return;
            }
            let suspects = runs.record_end(self.clock.now());
            if !runs.has_crashed() {
                return;
            }
            suspects
        };
        counter!("banyantrestle_target_crashes_total").increment(1);
        slog::warn!(self.logger, "target crashed"; "instance" => &target.incarnation.instance,
            "source" => source, "unanswered" => suspects.len());
        self.record_suspects(target, suspects);
    }

    pub(super) fn record_suspects(&self, target: &LiveTarget, suspects: Vec<CrashSuspect>) {
        if suspects.is_empty() {
            return;
        }
        let instance = &target.incarnation.instance;
        let started_ms = target.incarnation.started_ms;
        let report = CrashReport {
            process: self.key.process(self.own_address, instance, started_ms),
            reporter: self.own_address,
            at_ms: self.now_ms(),
            suspects,
        };
        let refused = {
            let mut table = self.suspects();
            let is_familiar = |digest| self.answered().contains(digest);
            table.record_crash(report.at_ms, &report, is_familiar);
            table.take_newly_refused()
        };
        for suspect in report.suspects.iter().take(MAX_LOGGED_SUSPECTS) {
            let label = self.labels.get(suspect.digest);
            slog::info!(self.logger, "request suspected"; "hash" => %suspect.digest,
                "path" => label.path, "caller" => label.caller, "instance" => instance,
                "run_ms" => suspect.run_time.as_millis(), "isolated" => suspect.is_isolated,
                "standing" => %self.standing(suspect.digest));
        }
        if !refused.is_empty() {
            self.refusals.send_modify(|refusals| *refusals += 1);
        }
        self.report_refused(&refused);
        self.announce_changes();
    }

    /// Merges records of other sidecars or of the store.
    pub(crate) fn merge(&self, records: &[SuspectRecord]) {
        let now_ms = self.now_ms();
        let refused = {
            let mut table = self.suspects();
            for record in records {
                table.merge(now_ms, record);
            }
            table.take_newly_refused()
        };
        self.report_refused(&refused);
    }

    /// Logs the requests that are refused from now on.
    fn report_refused(&self, refused: &[RequestDigest]) {
        for digest in refused {
            let now_ms = self.now_ms();
            let label = self.labels.get(*digest);
            let (crashes, held_s) = {
                let table = self.suspects();
                let Some(entry) = table.get(digest) else {
                    continue;
                };
                let crashes = entry.open_crashes().map(|mark| {
                    let age_ms = now_ms.saturating_sub(mark.at_ms);
                    format!("{} {age_ms} ms ago ({})", mark.reporter, mark.evidence)
                });
                let until_ms = entry.refusal().map_or(now_ms, |refusal| refusal.until_ms);
                let crashes: Vec<_> = crashes.collect();
                (crashes.join(", "), until_ms.saturating_sub(now_ms) / 1_000)
            };
            counter!("banyantrestle_refusals_total").increment(1);
            slog::warn!(self.logger, "request refused: it crashes its targets"; "hash" => %digest,
                "path" => label.path, "caller" => label.caller, "held_s" => held_s,
                "crashes" => crashes);
        }
    }

    /// Keeps the path and the caller of a request for the log.
    pub(crate) fn note_label(&self, digest: RequestDigest, call: &ForwardedCall, caller: &str) {
        let table = self.suspects();
        let is_known = |digest: &RequestDigest| table.get(digest).is_some();
        self.labels.note(digest, &call.path, caller, is_known);
    }

    /// Lets a request run again by the operators' decision; false if it is not refused.
    pub(crate) fn lift(&self, digest: RequestDigest) -> bool {
        let is_lifted = self.suspects().lift(self.now_ms(), digest);
        if is_lifted {
            slog::warn!(self.logger, "refusal lifted by an operator"; "hash" => %digest);
            self.refusals.send_modify(|refusals| *refusals += 1);
            self.announce_changes();
        }
        is_lifted
    }

    /// The refused requests for operators, one line each.
    pub(crate) fn refusals_text(&self) -> String {
        let now_ms = self.now_ms();
        let records = self.suspects().refusal_records();
        let lines = records.iter().filter_map(|record| {
            let refusal = record.entry.refusal()?;
            let held_s = refusal.until_ms.saturating_sub(now_ms) / 1_000;
            let crashes = record.entry.open_crashes().count();
            let label = self.labels.get(record.digest);
            Some(format!(
                "{} crashes={crashes} count={} held_s={held_s} caller={} path={}\n",
                record.digest, refusal.count, label.caller, label.path
            ))
        });
        lines.collect()
    }

    /// Drops old entries and reports the size of the table.
    pub(crate) fn expire(&self) {
        let mut table = self.suspects();
        if !table.is_empty() {
            table.expire(self.now_ms());
        }
        gauge!("banyantrestle_suspected_requests").set(as_gauge(table.len()));
        gauge!("banyantrestle_refused_requests").set(as_gauge(table.refused()));
    }

    pub(crate) fn now_ms(&self) -> u64 {
        self.wall_clock.wall_ms()
    }

    /// Changes of the table that other sidecars are to be told.
    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Refusals that this sidecar has begun or ended.
    pub(crate) fn refusal_changes(&self) -> watch::Receiver<u64> {
        self.refusals.subscribe()
    }

    /// Marks changes as told to the other sidecars of the service.
    pub(crate) fn set_announced(&self, changes: u64) {
        self.announced.send_replace(changes);
    }

    fn announce_changes(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    pub(crate) fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answered(&self) -> MutexGuard<'_, AnsweredRequests> {
        self.answered.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn record_answer(&self, digest: RequestDigest) {
        self.answered().record(digest);
        let (was_refused, is_cleared) = {
            let mut table = self.suspects();
            if table.is_empty() {
                return;
            }
            let refused = table.refused();
            let is_cleared = table.record_answer(self.now_ms(), digest);
            (table.refused() < refused, is_cleared)
        };
        if was_refused {
            slog::warn!(self.logger, "refusal ended: a target has answered the request";
                "hash" => %digest);
            self.refusals.send_modify(|refusals| *refusals += 1);
        }
        if is_cleared {
            self.announce_changes();
        }
    }

    /// Withdraws a crash of a process that has answered a call since.
    pub(super) fn retract_crash(&self, target: &LiveTarget) {
        let instance = &target.incarnation.instance;
        let started_ms = target.incarnation.started_ms;
        let process = self.key.process(self.own_address, instance, started_ms);
        slog::warn!(self.logger, "target has not crashed; it answers"; "instance" => instance);
        self.suspects().retract_crash(process);
        self.announce_changes();
    }
}

fn as_gauge(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
