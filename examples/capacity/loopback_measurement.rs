//! Measures membership over real sockets on loopback.
//!
//! All members but one run in this process. The last one runs in a child process, whose processor
//! time and memory are measured.

use {
    super::{
        line_fit::as_float,
        loopback_member::{LoopbackMember, start_member},
        member_run::{JOIN_TIMEOUT, PhaseUsage, QUIET_PHASE, SETTLE_TIME, wait_until_queue_empty},
    },
    anyhow::{Context, ensure},
    banyantrestle::membership::MembershipStats,
    serde::{Deserialize, Serialize},
    std::{
        env,
        net::SocketAddr,
        process::Stdio,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncBufReadExt, BufReader, Lines},
        process::{Child, ChildStdout, Command},
        time::{sleep, timeout},
    },
};

/// IP and UDP headers of one datagram.
const DATAGRAM_OVERHEAD_BYTES: u64 = 28;
/// IP and TCP headers of one exchange between equal tables: 52 bytes for each of about 11 segments,
/// both directions together.
const EXCHANGE_OVERHEAD_BYTES: u64 = 11 * 52;

/// Resource usage of one member.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LoopbackMeasurement {
    pub members: usize,
    /// Bytes sent and received, with IP, UDP and TCP headers; mean of the members in this process.
    pub bytes_per_second: f64,
    /// Datagrams sent and received; mean of the members in this process.
    pub datagrams_per_second: f64,
    /// Share of one core that the member in the child process uses, in %.
    pub processor_percent: f64,
    /// Resident memory of the child process with its one member.
    pub resident_kib: f64,
    /// Additional bytes for one policy change; mean of the members in this process.
    pub policy_bytes: f64,
    /// Additional processor time of the member in the child process for one policy change.
    pub policy_processor_us: f64,
    /// Time from the change until the last member in this process has received it.
    pub policy_spread_ms: f64,
}

/// Total traffic of the members in this process since their start.
#[derive(Clone, Copy, Debug)]
struct TrafficSample {
    taken_at: Instant,
    bytes: u64,
    datagrams: u64,
}

/// Starts `members` members, all but one in this process, and measures their resource usage.
pub async fn measure_loopback(members: usize) -> anyhow::Result<LoopbackMeasurement> {
    let local_members = start_local_members(members - 1).await?;
    let mut measured_member = MemberProcess::start(local_members[0].address, members)?;
    wait_until_joined(&local_members, members).await?;
    for member in &local_members {
        wait_until_queue_empty(&member.handle).await?;
    }
    sleep(SETTLE_TIME).await;

    let quiet_start = sample_traffic(&local_members).await?;
    sleep(QUIET_PHASE).await;
    let quiet_end = sample_traffic(&local_members).await?;
    let quiet_usage = measured_member.read_usage().await?;
    let policy_start = sample_traffic(&local_members).await?;
    let policy_spread = spread_policy(&local_members).await?;
    let policy_usage = measured_member.read_usage().await?;
    let policy_end = sample_traffic(&local_members).await?;
    measured_member.child.wait().await?;

    let count = as_float(local_members.len());
    let quiet_seconds = quiet_end
        .taken_at
        .duration_since(quiet_start.taken_at)
        .as_secs_f64();
    let policy_seconds = policy_end
        .taken_at
        .duration_since(policy_start.taken_at)
        .as_secs_f64();
    let bytes_per_second = ratio(quiet_end.bytes - quiet_start.bytes, quiet_seconds * count);
    let policy_bytes = ratio(policy_end.bytes - policy_start.bytes, count);
    let quiet_share = quiet_usage.processor_share();
    let policy_processor = policy_usage.processor_seconds - quiet_share * policy_usage.seconds;
    Ok(LoopbackMeasurement {
        members,
        bytes_per_second,
        datagrams_per_second: ratio(
            quiet_end.datagrams - quiet_start.datagrams,
            quiet_seconds * count,
        ),
        processor_percent: quiet_share * 100.0,
        resident_kib: ratio(quiet_usage.resident_kib, 1.0),
        policy_bytes: policy_bytes - bytes_per_second * policy_seconds,
        policy_processor_us: policy_processor * 1e6,
        policy_spread_ms: policy_spread.as_secs_f64() * 1e3,
    })
}

/// Child process with one member.
struct MemberProcess {
    child: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl MemberProcess {
    fn start(peer: SocketAddr, members: usize) -> anyhow::Result<Self> {
        let mut child = Command::new(env::current_exe()?)
            .args(["--part", "member", "--size", &members.to_string()])
            .args(["--peer", &peer.to_string()])
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let output = child
            .stdout
            .take()
            .context("stdout of the member process is not piped")?;
        let lines = BufReader::new(output).lines();
        Ok(Self { child, lines })
    }

    async fn read_usage(&mut self) -> anyhow::Result<PhaseUsage> {
        let line = timeout(JOIN_TIMEOUT, self.lines.next_line()).await??;
        let line = line.context("the member process ended before it printed its usage")?;
        Ok(serde_json::from_str(&line)?)
    }
}

async fn start_local_members(members: usize) -> anyhow::Result<Vec<LoopbackMember>> {
    let mut local_members: Vec<LoopbackMember> = Vec::with_capacity(members);
    for index in 0..members {
        let first = local_members.first().map(|member| member.address);
        local_members.push(start_member(index, first.into_iter().collect()).await?);
    }
    Ok(local_members)
}

async fn wait_until_joined(local_members: &[LoopbackMember], members: usize) -> anyhow::Result<()> {
    for member in local_members {
        let mut view = member.handle.view();
        let joined = view.wait_for(|view| {
            let is_announced = view.members.iter().all(|record| record.target.is_some());
            view.members.len() == members && is_announced
        });
        timeout(JOIN_TIMEOUT, joined)
            .await
            .context("not all members joined within the timeout")??;
    }
    Ok(())
}

/// Enforces a policy version at one member and waits until all others have received it.
async fn spread_policy(local_members: &[LoopbackMember]) -> anyhow::Result<Duration> {
    let start = Instant::now();
    let (first, others) = local_members
        .split_first()
        .context("no members in this process")?;
    first.handle.set_policy_in_force(1, 1).await;
    for member in others {
        let mut policy = member.handle.highest_policy();
        let received = policy.wait_for(|seen| seen.version == 1);
        timeout(JOIN_TIMEOUT, received).await??;
    }
    Ok(start.elapsed())
}

async fn sample_traffic(local_members: &[LoopbackMember]) -> anyhow::Result<TrafficSample> {
    let mut sum = TrafficSample {
        taken_at: Instant::now(),
        bytes: 0,
        datagrams: 0,
    };
    for member in local_members {
        let MembershipStats { counters, .. } = member.handle.stats().await;
        let datagrams = counters.datagrams_in + counters.datagrams_out;
        sum.datagrams += datagrams;
        sum.bytes += counters.bytes_in + counters.bytes_out + counters.exchange_bytes;
        sum.bytes += datagrams * DATAGRAM_OVERHEAD_BYTES;
        sum.bytes += counters.exchanges * EXCHANGE_OVERHEAD_BYTES;
        ensure!(
            counters.send_errors == 0,
            "sending datagrams failed; the traffic is incomplete"
        );
    }
    Ok(sum)
}

fn ratio(count: u64, divisor: f64) -> f64 {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    f64::from(count) / divisor
}
