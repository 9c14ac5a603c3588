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
}
