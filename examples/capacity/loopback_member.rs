use {
    anyhow::Context,
    banyantrestle::{
        auth::SharedKey,
        context::ServiceName,
        membership::{
            MemberId, MembershipHandle, MembershipSettings, TargetAnnouncement, TargetState,
        },
        time::{ProcessClock, TimerService},
    },
    slog::{Discard, Logger, o},
    standins::platform::MemoryTable,
    std::net::{Ipv4Addr, SocketAddr},
};

const DATA_CENTRES: usize = 5;
const DATA_CENTRES_PER_REGION: usize = 3;
const SERVICES: usize = 71;

/// Member on loopback that announces a target.
pub struct LoopbackMember {
    pub handle: MembershipHandle,
    pub address: SocketAddr,
}

pub async fn start_member(index: usize, peers: Vec<SocketAddr>) -> anyhow::Result<LoopbackMember> {
    let clock = ProcessClock::start();
    let gossip = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
    let data_centre = index % DATA_CENTRES;
    let port = u16::try_from(index + 1)?;
    let settings = MembershipSettings {
        id: MemberId {
            address: gossip,
            started_ms: clock.wall_ms(),
        },
        region: format!("region-{}", data_centre / DATA_CENTRES_PER_REGION),
        data_centre: format!("data-centre-{data_centre}"),
        mesh: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port),
        admin: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port),
        gossip,
        peers,
        key: SharedKey::derive("capacity"),
    };
    let timers = TimerService::new(clock);
    let log = Logger::root(Discard, o!());
    let table = MemoryTable::default();
    let handle = MembershipHandle::start(settings, table, timers, clock, log)?;
    handle.set_target(Some(announcement(index)?));
    let address = handle.address();
    Ok(LoopbackMember { handle, address })
}

fn announcement(index: usize) -> anyhow::Result<TargetAnnouncement> {
    let port = u16::try_from(index + 1).context("member index exceeds the port range")?;
    Ok(TargetAnnouncement {
        service: ServiceName::new(&format!("service-{}", index % SERVICES))?,
        address: SocketAddr::new(Ipv4Addr::LOCALHOST.into(), port),
        slots: 130,
        connections: 860,
        state: TargetState::Serving,
        health_path: Some("/health".into()),
        load_path: Some("/load".into()),
    })
}
