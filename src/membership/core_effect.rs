use {
    super::{MemberId, MemberRecord, MemberState},
    std::{net::SocketAddr, sync::Arc},
};

/// What the core asks its carrier to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoreEffect {
    Send {
        to: SocketAddr,
        datagram: Vec<u8>,
    },
    /// Compare tables with a member over TCP.
    StartExchange {
        peer: MemberId,
    },
    /// A member appeared or changed its state.
    MemberChanged {
        record: Arc<MemberRecord>,
        previous: Option<MemberState>,
    },
}
