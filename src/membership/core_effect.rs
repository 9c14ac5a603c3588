use {
    super::{MemberId, MemberRecord, MemberState},
    std::{net::SocketAddr, sync::Arc},
};

/// An action that the core requests from the actor that drives it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CoreEffect {
    Send {
        to: SocketAddr,
        datagram: Vec<u8>,
    },
    /// Run an anti-entropy exchange with a member over TCP.
    StartExchange {
        peer: MemberId,
    },
    /// A member was added or changed its state.
    MemberChanged {
        record: Arc<MemberRecord>,
        previous: Option<MemberState>,
    },
}
