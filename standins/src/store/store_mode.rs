/// How the store responds to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    #[default]
    Up,
    /// Responds to every call with 503.
    Busy,
    /// Responds to no call.
    Silent,
    /// Applies transactions and sends no response to them.
    LostResponses,
    /// Responds to feed calls with 410, as if the history were lost.
    HistoryLost,
    /// Answers calls for this table with 503 and the others as usual.
    TableBusy(&'static str),
}

impl StoreMode {
    /// Whether calls for `table` alone are refused.
    pub(crate) fn is_busy(self, table: &str) -> bool {
        matches!(self, Self::TableBusy(busy) if busy == table)
    }
}
