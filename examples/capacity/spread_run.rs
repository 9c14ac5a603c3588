//! The pure core of every member under datagram loss, in logical time.

use {
    super::line_fit::as_float,
    anyhow::Context,
    banyantrestle::membership::{ExchangePush, MemberRecord, MemberState},
    serde::{Deserialize, Serialize},
    standins::gossip::{MemberLocation, SimulatedNetwork},
    std::time::Duration,
};

/// Share of datagrams that is lost.
pub const LOSS: f64 = 0.05;
/// Headers of IP and UDP.
const DATAGRAM_OVERHEAD_BYTES: u64 = 28;
const SPREAD_LIMIT: Duration = Duration::from_secs(30);
const STEADY_TIME: Duration = Duration::from_secs(10);
const REGIONS: u16 = 2;
const DATA_CENTRES: u16 = 5;

/// How changes spread at one size.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SpreadFigures {
    pub members: usize,
    pub trials: usize,
    /// Slowest trial, until the last member knew.
    pub leaving_ms: f64,
    pub policy_ms: f64,
    /// Sent and received by one member on average while nothing happens.
    pub steady_bytes_per_second: f64,
    /// Members that were wrongly suspected, in a second of the whole deployment.
    pub false_suspicions_per_second: f64,
    pub false_deaths: usize,
}

/// What one disturbance costs each member.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct FaultFigures {
    pub members: usize,
    pub affected: usize,
    /// From the fault until every member that runs has noticed every affected one.
    pub noticed_ms: f64,
    /// Mean and highest second of the datagrams of one member, until a minute after the fault.
    pub mean_bytes_per_second: f64,
    pub peak_bytes_per_second: f64,
    /// From the healing until all know all again; nothing where there is no healing.
    pub healed_ms: Option<f64>,
    /// Mean and highest second after the healing.
    pub healing_peak_bytes_per_second: Option<f64>,
    /// Bytes of exchanges over TCP for each member, after the healing.
    pub healing_exchange_bytes: Option<f64>,
}

pub fn measure_spread(members: usize, trials: usize) -> anyhow::Result<SpreadFigures> {
    let mut carrier = whole(members, 11)?;
    carrier.run(Duration::from_secs(2));
    let steady = measure_steady(&mut carrier);
    let mut leaving = Duration::ZERO;
    let mut policy = Duration::ZERO;
    for trial in 0..trials {
        let subject = trial * members / trials;
        leaving = leaving.max(spread_leaving(&mut carrier, subject)?);
        let version = u64::try_from(trial + 1)?;
        policy = policy.max(spread_policy(&mut carrier, subject, version)?);
        carrier.run(Duration::from_secs(1));
    }
    Ok(SpreadFigures {
        members,
        trials,
        leaving_ms: millis(leaving),
        policy_ms: millis(policy),
        ..steady
    })
}

/// All members of one data centre fail at once.
pub fn measure_lost_data_centre(members: usize) -> anyhow::Result<FaultFigures> {
    let mut carrier = whole(members, 12)?;
    let lost: Vec<_> = (0..members)
        .filter(|index| place(*index).data_centre == 1)
        .collect();
    for &index in &lost {
        carrier.kill(index);
    }
    let is_noticed = |carrier: &SimulatedNetwork| {
        let mut observers = carrier.observers();
        observers.all(|observer| {
            lost.iter()
                .all(|&index| !is_alive(carrier, observer, index))
        })
    };
    let (reached, traffic) = follow(&mut carrier, Duration::from_secs(60), is_noticed);
    Ok(FaultFigures {
        members,
        affected: lost.len(),
        noticed_ms: millis(reached.context("not noticed")?),
        mean_bytes_per_second: traffic.mean,
        peak_bytes_per_second: traffic.peak,
        healed_ms: None,
        healing_peak_bytes_per_second: None,
        healing_exchange_bytes: None,
    })
}

/// The regions lose each other for `span`, then find each other again.
pub fn measure_cut_regions(members: usize, span: Duration) -> anyhow::Result<FaultFigures> {
    let mut carrier = whole(members, 13)?;
    carrier.cut_links(|place| place.region == 1);
    let is_noticed = |carrier: &SimulatedNetwork| {
        let mut observers = carrier.observers();
        observers.all(|observer| {
            let others =
                (0..members).filter(|&index| place(index).region != place(observer).region);
            others
                .into_iter()
                .all(|index| !is_alive(carrier, observer, index))
        })
    };
    let (reached, traffic) = follow(&mut carrier, span, is_noticed);
    carrier.restore_links();
    let exchange_bytes = carrier.exchange_bytes;
    let (healed, healing) = follow(
        &mut carrier,
        Duration::from_secs(60),
        SimulatedNetwork::is_fully_joined,
    );
    let exchange_bytes = carrier.exchange_bytes - exchange_bytes;
    Ok(FaultFigures {
        members,
        affected: members,
        noticed_ms: millis(reached.context("not noticed")?),
        mean_bytes_per_second: traffic.mean,
        peak_bytes_per_second: traffic.peak,
        healed_ms: Some(millis(healed.context("not healed")?)),
        healing_peak_bytes_per_second: Some(healing.peak),
        // Both ends of an exchange send or receive its bytes.
        healing_exchange_bytes: Some(2.0 * per_member(exchange_bytes, members)),
    })
}

/// Datagram bytes of one member in a second.
#[derive(Clone, Copy, Debug)]
struct TrafficRate {
    mean: f64,
    peak: f64,
}

/// Runs for `span` and notes when `is_reached`.
fn follow(
    carrier: &mut SimulatedNetwork,
    span: Duration,
    is_reached: impl Fn(&SimulatedNetwork) -> bool,
) -> (Option<Duration>, TrafficRate) {
    const STEP: Duration = Duration::from_secs(1);
    let start = carrier.now;
    let mut reached = None;
    let mut rates = Vec::new();
    while carrier.now.since(start) < span {
        let before = traffic(carrier);
        let members = carrier.observers().count();
        carrier.run(STEP);
        rates.push(per_member(traffic(carrier) - before, members));
        if reached.is_none() && is_reached(carrier) {
            reached = Some(carrier.now.since(start));
        }
    }
    let mean = rates.iter().sum::<f64>() / as_float(rates.len());
    let peak = rates.iter().copied().fold(0.0, f64::max);
    (reached, TrafficRate { mean, peak })
}

fn measure_steady(carrier: &mut SimulatedNetwork) -> SpreadFigures {
    let members = carrier.observers().count();
    let before = traffic(carrier);
    let suspicions = suspicions(carrier);
    carrier.run(STEADY_TIME);
    let seconds = STEADY_TIME.as_secs_f64();
    let suspicions = self::suspicions(carrier) - suspicions;
    let is_dead = |index: &usize| {
        let record = carrier.record(0, *index);
        record.is_none_or(|record| record.state == MemberState::Dead)
    };
    SpreadFigures {
        members,
        trials: 0,
        leaving_ms: 0.0,
        policy_ms: 0.0,
        steady_bytes_per_second: per_member(traffic(carrier) - before, members) / seconds,
        false_suspicions_per_second: per_member(suspicions, 1) / seconds,
        false_deaths: (0..members).filter(is_dead).count(),
    }
}

/// Members that all know each other.
fn whole(members: usize, seed: u64) -> anyhow::Result<SimulatedNetwork> {
    let mut carrier = SimulatedNetwork::new(seed, LOSS);
    let places: Vec<_> = (0..members).map(place).collect();
    carrier.add_members(members, &places);
    let records: Vec<MemberRecord> = (0..members)
        .map(|index| carrier.core(index).own_record().clone())
        .collect();
    let now = carrier.now;
    for index in 0..members {
        let push = ExchangePush {
            records: records.clone(),
            wanted: Vec::new(),
        };
        carrier.core_mut(index).apply_push(push, now);
    }
    carrier.run(Duration::from_secs(1));
    let settled = carrier.run_until(SPREAD_LIMIT, SimulatedNetwork::is_fully_joined);
    settled.context("members did not settle")?;
    Ok(carrier)
}

fn place(index: usize) -> MemberLocation {
    let data_centre = u16::try_from(index % usize::from(DATA_CENTRES)).unwrap_or(0);
    MemberLocation {
        region: data_centre * REGIONS / DATA_CENTRES,
        data_centre,
    }
}

fn spread_leaving(carrier: &mut SimulatedNetwork, subject: usize) -> anyhow::Result<Duration> {
    let now = carrier.now;
    carrier.core_mut(subject).leave(now);
    let known = carrier.run_until(SPREAD_LIMIT, |carrier| {
        carrier.all_record_state(subject, MemberState::Leaving)
    });
    known.context("leaving did not reach all")
}

fn spread_policy(
    carrier: &mut SimulatedNetwork,
    subject: usize,
    version: u64,
) -> anyhow::Result<Duration> {
    carrier
        .core_mut(subject)
        .set_policy_in_force(version, version);
    let known = carrier.run_until(SPREAD_LIMIT, |carrier| {
        let mut observers = carrier.observers();
        observers.all(|observer| {
            let beacon = carrier.core(observer).policy_advertisement();
            beacon.is_some_and(|beacon| beacon.version == version)
        })
    });
    known.context("policy did not reach all")
}

fn is_alive(carrier: &SimulatedNetwork, observer: usize, subject: usize) -> bool {
    let record = carrier.record(observer, subject);
    record.is_some_and(|record| record.state == MemberState::Alive)
}

/// Datagram bytes of all members that run, sent and received.
fn traffic(carrier: &SimulatedNetwork) -> u64 {
    let of_member = |index| {
        let counters = carrier.core(index).counters();
        let datagrams = counters.datagrams_in + counters.datagrams_out;
        counters.bytes_in + counters.bytes_out + datagrams * DATAGRAM_OVERHEAD_BYTES
    };
    carrier.observers().map(of_member).sum()
}

fn suspicions(carrier: &SimulatedNetwork) -> u64 {
    let observers = carrier.observers();
    observers
        .map(|index| carrier.core(index).counters().suspicions)
        .sum()
}

fn per_member(count: u64, members: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX)) / as_float(members)
}

fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}
