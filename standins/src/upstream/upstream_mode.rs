/// How a target answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpstreamMode {
    #[default]
    Serve,
    /// Refuses unrun, and says so.
    Shed,
    /// Answers 503 and does not say whether it ran the call.
    UnprovenRefusal,
    /// Runs the call and answers 500.
    Fail,
    /// Answers without a signature.
    Unsigned,
    /// Answers with the id of another call.
    ForeignId,
    /// Breaks the answer off.
    CloseConnection,
    /// Runs the call and says nothing.
    NoResponse,
    /// Answers with a content encoding.
    Encoded,
    /// Answers well, with headers that only sidecars may set.
    ForgedHeaders,
}
