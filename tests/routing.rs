//! Selection of targets by location and load, ejection of targets up to a maximum share, and
//! targets that leave.

use {
    banyantrestle::{
        context::{CallPriority, RequestId, ServiceName},
        membership::{MemberId, MemberRecord, MemberState, TargetAnnouncement, TargetState},
        routing::{
            LoadFeedback, RouterLocation, RoutingDecision, TargetKey, TargetOutcome, TargetTable,
        },
        time::TimePoint,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{collections::HashSet, net::SocketAddr, time::Duration},
};

const START: TimePoint = TimePoint::from_millis(1_000);
const SLOTS: u32 = 4;

fn service() -> ServiceName {
    ServiceName::new("catalogue").expect("a valid name")
}

fn location() -> RouterLocation {
    RouterLocation {
        region: "nz-north".into(),
        data_centre: "akl-a".into(),
    }
}

fn record(number: u16, data_centre: &str) -> MemberRecord {
    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    MemberRecord {
        id: MemberId {
            address: address(10_000 + number),
            started_ms: 1,
        },
        incarnation: 1,
        state: MemberState::Alive,
        region: "nz-north".into(),
        data_centre: data_centre.into(),
        mesh: address(20_000 + number),
        admin: address(30_000 + number),
        target: Some(TargetAnnouncement {
            service: service(),
            address: address(40_000 + number),
            slots: SLOTS,
            connections: 100,
            state: TargetState::Serving,
            health_path: None,
            load_path: None,
        }),
        policy_version: 1,
    }
}

fn records(data_centres: &[&str]) -> Vec<MemberRecord> {
    (0..)
        .zip(data_centres)
        .map(|(number, data_centre)| record(number, data_centre))
        .collect()
}

fn table_of(records: &[MemberRecord]) -> TargetTable {
    let mut table = TargetTable::new(location());
    table.update(TimePoint::ORIGIN, records);
    table
}

fn rng() -> SmallRng {
    SmallRng::seed_from_u64(5)
}

fn priority(rank: u8) -> CallPriority {
    CallPriority::new(rank, RequestId::from_u128(3))
}

fn pick(
    table: &TargetTable,
    now: TimePoint,
    tried: &[TargetKey],
    rng: &mut SmallRng,
) -> RoutingDecision {
    table.pick(now, &service(), priority(2), tried, rng)
}

fn pick_target(table: &TargetTable, now: TimePoint, rng: &mut SmallRng) -> TargetKey {
    match pick(table, now, &[], rng) {
        RoutingDecision::Target(key) => key,
        other => panic!("no target was picked: {other:?}"),
    }
}

fn mesh_port(table: &TargetTable, key: TargetKey) -> u16 {
    table.get(key).expect("a known target").mesh().port()
}

fn fail(table: &mut TargetTable, now: TimePoint, key: TargetKey) {
    table.start_call(key);
    table.finish_call(now, key, TargetOutcome::Unreachable);
}

fn responded_with_load(threshold: CallPriority, utilization_percent: u8) -> TargetOutcome {
    TargetOutcome::Responded(Some(LoadFeedback {
        threshold,
        chain_threshold: threshold,
        utilization_percent,
    }))
}

#[test]
fn targets_in_the_own_data_centre_are_preferred_while_they_have_capacity() {
    let mut table = table_of(&records(&["akl-a", "ham-a", "wlg-a"]));
    let mut rng = rng();
    for _ in 0..SLOTS {
        let key = pick_target(&table, START, &mut rng);
        assert_eq!(mesh_port(&table, key), 20_000);
        table.start_call(key);
    }
    let key = pick_target(&table, START, &mut rng);
    assert_ne!(mesh_port(&table, key), 20_000);
}

#[test]
fn leaving_dead_and_draining_targets_get_no_calls() {
    let mut leaving = record(1, "akl-a");
    leaving.state = MemberState::Leaving;
    let mut dead = record(2, "akl-a");
    dead.state = MemberState::Dead;
    let mut draining = record(3, "akl-a");
    draining.target.as_mut().expect("a target").state = TargetState::Draining;
    let table = table_of(&[leaving, dead, draining]);
    assert_eq!(
        pick(&table, START, &[], &mut rng()),
        RoutingDecision::NoTarget
    );
}

#[test]
fn a_target_that_starts_to_leave_gets_no_more_calls() {
    let mut records = records(&["akl-a", "akl-a"]);
    let mut table = table_of(&records);
    records[0].state = MemberState::Leaving;
    table.update(START, &records);
    let mut rng = rng();
    for _ in 0..100 {
        let key = pick_target(&table, START, &mut rng);
        assert_eq!(mesh_port(&table, key), 20_001);
    }
}

#[test]
fn a_target_that_failed_in_the_request_is_not_tried_again() {
    let table = table_of(&records(&["akl-a", "akl-a"]));
    let mut rng = rng();
    let first = pick_target(&table, START, &mut rng);
    for _ in 0..100 {
        match pick(&table, START, &[first], &mut rng) {
            RoutingDecision::Target(key) => assert_ne!(key, first),
            other => panic!("no target was picked: {other:?}"),
        }
    }
}

#[test]
fn an_unreachable_target_is_ejected_and_restored() {
    let mut table = table_of(&records(&["akl-a", "akl-a", "akl-a"]));
    let mut rng = rng();
    let failed = pick_target(&table, START, &mut rng);
    fail(&mut table, START, failed);
    for _ in 0..100 {
        assert_ne!(pick_target(&table, START, &mut rng), failed);
    }
    let later = START + Duration::from_secs(60);
    let is_restored = (0..100).any(|_| pick_target(&table, later, &mut rng) == failed);
    assert!(is_restored);
}

#[test]
fn ejected_targets_are_tried_if_no_others_are_left() {
    let mut table = table_of(&records(&["akl-a", "akl-a", "akl-a", "akl-a"]));
    let mut rng = rng();
    for _ in 0..64 {
        let key = pick_target(&table, START, &mut rng);
        fail(&mut table, START, key);
    }
    pick_target(&table, START, &mut rng);
}

#[test]
fn unreachable_targets_get_no_calls_even_if_they_are_the_majority() {
    let mut table = table_of(&records(&["akl-a", "akl-a", "akl-a", "ham-a"]));
    let mut rng = rng();
    let mut unreachable = 0;
    while unreachable < 3 {
        let key = pick_target(&table, START, &mut rng);
        if mesh_port(&table, key) != 20_003 {
            fail(&mut table, START, key);
            unreachable += 1;
        }
    }
    for _ in 0..100 {
        let key = pick_target(&table, START, &mut rng);
        assert_eq!(mesh_port(&table, key), 20_003);
    }
}

#[test]
fn broken_responses_eject_at_most_half_of_the_targets() {
    let mut table = table_of(&records(&["akl-a", "akl-a", "akl-a", "akl-a"]));
    let mut rng = rng();
    for _ in 0..200 {
        let key = pick_target(&table, START, &mut rng);
        table.start_call(key);
        table.finish_call(START, key, TargetOutcome::Broken);
    }
    let ports: HashSet<u16> = (0..200)
        .map(|_| pick_target(&table, START, &mut rng))
        .map(|key| mesh_port(&table, key))
        .collect();
    assert_eq!(ports.len(), 2);
}

#[test]
fn a_call_is_shed_only_below_every_fresh_threshold() {
    let mut table = table_of(&records(&["akl-a", "akl-a"]));
    let mut rng = rng();
    let high = priority(9);
    let first = pick_target(&table, START, &mut rng);
    let second = match pick(&table, START, &[first], &mut rng) {
        RoutingDecision::Target(key) => key,
        other => panic!("no target was picked: {other:?}"),
    };
    table.start_call(first);
    table.finish_call(START, first, responded_with_load(high, 50));
    for _ in 0..50 {
        assert_eq!(pick_target(&table, START, &mut rng), second);
    }
    table.start_call(second);
    table.finish_call(START, second, responded_with_load(high, 50));
    assert!(matches!(
        pick(&table, START, &[], &mut rng),
        RoutingDecision::Shed { retry_after } if retry_after > Duration::ZERO
    ));
    let later = START + Duration::from_secs(2);
    assert!(matches!(
        pick(&table, later, &[], &mut rng),
        RoutingDecision::Target(_)
    ));
}

#[test]
fn a_new_target_is_ramped_up() {
    let mut records = records(&["akl-a", "akl-a"]);
    let mut table = table_of(&records);
    records.push(record(2, "akl-a"));
    table.update(START, &records);
    let mut rng = rng();
    // The ramp divides the load, so it has an effect only if each target has a call in flight.
    let mut busy = HashSet::new();
    while busy.len() < 3 {
        let key = pick_target(&table, START, &mut rng);
        if busy.insert(key) {
            table.start_call(key);
        }
    }
    let share_of_new = |now: TimePoint, rng: &mut SmallRng| {
        (0..3_000)
            .map(|_| pick_target(&table, now, rng))
            .filter(|key| mesh_port(&table, *key) == 20_002)
            .count()
    };
    let early = share_of_new(START + Duration::from_millis(100), &mut rng);
    let late = share_of_new(START + Duration::from_secs(60), &mut rng);
    assert!(early < late, "{early} calls early, {late} late");
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn a_picked_target_is_always_present(
        states in prop::collection::vec(0_u8..5, 1..12),
        outcomes in prop::collection::vec((0_usize..12, 0_u8..4), 0..60),
        seed in any::<u64>(),
    ) {
        let mut records: Vec<MemberRecord> = (0..)
            .zip(&states)
            .map(|(number, _)| record(number, ["akl-a", "ham-a"][usize::from(number % 2)]))
            .collect();
        let mut table = table_of(&records);
        let mut rng = SmallRng::seed_from_u64(seed);
        for (step, (_, outcome)) in outcomes.iter().enumerate() {
            let now = START + Duration::from_millis(step as u64 * 50);
            if let RoutingDecision::Target(key) = pick(&table, now, &[], &mut rng) {
                table.start_call(key);
                table.finish_call(now, key, match outcome {
                    0 => TargetOutcome::Broken,
                    1 => TargetOutcome::Unreachable,
                    2 => TargetOutcome::Abandoned,
                    _ => responded_with_load(CallPriority::LOWEST, 30),
                });
            }
        }
        for (record, state) in records.iter_mut().zip(&states) {
            match state {
                0 => record.state = MemberState::Leaving,
                1 => record.state = MemberState::Dead,
                2 => record.state = MemberState::Suspect,
                3 => record.target.as_mut().expect("a target").state = TargetState::Draining,
                _ => {}
            }
        }
        table.update(START, &records);
        let present = states.iter().filter(|state| matches!(state, 2 | 4)).count();
        match pick(&table, START, &[], &mut rng) {
            RoutingDecision::Target(key) => {
                let port = mesh_port(&table, key);
                let state = states[usize::from(port - 20_000)];
                prop_assert!(matches!(state, 2 | 4));
            }
            RoutingDecision::NoTarget => prop_assert_eq!(present, 0),
            RoutingDecision::Shed { .. } => prop_assert!(false, "no threshold was reported"),
        }
    }

    #[test]
    fn load_feedback_is_read_back_from_its_header(threshold in any::<u32>(), chain in any::<u32>(), percent in any::<u8>()) {
        let load = LoadFeedback {
            threshold: CallPriority::from_u32(threshold),
            chain_threshold: CallPriority::from_u32(chain),
            utilization_percent: percent,
        };
        prop_assert_eq!(LoadFeedback::decode(&load.encode()), Some(load));
    }

    #[test]
    fn any_load_header_is_decoded_or_rejected(text in ".{0,64}") {
        let _ = LoadFeedback::decode(&text);
    }
}
