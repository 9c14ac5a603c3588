use {
    banyantrestle::{
        context::ServiceName,
        membership::{MemberId, MemberRecord, MemberState, TargetAnnouncement, TargetState},
    },
    std::{net::SocketAddr, sync::Arc},
};

pub fn peer_address(index: usize) -> SocketAddr {
    let index = u8::try_from(index).expect("few targets");
    SocketAddr::from(([10, 0, 0, index], 80))
}

/// Builds a member with a target of `service`.
pub fn member(
    index: usize,
    service: &ServiceName,
    slots: u32,
    state: TargetState,
) -> Arc<MemberRecord> {
    Arc::new(MemberRecord {
        id: MemberId {
            address: peer_address(index),
            started_ms: 1,
        },
        incarnation: 1,
        state: MemberState::Alive,
        region: "r".into(),
        data_centre: "d".into(),
        mesh: peer_address(index),
        admin: peer_address(index),
        target: Some(TargetAnnouncement {
            service: service.clone(),
            address: peer_address(index),
            slots,
            connections: slots,
            state,
            health_path: None,
            load_path: None,
        }),
        policy_version: 0,
    })
}
