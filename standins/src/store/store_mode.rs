/// How the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    #[default]
    Up,
    /// Every call gets 503.
    Busy,
    /// No call gets an answer.
    Silent,
    /// Writes take effect and get no answer.
    LostResponses,
    /// The history of the feed is gone.
    HistoryLost,
}
