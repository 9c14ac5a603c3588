use {
    super::{
        HopContext,
        call_table::{CallTable, TableCall},
    },
    crate::time::TimePoint,
    std::net::SocketAddr,
};

/// Calls that other sidecars have been sent and whose targets may be running them.
pub(crate) type SentCalls = CallTable<SentCall>;

/// A call that another sidecar has been sent for the target beside it.
#[derive(Debug)]
pub(crate) struct SentCall {
    /// Mesh address of that sidecar.
    pub(crate) peer: SocketAddr,
    pub(crate) context: HopContext,
}

impl TableCall for SentCall {
    fn deadline(&self) -> TimePoint {
        self.context.deadline
    }
}
