//! Tests of the membership actor over UDP and TCP sockets on loopback.

use {
    banyantrestle::{
        auth::SharedKey,
        context::ServiceName,
        error::StepError,
        membership::{
            MEMBER_TABLE, MemberId, MemberState, MemberView, MembershipHandle, MembershipSettings,
            TargetAnnouncement, TargetState,
        },
        table::{TableError, TableRow, TableStore, TableWrite, WriteResult},
        time::{ProcessClock, TimerService},
    },
    slog::{Discard, Logger, o},
    std::{
        collections::BTreeMap,
        net::{Ipv4Addr, SocketAddr},
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpStream, UdpSocket},
        time::timeout,
    },
};

/// Long enough that a test does not fail because the test host is loaded.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

#[derive(Clone, Default)]
struct MemoryTable {
    rows: Arc<Mutex<BTreeMap<String, TableRow>>>,
    is_down: Arc<Mutex<bool>>,
}

impl MemoryTable {
    fn set_down(&self, is_down: bool) {
        *self.is_down.lock().unwrap() = is_down;
    }

    fn check_available(&self) -> Result<(), TableError> {
        if *self.is_down.lock().unwrap() {
            return Err(TableError::Refused("down".into()));
        }
        Ok(())
    }
}

impl TableStore for MemoryTable {
    async fn transact(&self, writes: Vec<TableWrite>) -> Result<Vec<WriteResult>, TableError> {
        self.check_available()?;
        let mut rows = self.rows.lock().unwrap();
        let apply = |write: TableWrite| {
            assert_eq!(write.table, MEMBER_TABLE);
            let version = rows.get(&write.key).map_or(1, |row| row.version + 1);
            match write.value {
                Some(value) => rows.insert(
                    write.key.clone(),
                    TableRow {
                        key: write.key,
                        version,
                        write_id: write.write_id,
                        value,
                    },
                ),
                None => rows.remove(&write.key),
            };
            WriteResult::Applied { version }
        };
        Ok(writes.into_iter().map(apply).collect())
    }

    async fn read(&self, _: &str, _: Vec<String>) -> Result<Vec<Option<TableRow>>, TableError> {
        self.check_available()?;
        Ok(Vec::new())
    }

    async fn scan(&self, _: &str, after: &str, limit: usize) -> Result<Vec<TableRow>, TableError> {
        self.check_available()?;
        let rows = self.rows.lock().unwrap();
        let found = rows.values().filter(|row| row.key.as_str() > after);
        Ok(found.take(limit).cloned().collect())
    }
}

fn start_member(
    table: &MemoryTable,
    gossip: SocketAddr,
    peers: Vec<SocketAddr>,
) -> MembershipHandle {
    try_start_member(table, gossip, peers).unwrap()
}

fn try_start_member(
    table: &MemoryTable,
    gossip: SocketAddr,
    peers: Vec<SocketAddr>,
) -> Result<MembershipHandle, StepError> {
    let clock = ProcessClock::start();
    let settings = MembershipSettings {
        id: MemberId {
            address: gossip,
            started_ms: clock.wall_ms(),
        },
        region: "nz-north".into(),
        data_centre: "akl-a".into(),
        mesh: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 1),
        admin: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 2),
        gossip,
        peers,
        key: SharedKey::derive("test"),
    };
    let timers = TimerService::new(clock);
    let log = Logger::root(Discard, o!());
    MembershipHandle::start(settings, table.clone(), timers, clock, log)
}

async fn wait_for_view(handle: &MembershipHandle, is_reached: impl Fn(&MemberView) -> bool) {
    let mut view = handle.view();
    let waiting = view.wait_for(|view| is_reached(view));
    timeout(WAIT_TIMEOUT, waiting).await.unwrap().unwrap();
}

fn catalogue_target() -> TargetAnnouncement {
    TargetAnnouncement {
        service: ServiceName::new("catalogue").unwrap(),
        address: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 3),
        slots: 130,
        connections: 860,
        state: TargetState::Serving,
        health_path: None,
        load_path: None,
    }
}

#[tokio::test]
async fn members_join_announce_and_leave() {
    let table = MemoryTable::default();
    let handles: Vec<_> = (0..5)
        .map(|_| start_member(&table, LOOPBACK, vec![]))
        .collect();
    for handle in &handles {
        wait_for_view(handle, |view| view.members.len() == 5).await;
    }

    handles[0].set_target(Some(catalogue_target()));
    handles[0].set_policy_in_force(7, 70).await;
    let service = ServiceName::new("catalogue").unwrap();
    for handle in &handles {
        wait_for_view(handle, |view| view.serving(&service).count() == 1).await;
        let mut policy = handle.highest_policy();
        if handle.address() != handles[0].address() {
            let found = timeout(
                WAIT_TIMEOUT,
                policy.wait_for(|advertised| advertised.version == 7),
            );
            assert_eq!(found.await.unwrap().unwrap().hash, 70);
        }
    }

    handles[0].leave().await;
    for handle in &handles {
        wait_for_view(handle, |view| view.serving(&service).count() == 0).await;
        wait_for_view(handle, |view| view.count(MemberState::Leaving) == 1).await;
    }
    for handle in &handles {
        handle.stop().await;
    }
}

#[tokio::test]
async fn members_join_by_peers_while_the_table_is_down_and_by_table_later() {
    let table = MemoryTable::default();
    table.set_down(true);
    let first = start_member(&table, LOOPBACK, vec![]);
    let second = start_member(&table, LOOPBACK, vec![first.address()]);
    wait_for_view(&first, |view| view.members.len() == 2).await;
    let alone = start_member(&table, LOOPBACK, vec![]);
    table.set_down(false);
    for handle in [&first, &second, &alone] {
        wait_for_view(handle, |view| view.members.len() == 3).await;
    }
}

#[tokio::test]
async fn restart_on_the_same_address_supersedes_the_earlier_process() {
    let table = MemoryTable::default();
    let first = start_member(&table, LOOPBACK, vec![]);
    let second = start_member(&table, LOOPBACK, vec![]);
    wait_for_view(&first, |view| view.members.len() == 2).await;
    let address = second.address();
    let started_ms = first.view().borrow().find(address).unwrap().id.started_ms;
    second.set_target(Some(catalogue_target()));
    second.stop().await;
    let restarting = async {
        loop {
            tokio::time::sleep(Duration::from_millis(5)).await;
            if let Ok(handle) = try_start_member(&table, address, vec![]) {
                break handle;
            }
        }
    };
    let restarted = timeout(WAIT_TIMEOUT, restarting).await.unwrap();
    restarted.set_target(Some(catalogue_target()));
    wait_for_view(&first, |view| {
        let record = view.find(address);
        record.is_some_and(|record| record.id.started_ms > started_ms && record.accepts_new_calls())
    })
    .await;
}

#[tokio::test]
async fn foreign_datagrams_are_counted_and_change_nothing() {
    let table = MemoryTable::default();
    let handle = start_member(&table, LOOPBACK, vec![]);
    wait_for_view(&handle, |view| view.members.len() == 1).await;
    let foreign = UdpSocket::bind(LOOPBACK).await.unwrap();
    for length in [0, 1, 16, 17, 200, 1_200, 1_201, 9_000] {
        let datagram = vec![1; length];
        foreign.send_to(&datagram, handle.address()).await.unwrap();
    }
    let count_drops = async {
        loop {
            let counters = handle.stats().await.counters;
            let drops: u64 = counters.drops().map(|(_, count)| count).sum();
            if drops == 8 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, count_drops).await.unwrap();
    let stats = handle.stats().await;
    assert_eq!((stats.alive, stats.counters.datagrams_out), (1, 0));
}

#[tokio::test]
async fn foreign_connections_are_refused_and_members_still_join() {
    let table = MemoryTable::default();
    let handle = start_member(&table, LOOPBACK, vec![]);
    wait_for_view(&handle, |view| view.members.len() == 1).await;
    let too_long = [[7; 16].as_slice(), &u32::MAX.to_le_bytes(), &[7; 64]].concat();
    let wrong_tag = [[7; 16].as_slice(), &8_u32.to_le_bytes(), &[7; 24]].concat();
    let unfinished = vec![7; 20];
    let mut foreign = Vec::new();
    for bytes in [too_long, wrong_tag, unfinished, vec![]] {
        let mut stream = TcpStream::connect(handle.address()).await.unwrap();
        stream.write_all(&bytes).await.unwrap();
        foreign.push(stream);
    }
    let second = start_member(&table, LOOPBACK, vec![]);
    wait_for_view(&second, |view| view.members.len() == 2).await;
    for mut stream in foreign {
        // The responder sends at most its nonce and then closes or resets the connection.
        let mut received = Vec::new();
        let ended = timeout(WAIT_TIMEOUT, stream.read_to_end(&mut received)).await;
        assert!(ended.is_ok() && received.len() <= 16);
    }
    let count_failures = async {
        while handle.stats().await.counters.exchange_failures < 4 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(WAIT_TIMEOUT, count_failures).await.unwrap();
}

/// A withdrawal that overtook the announcement after it hid a serving target until its next change.
#[tokio::test(flavor = "multi_thread", worker_threads = 8)]
async fn the_target_that_was_set_last_is_announced() {
    const ROUNDS: u32 = 500;
    const CHANGES: u32 = 8;
    let handle = start_member(&MemoryTable::default(), LOOPBACK, vec![]);
    let service = ServiceName::new("catalogue").unwrap();
    let slots = Arc::new(Mutex::new(0));
    for round in 1..=ROUNDS {
        let changes = (0..CHANGES).map(|_| {
            let (handle, slots) = (handle.clone(), slots.clone());
            tokio::spawn(async move {
                {
                    let mut slots = slots.lock().unwrap();
                    *slots += 1;
                    let target = TargetAnnouncement {
                        slots: *slots,
                        ..catalogue_target()
                    };
                    handle.set_target((*slots % 2 == 0).then_some(target));
                }
                handle.wait_until_target_published().await;
            })
        });
        for change in changes.collect::<Vec<_>>() {
            change.await.unwrap();
        }
        let view = handle.view().borrow().clone();
        let serving = view.serving(&service);
        let announced: Vec<_> = serving
            .map(|record| record.target.as_ref().unwrap().slots)
            .collect();
        assert_eq!(announced, [round * CHANGES]);
    }
    handle.stop().await;
}

/// A caller that stops waiting does not undo the change.
#[tokio::test]
async fn a_target_that_nobody_waits_for_is_announced() {
    let handle = start_member(&MemoryTable::default(), LOOPBACK, vec![]);
    handle.set_target(Some(catalogue_target()));
    drop(handle.wait_until_target_published());
    let service = ServiceName::new("catalogue").unwrap();
    wait_for_view(&handle, |view| view.serving(&service).count() == 1).await;
    handle.set_target(None);
    wait_for_view(&handle, |view| view.serving(&service).count() == 0).await;
    handle.stop().await;
}
