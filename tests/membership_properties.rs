//! Property tests of the member table, of the decoders, and of the handling of malformed, tampered
//! and foreign datagrams.

use {
    banyantrestle::{
        auth::SharedKey,
        context::ServiceName,
        membership::{
            ContactSource, CoreEffect, ExchangeDigest, ExchangePush, MAX_DATAGRAM_BYTES, MemberId,
            MemberRecord, MemberState, MemberTable, MembershipCore, PacketBody, PacketCodec,
            PacketHeader, ReplayWindow, TICK_INTERVAL, TargetAnnouncement, TargetState,
        },
        time::TimePoint,
    },
    proptest::{
        collection::vec,
        prelude::*,
        sample::select,
        test_runner::{Config, RngSeed},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::HashSet,
        net::{Ipv4Addr, SocketAddr},
    },
};

const NOW: TimePoint = TimePoint::from_millis(1_000);

fn proptest_config() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x6d65_6d62_6572),
        ..Config::default()
    }
}

fn address(index: u16) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 7_000 + index)
}

fn key() -> SharedKey {
    SharedKey::derive("test")
}

fn record(index: u16, started_ms: u64, incarnation: u64, state: MemberState) -> MemberRecord {
    MemberRecord {
        id: MemberId {
            address: address(index),
            started_ms,
        },
        incarnation,
        state,
        region: "hokkaido".into(),
        data_centre: "niseko".into(),
        mesh: address(index + 1_000),
        admin: address(index + 2_000),
        target: None,
        policy_version: 0,
    }
}

fn any_target() -> impl Strategy<Value = Option<TargetAnnouncement>> {
    proptest::option::of((0_u32..4).prop_map(|slots| TargetAnnouncement {
        service: ServiceName::new("reserve").unwrap(),
        address: address(9),
        slots,
        connections: 420,
        state: TargetState::Serving,
        health_path: None,
        load_path: None,
    }))
}

prop_compose! {
    fn any_record()(
        index in 0_u16..4,
        started_ms in 1_u64..4,
        incarnation in 1_u64..4,
        state in select(vec![
            MemberState::Alive, MemberState::Suspect, MemberState::Leaving, MemberState::Dead,
        ]),
        data_centre in select(vec!["sapporo", "niseko"]),
        target in any_target(),
        policy_version in 0_u64..3,
    ) -> MemberRecord {
        MemberRecord {
            policy_version,
            data_centre: data_centre.into(),
            target,
            ..record(index, started_ms, incarnation, state)
        }
    }
}

fn merge_all(records: &[MemberRecord]) -> MemberTable {
    let mut table = MemberTable::new();
    for record in records {
        table.merge_record(record, NOW);
    }
    table
}

fn sorted_records(table: &MemberTable) -> Vec<MemberRecord> {
    let mut records: Vec<_> = table
        .iter()
        .map(|(_, entry)| MemberRecord::clone(&entry.record))
        .collect();
    records.sort_by_key(|record| record.id);
    records
}

/// Returns a core on the address `index` that knows the members 0 to 3.
fn member_core(index: u16, rng: &mut SmallRng) -> MembershipCore {
    let own = record(index, 1, 1, MemberState::Alive);
    let mut core = MembershipCore::new(own, &key(), NOW, rng);
    let records = (0..4).map(|other| record(other, 1, 1, MemberState::Alive));
    let push = ExchangePush {
        records: records.collect(),
        wanted: Vec::new(),
    };
    core.apply_push(push, NOW);
    core.take_effects().for_each(drop);
    core
}

/// Returns valid datagrams from member 1 to member 0, each of which reports that member 1 is
/// leaving.
fn leave_datagrams(rng: &mut SmallRng) -> Vec<Vec<u8>> {
    let mut sender = member_core(1, rng);
    sender.leave(NOW);
    let mut datagrams = Vec::new();
    for tick in 1..4 {
        sender.tick(NOW + TICK_INTERVAL * tick, rng);
        datagrams.extend(sender.take_effects().filter_map(|effect| match effect {
            CoreEffect::Send { to, datagram } if to == address(0) => Some(datagram),
            _ => None,
        }));
    }
    datagrams
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn merge_is_commutative_associative_and_idempotent(
        records in vec(any_record(), 0..12),
        order in vec(any::<prop::sample::Index>(), 0..24),
    ) {
        let expected = merge_all(&records);
        let mut shuffled = records.clone();
        shuffled.reverse();
        for index in order.iter().filter(|_| !records.is_empty()) {
            shuffled.push(records[index.index(records.len())].clone());
            let (from, to) = (index.index(shuffled.len()), shuffled.len() - 1);
            shuffled.swap(from, to);
        }
        let actual = merge_all(&shuffled);
        prop_assert_eq!(sorted_records(&actual), sorted_records(&expected));
        prop_assert_eq!(actual.digest(), expected.digest());

        let (left, right) = records.split_at(records.len() / 2);
        let mut joined = merge_all(left);
        for record in sorted_records(&merge_all(right)) {
            joined.merge_record(&record, NOW);
        }
        prop_assert_eq!(sorted_records(&joined), sorted_records(&expected));
    }

    #[test]
    fn exchange_makes_two_tables_equal(
        left in vec(any_record(), 0..12),
        right in vec(any_record(), 0..12),
    ) {
        let mut rng = SmallRng::seed_from_u64(1);
        let push_records = |core: &mut MembershipCore, records: &[MemberRecord]| {
            let push = ExchangePush { records: records.to_vec(), wanted: Vec::new() };
            core.apply_push(push, NOW);
        };
        let mut initiator = MembershipCore::new(record(8, 1, 1, MemberState::Alive), &key(), NOW, &mut rng);
        let mut responder = MembershipCore::new(record(9, 1, 1, MemberState::Alive), &key(), NOW, &mut rng);
        push_records(&mut initiator, &left);
        push_records(&mut responder, &right);
        let diff = responder.compare_digest(&initiator.exchange_digest()).unwrap();
        let push = initiator.build_push(&diff);
        let reply = responder.apply_push(push, NOW);
        initiator.apply_reply(reply, NOW);
        let digest = |core: &MembershipCore| core.registry().table().digest().clone();
        prop_assert_eq!(digest(&initiator), digest(&responder));
    }

    #[test]
    fn arbitrary_bytes_never_panic_and_change_nothing(bytes in vec(any::<u8>(), 0..1_400)) {
        let mut rng = SmallRng::seed_from_u64(2);
        let mut core = member_core(0, &mut rng);
        let before = sorted_records(core.registry().table());
        core.receive(&bytes, NOW, &mut rng);
        prop_assert_eq!(sorted_records(core.registry().table()), before);
        let counters = core.counters();
        let drops: u64 = counters.drops().map(|(_, count)| count).sum();
        prop_assert_eq!(drops, 1);
        prop_assert_eq!(core.take_effects().count(), 0);
    }

    #[test]
    fn arbitrary_content_under_the_right_key_never_panics(
        content in vec(any::<u8>(), 0..1_100),
        has_header in any::<bool>(),
    ) {
        let mut rng = SmallRng::seed_from_u64(3);
        let mut core = member_core(0, &mut rng);
        let codec = PacketCodec::new(key());
        let header = PacketHeader {
            sender: record(1, 1, 1, MemberState::Alive).id,
            recipient: address(0),
            recipient_started_ms: 1,
            sequence: 1,
            policy_in_force: 0,
            policy: None,
            body: PacketBody::Gossip,
        };
        let mut datagram = codec.encode_header(&header);
        if !has_header {
            datagram.truncate(1);
        }
        datagram.extend_from_slice(&content);
        codec.seal(&mut datagram);
        core.receive(&datagram, NOW, &mut rng);
        for tick in 1..5 {
            core.tick(NOW + TICK_INTERVAL * tick, &mut rng);
        }
        for effect in core.take_effects() {
            if let CoreEffect::Send { datagram, .. } = effect {
                prop_assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
            }
        }
    }

    #[test]
    fn tampered_datagrams_never_change_the_table(
        pick in any::<prop::sample::Index>(),
        position in any::<prop::sample::Index>(),
        flip in 1_u8..,
        length in any::<prop::sample::Index>(),
    ) {
        let mut rng = SmallRng::seed_from_u64(4);
        let datagrams = leave_datagrams(&mut rng);
        let datagram = pick.get(&datagrams);
        let mut flipped = datagram.clone();
        flipped[position.index(datagram.len())] ^= flip;
        let truncated = &datagram[..length.index(datagram.len())];

        let mut core = member_core(0, &mut rng);
        let before = sorted_records(core.registry().table());
        core.receive(&flipped, NOW, &mut rng);
        core.receive(truncated, NOW, &mut rng);
        prop_assert_eq!(sorted_records(core.registry().table()), before.clone());

        core.receive(datagram, NOW, &mut rng);
        prop_assert_ne!(sorted_records(core.registry().table()), before);
    }

    #[test]
    fn datagrams_of_another_deployment_change_nothing(seed in any::<u64>()) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let foreign_key = SharedKey::derive("another");
        let own = record(1, 1, 1, MemberState::Alive);
        let mut foreign = MembershipCore::new(own, &foreign_key, NOW, &mut rng);
        foreign.set_contacts(ContactSource::Settings, &[address(0)]);
        let mut core = member_core(0, &mut rng);
        let before = sorted_records(core.registry().table());
        for tick in 1..20 {
            foreign.tick(NOW + TICK_INTERVAL * tick, &mut rng);
            let effects: Vec<_> = foreign.take_effects().collect();
            for effect in effects {
                if let CoreEffect::Send { datagram, .. } = effect {
                    core.receive(&datagram, NOW, &mut rng);
                }
            }
        }
        prop_assert!(core.counters().datagrams_in > 0);
        prop_assert_eq!(sorted_records(core.registry().table()), before);
        prop_assert_eq!(core.take_effects().count(), 0);
    }

    #[test]
    fn exchange_messages_of_any_content_never_panic(bytes in vec(any::<u8>(), 0..2_000)) {
        let mut rng = SmallRng::seed_from_u64(5);
        let mut core = member_core(0, &mut rng);
        if let Ok(digest) = postcard::from_bytes::<ExchangeDigest>(&bytes) {
            let _ = core.compare_digest(&digest);
        }
        if let Ok(diff) = postcard::from_bytes(&bytes) {
            let _ = core.build_push(&diff);
        }
        if let Ok(push) = postcard::from_bytes::<ExchangePush>(&bytes) {
            let reply = core.apply_push(push, NOW);
            core.apply_reply(reply, NOW);
        }
    }

    #[test]
    fn replay_window_accepts_each_number_once(numbers in vec(0_u64..200, 0..200)) {
        let mut window = ReplayWindow::default();
        let mut accepted = HashSet::new();
        let mut highest = 0;
        for number in numbers {
            let is_accepted = window.accept(number);
            let is_recent = number + 64 > highest;
            prop_assert_eq!(is_accepted, is_recent && !accepted.contains(&number));
            if is_accepted {
                accepted.insert(number);
            }
            highest = highest.max(number);
        }
    }
}
