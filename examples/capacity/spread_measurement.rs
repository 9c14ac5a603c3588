//! Measures the membership cores of all members on a simulated network with datagram loss, in
//! logical time.

use {
    super::line_fit::as_float,
    anyhow::Context,
    banyantrestle::membership::{ExchangePush, MemberRecord, MemberState},
    serde::{Deserialize, Serialize},
    standins::gossip::{MemberLocation, SimulatedNetwork},
    std::time::Duration,
};

/// Share of lost datagrams, from 0 to 1.
pub const DATAGRAM_LOSS: f64 = 0.05;
/// IP and UDP headers of one datagram.
const DATAGRAM_OVERHEAD_BYTES: u64 = 28;
/// Timeout until all members know a change.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Length of the measurement without changes.
const STEADY_TIME: Duration = Duration::from_secs(10);
/// Pause between joining and the measurement without changes.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Simulated time before the members are checked for having joined.
const INITIAL_RUN_TIME: Duration = Duration::from_secs(1);
/// Pause after each trial.
const TRIAL_PAUSE: Duration = Duration::from_secs(1);
/// Time for which members are observed after the loss of a data centre and after the restoration
/// of links.
const FAULT_OBSERVATION_TIME: Duration = Duration::from_secs(60);
const SPREAD_SEED: u64 = 11;
const LOST_DATA_CENTRE_SEED: u64 = 12;
const CUT_REGIONS_SEED: u64 = 13;
const REGIONS: u16 = 2;
const DATA_CENTRES: u16 = 5;

/// Time that changes take to reach all members of a deployment of one size.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SpreadMeasurement {
    pub members: usize,
    pub trials: usize,
    /// Time until all members know that a member is leaving, in the slowest trial.
    pub leaving_ms: f64,
    /// Time until all members know a new policy version, in the slowest trial.
    pub policy_ms: f64,
    /// Bytes sent and received per member without changes; mean of all members.
    pub steady_bytes_per_second: f64,
    /// False suspicions per second, summed over all members.
    pub false_suspicions_per_second: f64,
    pub false_deaths: usize,
}

/// Detection time of one fault, and the traffic that it causes per member.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct FaultMeasurement {
    pub members: usize,
    /// Members that fail or lose their links.
    pub affected: usize,
    /// Time from the fault until no running member lists an unreachable one as alive.
    #[serde(rename = "noticed_ms")]
    pub detected_ms: f64,
    /// Mean datagram bytes per member: over a minute after the loss of a data centre, or over the
    /// time for which the links are cut.
    pub mean_bytes_per_second: f64,
    /// Datagram bytes per member in the second with the most traffic of the same time.
    pub peak_bytes_per_second: f64,
    /// Time from the restoration of the links until all members list each other as alive again;
    /// `None` if the fault stays.
    #[serde(rename = "healed_ms")]
    pub recovered_ms: Option<f64>,
    /// Datagram bytes per member in the second with the most traffic, of the minute after the
    /// restoration.
    #[serde(rename = "healing_peak_bytes_per_second")]
    pub recovery_peak_bytes_per_second: Option<f64>,
    /// Bytes of exchanges over TCP per member in the minute after the restoration.
    #[serde(rename = "healing_exchange_bytes")]
    pub recovery_exchange_bytes: Option<f64>,
}

pub fn measure_spread(members: usize, trials: usize) -> anyhow::Result<SpreadMeasurement> {
    let mut network = start_joined_network(members, SPREAD_SEED)?;
    network.run(SETTLE_TIME);
    let steady_measurement = measure_steady_traffic(&mut network);
    let mut slowest_leaving = Duration::ZERO;
    let mut slowest_policy = Duration::ZERO;
    for trial in 0..trials {
        let subject = trial * members / trials;
        slowest_leaving = slowest_leaving.max(spread_leaving(&mut network, subject)?);
        let version = u64::try_from(trial + 1)?;
        slowest_policy = slowest_policy.max(spread_policy(&mut network, subject, version)?);
        network.run(TRIAL_PAUSE);
    }
    Ok(SpreadMeasurement {
        members,
        trials,
        leaving_ms: millis(slowest_leaving),
        policy_ms: millis(slowest_policy),
        ..steady_measurement
    })
}

/// Measures the simultaneous failure of all members of one data centre.
pub fn measure_lost_data_centre(members: usize) -> anyhow::Result<FaultMeasurement> {
    let mut network = start_joined_network(members, LOST_DATA_CENTRE_SEED)?;
    let lost: Vec<_> = (0..members)
        .filter(|index| location(*index).data_centre == 1)
        .collect();
    for &index in &lost {
        network.kill(index);
    }
    let is_detected = |network: &SimulatedNetwork| {
        let mut observers = network.observers();
        observers.all(|observer| {
            lost.iter()
                .all(|&index| !is_alive(network, observer, index))
        })
    };
    let (detected, traffic) = measure_traffic(&mut network, FAULT_OBSERVATION_TIME, is_detected);
    Ok(FaultMeasurement {
        members,
        affected: lost.len(),
        detected_ms: millis(detected.context("the loss of the data centre was not detected")?),
        mean_bytes_per_second: traffic.mean_bytes_per_second,
        peak_bytes_per_second: traffic.peak_bytes_per_second,
        recovered_ms: None,
        recovery_peak_bytes_per_second: None,
        recovery_exchange_bytes: None,
    })
}

/// Measures the loss of all links between the regions for `span` and their restoration.
pub fn measure_cut_regions(members: usize, span: Duration) -> anyhow::Result<FaultMeasurement> {
    let mut network = start_joined_network(members, CUT_REGIONS_SEED)?;
    network.cut_links(|location| location.region == 1);
    let is_detected = |network: &SimulatedNetwork| {
        let mut observers = network.observers();
        observers.all(|observer| {
            let others =
                (0..members).filter(|&index| location(index).region != location(observer).region);
            others
                .into_iter()
                .all(|index| !is_alive(network, observer, index))
        })
    };
    let (detected, traffic) = measure_traffic(&mut network, span, is_detected);
    network.restore_links();
    let earlier_exchange_bytes = network.exchange_bytes;
    let (recovered, recovery_traffic) = measure_traffic(
        &mut network,
        FAULT_OBSERVATION_TIME,
        SimulatedNetwork::is_fully_joined,
    );
    let exchange_bytes = network.exchange_bytes - earlier_exchange_bytes;
    Ok(FaultMeasurement {
        members,
        affected: members,
        detected_ms: millis(detected.context("the loss of the links was not detected")?),
        mean_bytes_per_second: traffic.mean_bytes_per_second,
        peak_bytes_per_second: traffic.peak_bytes_per_second,
        recovered_ms: Some(millis(
            recovered.context("members did not rejoin after the links were restored")?,
        )),
        recovery_peak_bytes_per_second: Some(recovery_traffic.peak_bytes_per_second),
        // Each byte is counted at two members: its sender and its receiver.
        recovery_exchange_bytes: Some(2.0 * per_member(exchange_bytes, members)),
    })
}

/// Rate of datagram bytes per member.
#[derive(Clone, Copy, Debug)]
struct TrafficRate {
    mean_bytes_per_second: f64,
    peak_bytes_per_second: f64,
}

/// Runs the network for `span` and measures its traffic. Also returns the time after which
/// `is_reached` first held, checked every second.
fn measure_traffic(
    network: &mut SimulatedNetwork,
    span: Duration,
    is_reached: impl Fn(&SimulatedNetwork) -> bool,
) -> (Option<Duration>, TrafficRate) {
    const RATE_INTERVAL: Duration = Duration::from_secs(1);
    let start = network.now;
    let mut reached = None;
    let mut rates = Vec::new();
    while network.now.since(start) < span {
        let earlier_bytes = datagram_bytes(network);
        let members = network.observers().count();
        network.run(RATE_INTERVAL);
        rates.push(per_member(datagram_bytes(network) - earlier_bytes, members));
        if reached.is_none() && is_reached(network) {
            reached = Some(network.now.since(start));
        }
    }
    let mean_bytes_per_second = rates.iter().sum::<f64>() / as_float(rates.len());
    let peak_bytes_per_second = rates.iter().copied().fold(0.0, f64::max);
    (
        reached,
        TrafficRate {
            mean_bytes_per_second,
            peak_bytes_per_second,
        },
    )
}

fn measure_steady_traffic(network: &mut SimulatedNetwork) -> SpreadMeasurement {
    let members = network.observers().count();
    let earlier_bytes = datagram_bytes(network);
    let earlier_count = suspicion_count(network);
    network.run(STEADY_TIME);
    let seconds = STEADY_TIME.as_secs_f64();
    let suspicions = suspicion_count(network) - earlier_count;
    let is_dead = |index: &usize| {
        let record = network.record(0, *index);
        record.is_none_or(|record| record.state == MemberState::Dead)
    };
    SpreadMeasurement {
        members,
        trials: 0,
        leaving_ms: 0.0,
        policy_ms: 0.0,
        steady_bytes_per_second: per_member(datagram_bytes(network) - earlier_bytes, members)
            / seconds,
        false_suspicions_per_second: per_member(suspicions, 1) / seconds,
        false_deaths: (0..members).filter(is_dead).count(),
    }
}

/// Starts a network in which all members list each other as alive.
fn start_joined_network(members: usize, seed: u64) -> anyhow::Result<SimulatedNetwork> {
    let mut network = SimulatedNetwork::new(seed, DATAGRAM_LOSS);
    let locations: Vec<_> = (0..members).map(location).collect();
    network.add_members(members, &locations);
    let records: Vec<MemberRecord> = (0..members)
        .map(|index| network.core(index).own_record().clone())
        .collect();
    let now = network.now;
    for index in 0..members {
        let push = ExchangePush {
            records: records.clone(),
            wanted: Vec::new(),
        };
        network.core_mut(index).apply_push(push, now);
    }
    network.run(INITIAL_RUN_TIME);
    let joined = network.run_until(SPREAD_TIMEOUT, SimulatedNetwork::is_fully_joined);
    joined.context("members did not join within the timeout")?;
    Ok(network)
}

fn location(index: usize) -> MemberLocation {
    let data_centre = u16::try_from(index % usize::from(DATA_CENTRES)).unwrap_or(0);
    MemberLocation {
        region: data_centre * REGIONS / DATA_CENTRES,
        data_centre,
    }
}

fn spread_leaving(network: &mut SimulatedNetwork, subject: usize) -> anyhow::Result<Duration> {
    let now = network.now;
    network.core_mut(subject).leave(now);
    let elapsed = network.run_until(SPREAD_TIMEOUT, |network| {
        network.all_record_state(subject, MemberState::Leaving)
    });
    elapsed.context("the leaving state did not reach all members within the timeout")
}

fn spread_policy(
    network: &mut SimulatedNetwork,
    subject: usize,
    version: u64,
) -> anyhow::Result<Duration> {
    network
        .core_mut(subject)
        .set_policy_in_force(version, version);
    let elapsed = network.run_until(SPREAD_TIMEOUT, |network| {
        let mut observers = network.observers();
        observers.all(|observer| {
            let advertisement = network.core(observer).policy_advertisement();
            advertisement.is_some_and(|advertisement| advertisement.version == version)
        })
    });
    elapsed.context("the policy version did not reach all members within the timeout")
}

fn is_alive(network: &SimulatedNetwork, observer: usize, subject: usize) -> bool {
    let record = network.record(observer, subject);
    record.is_some_and(|record| record.state == MemberState::Alive)
}

/// Datagram bytes sent and received by all running members, with IP and UDP headers.
fn datagram_bytes(network: &SimulatedNetwork) -> u64 {
    let of_member = |index| {
        let counters = network.core(index).counters();
        let datagrams = counters.datagrams_in + counters.datagrams_out;
        counters.bytes_in + counters.bytes_out + datagrams * DATAGRAM_OVERHEAD_BYTES
    };
    network.observers().map(of_member).sum()
}

fn suspicion_count(network: &SimulatedNetwork) -> u64 {
    let observers = network.observers();
    observers
        .map(|index| network.core(index).counters().suspicions)
        .sum()
}

fn per_member(count: u64, members: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / as_float(members)
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
