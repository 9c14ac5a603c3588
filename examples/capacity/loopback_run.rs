//! The member role over real sockets on loopback: a crowd of members in this process, and one
//! more in a process of its own, of which processor time and memory are taken.

use {
    super::{
        line_fit::as_float,
        loopback_member::{LoopbackMember, start_member},
        member_run::{JOIN_LIMIT, PhaseUsage, QUIET_TIME, SETTLE_TIME, wait_quiet},
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

/// Headers of IP and UDP.
const DATAGRAM_OVERHEAD_BYTES: u64 = 28;
/// IP and TCP headers of an exchange between equal tables: about 11 segments both ways.
const EXCHANGE_OVERHEAD_BYTES: u64 = 11 * 52;

/// What one member used.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct LoopbackFigures {
    pub members: usize,
    /// Sent and received, with the headers of IP, UDP and TCP; mean of the crowd.
    pub bytes_per_second: f64,
    /// Sent and received; mean of the crowd.
    pub datagrams_per_second: f64,
    /// Share of one core, in %; of the member in its own process.
    pub processor_percent: f64,
    /// The whole process of the one member.
    pub resident_kib: f64,
    /// Bytes for one change of policy, on top; mean of the crowd.
    pub policy_bytes: f64,
    /// Processor time for one change of policy, on top; of the member in its own process.
    pub policy_processor_us: f64,
    /// From the change until the last member of the crowd had heard of it.
    pub policy_spread_ms: f64,
}

/// Sums over the crowd at one moment.
#[derive(Clone, Copy, Debug)]
struct TrafficSample {
    at: Instant,
    bytes: u64,
    datagrams: u64,
}

/// Runs `members` members, all but one in this process, and measures them.
pub async fn measure_loopback(members: usize) -> anyhow::Result<LoopbackFigures> {
    let crowd = start_crowd(members - 1).await?;
    let mut single = SingleMember::start(crowd[0].address, members)?;
    wait_joined(&crowd, members).await?;
    for member in &crowd {
        wait_quiet(&member.handle).await?;
    }
    sleep(SETTLE_TIME).await;

    let start = sample(&crowd).await?;
    sleep(QUIET_TIME).await;
    let quiet = sample(&crowd).await?;
    let quiet_usage = single.read_usage().await?;
    let before_policy = sample(&crowd).await?;
    let policy_spread = spread_policy(&crowd).await?;
    let policy_usage = single.read_usage().await?;
    let end = sample(&crowd).await?;
    single.process.wait().await?;

    let count = as_float(crowd.len());
    let seconds = quiet.at.duration_since(start.at).as_secs_f64();
    let busy_seconds = end.at.duration_since(before_policy.at).as_secs_f64();
    let bytes_per_second = per(quiet.bytes - start.bytes, seconds * count);
    let policy_bytes = per(end.bytes - before_policy.bytes, count);
    let quiet_share = quiet_usage.processor_share();
    let policy_processor = policy_usage.processor_seconds - quiet_share * policy_usage.seconds;
    Ok(LoopbackFigures {
        members,
        bytes_per_second,
        datagrams_per_second: per(quiet.datagrams - start.datagrams, seconds * count),
        processor_percent: quiet_share * 100.0,
        resident_kib: per(quiet_usage.resident_kib, 1.0),
        policy_bytes: policy_bytes - bytes_per_second * busy_seconds,
        policy_processor_us: policy_processor * 1e6,
        policy_spread_ms: policy_spread.as_secs_f64() * 1e3,
    })
}

/// The process of the one member.
struct SingleMember {
    process: Child,
    lines: Lines<BufReader<ChildStdout>>,
}

impl SingleMember {
    fn start(peer: SocketAddr, members: usize) -> anyhow::Result<Self> {
        let mut process = Command::new(env::current_exe()?)
            .args(["--part", "member", "--size", &members.to_string()])
            .args(["--peer", &peer.to_string()])
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let output = process.stdout.take().context("output of the member")?;
        let lines = BufReader::new(output).lines();
        Ok(Self { process, lines })
    }

    async fn read_usage(&mut self) -> anyhow::Result<PhaseUsage> {
        let line = timeout(JOIN_LIMIT, self.lines.next_line()).await??;
        let line = line.context("the member ended early")?;
        Ok(serde_json::from_str(&line)?)
    }
}

async fn start_crowd(members: usize) -> anyhow::Result<Vec<LoopbackMember>> {
    let mut crowd: Vec<LoopbackMember> = Vec::with_capacity(members);
    for index in 0..members {
        let first = crowd.first().map(|member| member.address);
        crowd.push(start_member(index, first.into_iter().collect()).await?);
    }
    Ok(crowd)
}

async fn wait_joined(crowd: &[LoopbackMember], members: usize) -> anyhow::Result<()> {
    for member in crowd {
        let mut view = member.handle.view();
        let joined = view.wait_for(|view| {
            let is_announced = view.members.iter().all(|record| record.target.is_some());
            view.members.len() == members && is_announced
        });
        timeout(JOIN_LIMIT, joined)
            .await
            .context("members did not find each other")??;
    }
    Ok(())
}

/// Brings a policy version into force at one member and waits until all have heard of it.
async fn spread_policy(crowd: &[LoopbackMember]) -> anyhow::Result<Duration> {
    let start = Instant::now();
    let (first, others) = crowd.split_first().context("no members")?;
    first.handle.set_policy_in_force(1, 1).await;
    for member in others {
        let mut policy = member.handle.highest_policy();
        let heard = policy.wait_for(|seen| seen.version == 1);
        timeout(JOIN_LIMIT, heard).await??;
    }
    Ok(start.elapsed())
}

async fn sample(crowd: &[LoopbackMember]) -> anyhow::Result<TrafficSample> {
    let mut sum = TrafficSample {
        at: Instant::now(),
        bytes: 0,
        datagrams: 0,
    };
    for member in crowd {
        let MembershipStats { counters, .. } = member.handle.stats().await;
        let datagrams = counters.datagrams_in + counters.datagrams_out;
        sum.datagrams += datagrams;
        sum.bytes += counters.bytes_in + counters.bytes_out + counters.exchange_bytes;
        sum.bytes += datagrams * DATAGRAM_OVERHEAD_BYTES;
        sum.bytes += counters.exchanges * EXCHANGE_OVERHEAD_BYTES;
        ensure!(counters.send_errors == 0, "the socket refused datagrams");
    }
    Ok(sum)
}

fn per(count: u64, divisor: f64) -> f64 {
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    f64::from(count) / divisor
}
