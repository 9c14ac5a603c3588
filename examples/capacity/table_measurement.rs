//! Measures the member table and the membership core, without I/O, at a given number of records.

use {
    super::line_fit::as_float,
    banyantrestle::{
        auth::SharedKey,
        context::ServiceName,
        membership::{
            ExchangePush, MemberId, MemberRecord, MemberState, MemberTable, MembershipCore,
            TICK_INTERVAL, TargetAnnouncement, TargetState,
        },
        time::TimePoint,
    },
    rand::{SeedableRng, rngs::SmallRng},
    serde::{Deserialize, Serialize},
    standins::process::ProcessUsage,
    std::{
        hint::black_box,
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
};

/// Minimum number of records in memory while their size is measured, in as many equal tables as
/// needed.
const MEASURED_RECORDS: usize = 300_000;
const MEASURED_TICKS: u32 = 300;
const MEASURED_MERGES: usize = 20_000;
const SERVICES: usize = 71;
const DATA_CENTRES: usize = 5;
const DATA_CENTRES_PER_REGION: usize = 3;
const START: TimePoint = TimePoint::from_millis(1_000);

/// Cost of a table with `members` records.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct TableMeasurement {
    pub members: usize,
    pub bytes_per_record: f64,
    /// Time of a tick of the core without changes.
    pub idle_tick_us: f64,
    /// Time of a tick after a record changed, including the new view.
    pub changed_tick_us: f64,
    /// Time of a merge of a newer record.
    pub merge_us: f64,
    /// Time to compare the digest of an equal table, which is the responder's work in an exchange.
    pub equal_exchange_us: f64,
}

pub fn measure_table(members: usize) -> anyhow::Result<TableMeasurement> {
    let mut rng = SmallRng::seed_from_u64(1);
    let records = records(members)?;
    let bytes_per_record = measure_memory(&records)?;
    let merge_us = measure_merge(&records);
    let mut core = MembershipCore::new(
        records[0].clone(),
        &SharedKey::derive("capacity"),
        START,
        &mut rng,
    );
    core.apply_push(exchange_push(records.clone()), START);
    core.take_effects().for_each(drop);
    let idle_tick_us = measure_ticks(&mut core, &mut rng, |_, _, _| {});
    let changed_tick_us = measure_ticks(&mut core, &mut rng, |core, tick, now| {
        let mut record = records[1 + tick % (members - 1)].clone();
        record.incarnation += 1 + u64::try_from(tick / (members - 1)).unwrap_or(0);
        core.apply_push(exchange_push(vec![record]), now);
    });
    let digest = core.exchange_digest();
    let start = Instant::now();
    for _ in 0..MEASURED_TICKS {
        black_box(core.compare_digest(black_box(&digest)));
    }
    Ok(TableMeasurement {
        members,
        bytes_per_record,
        idle_tick_us,
        changed_tick_us,
        merge_us,
        equal_exchange_us: micros(start.elapsed()) / f64::from(MEASURED_TICKS),
    })
}

pub fn records(members: usize) -> anyhow::Result<Vec<MemberRecord>> {
    (0..members).map(record).collect()
}

fn record(index: usize) -> anyhow::Result<MemberRecord> {
    let [.., high, low] = u32::try_from(index)?.to_be_bytes();
    let address = SocketAddr::new(Ipv4Addr::new(10, 1, high, low).into(), 7_000);
    let data_centre = index % DATA_CENTRES;
    Ok(MemberRecord {
        id: MemberId {
            address,
            started_ms: 1_760_000_000_000,
        },
        incarnation: 2,
        state: MemberState::Alive,
        region: format!("region-{}", data_centre / DATA_CENTRES_PER_REGION).into(),
        data_centre: format!("data-centre-{data_centre}").into(),
        mesh: address,
        admin: address,
        target: Some(TargetAnnouncement {
            service: ServiceName::new(&format!("service-{}", index % SERVICES))?,
            address,
            slots: 130,
            connections: 860,
            state: TargetState::Serving,
            health_path: Some("/health".into()),
            load_path: Some("/load".into()),
        }),
        policy_version: 1,
    })
}

fn exchange_push(records: Vec<MemberRecord>) -> ExchangePush {
    ExchangePush {
        records,
        wanted: Vec::new(),
    }
}

/// Resident memory of many tables, divided by the number of their records, in bytes.
fn measure_memory(records: &[MemberRecord]) -> anyhow::Result<f64> {
    let table_count = MEASURED_RECORDS.div_ceil(records.len());
    let kib_before = ProcessUsage::of(std::process::id())?.resident_kib;
    let tables: Vec<MemberTable> = (0..table_count).map(|_| build_table(records)).collect();
    let kib_after = ProcessUsage::of(std::process::id())?.resident_kib;
    let record_count = tables.iter().map(MemberTable::len).sum();
    let bytes = usize::try_from((kib_after - kib_before) * 1_024)?;
    Ok(as_float(bytes) / as_float(record_count))
}

fn build_table(records: &[MemberRecord]) -> MemberTable {
    let mut table = MemberTable::new();
    for record in records {
        table.merge_record(record, START);
    }
    table
}

fn measure_merge(records: &[MemberRecord]) -> f64 {
    let mut table = build_table(records);
    let mut newer: Vec<_> = records
        .iter()
        .cycle()
        .take(MEASURED_MERGES)
        .cloned()
        .collect();
    for (index, record) in newer.iter_mut().enumerate() {
        record.incarnation += 1 + u64::try_from(index / records.len()).unwrap_or(0);
    }
    let start = Instant::now();
    for record in &newer {
        black_box(table.merge_record(black_box(record), START));
    }
    micros(start.elapsed()) / as_float(MEASURED_MERGES)
}

fn measure_ticks(
    core: &mut MembershipCore,
    rng: &mut SmallRng,
    mut prepare: impl FnMut(&mut MembershipCore, usize, TimePoint),
) -> f64 {
    let mut now = START;
    let mut spent = Duration::ZERO;
    for tick in 0..MEASURED_TICKS {
        now = now + TICK_INTERVAL;
        prepare(core, usize::try_from(tick).unwrap_or(0), now);
        let start = Instant::now();
        core.tick(now, rng);
        black_box(core.take_view());
        core.take_effects().for_each(drop);
        spent += start.elapsed();
    }
    micros(spent) / f64::from(MEASURED_TICKS)
}

fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
