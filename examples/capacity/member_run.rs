//! Runs one member in a child process. The other members run in the parent process.

use {
    super::loopback_member::{LoopbackMember, start_member},
    anyhow::Context,
    banyantrestle::membership::MembershipHandle,
    serde::{Deserialize, Serialize},
    standins::process::ProcessUsage,
    std::{
        fs,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Timeout of each step of joining and of policy dissemination.
pub const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between the end of joining and the first measurement.
pub const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Length of the phase without changes.
pub const QUIET_PHASE: Duration = Duration::from_secs(6);
/// Length of the phase after a policy change. It lasts longer than members disseminate the change.
pub const POLICY_PHASE: Duration = Duration::from_secs(3);

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Resource usage of the process in one phase.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct PhaseUsage {
    pub seconds: f64,
    pub processor_seconds: f64,
    pub resident_kib: u64,
}

impl PhaseUsage {
    pub fn processor_share(&self) -> f64 {
        self.processor_seconds / self.seconds
    }
}

/// Joins the other members through `peer`. Prints its usage in a phase without changes, then in the
/// phase after a policy change.
pub async fn run_member(peer: SocketAddr, members: usize) -> anyhow::Result<()> {
    let LoopbackMember { handle, .. } = start_member(members - 1, vec![peer]).await?;
    let mut view = handle.view();
    let joined = view.wait_for(|view| view.members.len() == members);
    timeout(JOIN_TIMEOUT, joined)
        .await
        .context("not all members joined within the timeout")??;
    wait_until_queue_empty(&handle).await?;
    sleep(SETTLE_TIME).await;
    print_usage(measure_phase(QUIET_PHASE).await?)?;
    let mut policy = handle.highest_policy();
    let received = policy.wait_for(|seen| seen.version == 1);
    timeout(JOIN_TIMEOUT, received)
        .await
        .context("no policy version was received within the timeout")??;
    print_usage(measure_phase(POLICY_PHASE).await?)
}

/// Waits until the updates from joining have been disseminated.
pub async fn wait_until_queue_empty(handle: &MembershipHandle) -> anyhow::Result<()> {
    let draining = async {
        while handle.stats().await.queued > 0 {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(JOIN_TIMEOUT, draining)
        .await
        .context("updates were still queued at the timeout")
}

async fn measure_phase(span: Duration) -> anyhow::Result<PhaseUsage> {
    let start = Instant::now();
    let before = thread_processor_time()?;
    sleep(span).await;
    let processor = thread_processor_time()?.saturating_sub(before);
    Ok(PhaseUsage {
        seconds: start.elapsed().as_secs_f64(),
        processor_seconds: processor.as_secs_f64(),
        resident_kib: ProcessUsage::of(std::process::id())?.resident_kib,
    })
}

/// Processor time of the main thread, which runs all tasks, from `/proc/self/schedstat`.
fn thread_processor_time() -> anyhow::Result<Duration> {
    let text = fs::read_to_string("/proc/self/schedstat")?;
    let nanos = text
        .split_whitespace()
        .next()
        .context("/proc/self/schedstat is empty")?;
    Ok(Duration::from_nanos(nanos.parse()?))
}

fn print_usage(usage: PhaseUsage) -> anyhow::Result<()> {
    println!("{}", serde_json::to_string(&usage)?);
    Ok(())
}
