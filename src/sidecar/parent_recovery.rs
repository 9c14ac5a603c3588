//! Finds the calls that the local target is running on behalf of an earlier process of this sidecar.
//!
//! The sidecars that sent these calls still know them. They are asked once a call of the target has no
//! known parent, so a sidecar whose target makes no such calls asks nobody.

use {
    super::{
        HopContext, HopFormat, PlatformAdapter, attempt_report::RelayBody,
        call_table::MAX_TARGET_DELAY, mesh_question::MeshQuestion, peer_subset::choose_subset,
        running_calls::RunningCall, sent_call::SentCall, sidecar_state::SidecarState,
    },
    crate::{
        error::ProcessStep,
        membership::{MemberRecord, MemberState, MemberView},
        time::TimePoint,
    },
    futures_util::stream::{self, StreamExt},
    http::Response,
    hyper::body::Incoming,
    std::{
        collections::HashSet,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::watch, time::timeout},
};

/// Path at which a sidecar asks which calls another one has sent to it.
pub(crate) const SENT_CALLS_PATH: &str = "/bt/sent-calls";

/// Maximum time for which a call waits for its parent to be found.
const MAX_PARENT_WAIT: Duration = Duration::from_secs(1);
/// Interval between rounds of questions to those that have not answered.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Number of questions in flight.
const MAX_CONCURRENT_QUESTIONS: usize = 16;
const SENT_CALLS_QUESTION: MeshQuestion = MeshQuestion {
    step: ProcessStep::RequestSentCalls,
    path: SENT_CALLS_PATH,
    time_limit: Duration::from_millis(250),
    question_bytes: 256,
    answer_bytes: MAX_ANSWER_BYTES,
};
/// Maximum size of an answer, in bytes, and number of the calls in it.
const MAX_ANSWER_BYTES: usize = 512 * 1024;
const MAX_ANSWER_CALLS: usize = 1_024;
/// Bytes of the lengths in one encoded record, at most.
const RECORD_OVERHEAD_BYTES: usize = 16;

/// Ids of the calls with their encoded contexts.
type SentCallRecords = Vec<(String, String)>;

/// Which sidecars have told what they have sent to this one.
#[derive(Debug, Default)]
pub(crate) struct ParentRecovery {
    questions: Mutex<QuestionLog>,
    /// Changes with each answer and at the end of each round.
    progress: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct QuestionLog {
    answered: HashSet<SocketAddr>,
    is_asking: bool,
    last_round: Option<TimePoint>,
}

impl ParentRecovery {
    fn questions(&self) -> MutexGuard<'_, QuestionLog> {
        self.questions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins a round unless one is under way or the last one has just begun.
    fn start_round(&self, now: TimePoint) -> bool {
        let mut questions = self.questions();
        let is_due = questions
            .last_round
            .is_none_or(|last_round| now.since(last_round) >= ROUND_INTERVAL);
        if questions.is_asking || !is_due {
            return false;
        }
        questions.is_asking = true;
        questions.last_round = Some(now);
        true
    }

    fn end_round(&self) {
        self.questions().is_asking = false;
        self.report_progress();
    }

    fn report_progress(&self) {
        self.progress.send_modify(|count| *count += 1);
    }
}

impl<P: PlatformAdapter> SidecarState<P> {
    /// Whether the target may be running a call that this process does not know: one that began
    /// before the process did, or that had no room.
    pub(crate) fn may_lack_parents(&self, longest_timeout: Duration) -> bool {
        let now = self.clock.now();
        let earlier_calls_end = TimePoint::ORIGIN + longest_timeout + MAX_TARGET_DELAY;
        now < earlier_calls_end || self.running.is_incomplete(now)
    }
}

/// Finds the call that the call `id` of the local target is made for among those that other sidecars
/// have sent to an earlier process.
pub(crate) async fn recover_parent<P: PlatformAdapter>(
    state: &Arc<SidecarState<P>>,
    id: &str,
) -> Option<Arc<RunningCall>> {
    let recovery = &state.parent_recovery;
    let mut progress = recovery.progress.subscribe();
    let waiting = async {
        loop {
            progress.mark_unchanged();
            if let Some(parent) = state.running.parent_of(state.clock.now(), id) {
                return Some(parent);
            }
            if recovery.start_round(state.clock.now()) {
                tokio::spawn(run_round(state.clone()));
            } else if !recovery.questions().is_asking {
                return None;
            }
            progress.changed().await.ok()?;
        }
    };
    timeout(MAX_PARENT_WAIT, waiting).await.unwrap_or_default()
}

/// Asks the sidecars that have not answered yet, once any are known.
async fn run_round<P: PlatformAdapter>(state: Arc<SidecarState<P>>) {
    let mut views = state.membership.view();
    let members_known = views.wait_for(|view| view.members.len() > 1);
    if timeout(MAX_PARENT_WAIT, members_known).await.is_ok() {
        let view = state.membership.view().borrow().clone();
        ask_callers(&state, unasked_callers(&state, &view)).await;
    }
    state.parent_recovery.end_round();
}

/// The sidecars that call the local target and have not answered yet.
fn unasked_callers<P: PlatformAdapter>(
    state: &SidecarState<P>,
    view: &MemberView,
) -> Vec<SocketAddr> {
    let own_address = state.settings.listen.mesh;
    let others = view
        .members
        .iter()
        .map(AsRef::as_ref)
        .filter(|record: &&MemberRecord| {
            record.mesh != own_address && record.state != MemberState::Dead
        });
    let targets = view.of_service(&state.settings.service);
    let targets: Vec<_> = targets.map(AsRef::as_ref).collect();
    let is_target_known = targets.iter().any(|record| record.mesh == own_address);
    let calls_local_target = |record: &&MemberRecord| {
        let subset = choose_subset(record.mesh, &record.data_centre, targets.clone());
        !is_target_known || subset.iter().any(|target| target.mesh == own_address)
    };
    let questions = state.parent_recovery.questions();
    let callers = others.filter(|record| !questions.answered.contains(&record.mesh));
    let callers = callers.filter(calls_local_target);
    callers.map(|record| record.mesh).collect()
}

/// Asks sidecars which calls they have sent to this one, and keeps those calls as running.
async fn ask_callers<P: PlatformAdapter>(state: &SidecarState<P>, callers: Vec<SocketAddr>) {
    let count = callers.len();
    let questions = stream::iter(callers).map(|caller| async move {
        let asked_at = state.clock.now();
        let own_address = &state.settings.listen.mesh;
        let answer = SENT_CALLS_QUESTION.ask(state, caller, own_address).await;
        (caller, asked_at, answer)
    });
    let mut questions = questions.buffer_unordered(MAX_CONCURRENT_QUESTIONS);
    let mut found = 0;
    while let Some((caller, asked_at, result)) = questions.next().await {
        match result {
            Ok(records) => {
                found += keep_calls(state, asked_at, &records);
                state.parent_recovery.questions().answered.insert(caller);
                state.parent_recovery.report_progress();
            }
            Err(error) => {
                slog::info!(state.log.logger, "sidecar did not tell which calls it has sent";
                    "step" => %error.step, "peer" => &error.peer, "error" => %error.source);
            }
        }
    }
    slog::info!(state.log.logger, "calls of an earlier process recovered";
        "calls" => found, "asked" => count);
}

/// Keeps calls as running; returns their number. Their times count from the question, so none ends
/// later than its sender has set.
fn keep_calls<P: PlatformAdapter>(
    state: &SidecarState<P>,
    asked_at: TimePoint,
    records: &SentCallRecords,
) -> usize {
    let decoded = records
        .iter()
        .filter_map(|(id, context)| Some((id, HopContext::decode(context, asked_at)?)));
    let mut count = 0;
    for (id, context) in decoded {
        state
            .running
            .insert_abandoned(id, RunningCall::new(context));
        count += 1;
    }
    metrics::counter!("banyantrestle_recovered_calls_total").increment(count as u64);
    count
}

/// Tells another sidecar which calls this one has sent to it.
pub(crate) async fn serve_sent_calls<P: PlatformAdapter>(
    state: &SidecarState<P>,
    body: Incoming,
) -> Response<RelayBody> {
    let records = |peer| sent_call_records(state, peer);
    SENT_CALLS_QUESTION.serve(state, body, records).await
}

fn sent_call_records<P: PlatformAdapter>(
    state: &SidecarState<P>,
    peer: SocketAddr,
) -> SentCallRecords {
    let sent = state.clock_reading();
    let is_running = |call: &SentCall| call.peer == peer && call.context.deadline > sent.time;
    let calls = state.sent.select(sent.time, MAX_ANSWER_CALLS, is_running);
    let records = calls.iter().map(|(id, call)| {
        let context = call.context.encode(sent, HopFormat::WithAccount);
        (id.to_string(), context)
    });
    let mut size = 0;
    let is_within_size = |record: &(String, String)| {
        size += record.0.len() + record.1.len() + RECORD_OVERHEAD_BYTES;
        size <= MAX_ANSWER_BYTES
    };
    records.take_while(is_within_size).collect()
}
