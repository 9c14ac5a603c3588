use {
    super::{crash_watch::CrashWatch, live_target::LiveTarget},
    crate::crash::{RequestDigest, RunEnd, TargetRun},
    std::sync::Arc,
};

/// A call that the local target is running; abandoned on drop.
#[derive(Debug)]
pub(crate) struct RunGuard {
    watch: Arc<CrashWatch>,
    target: Arc<LiveTarget>,
    run: Option<TargetRun>,
}

impl RunGuard {
    pub(super) fn new(watch: Arc<CrashWatch>, target: Arc<LiveTarget>, run: TargetRun) -> Self {
        Self {
            watch,
            target,
            run: Some(run),
        }
    }

    pub(crate) fn digest(&self) -> Option<RequestDigest> {
        self.run.map(|run| run.digest)
    }

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

    fn end_run(&mut self, end: RunEnd) {
        let Some(run) = self.run.take() else {
            return;
        };
        let now = self.watch.clock.now();
        let (late_suspect, was_alive) = {
            let mut runs = self.target.runs();
            let was_alive = end == RunEnd::Answered && runs.record_answer(now, run.started_at);
            (runs.finish(now, run, end), was_alive)
        };
        if was_alive {
            self.watch.retract_crash(&self.target);
        }
        if end == RunEnd::Answered {
            self.watch.record_answer(run.digest);
        }
        if let Some(suspect) = late_suspect {
            self.watch.record_suspects(&self.target, vec![suspect]);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.end_run(RunEnd::Abandoned);
    }
}
