/// How a target handles and responds to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UpstreamMode {
    #[default]
    Serve,
    /// Refuses the call with 503 and marks it as not executed.
    Shed,
    /// Refuses the call with 503 and does not say whether it was executed.
    UnprovenRefusal,
    /// Runs the call and responds with 500.
    Fail,
    /// Runs the call and responds without a signature.
    Unsigned,
    /// Runs the call and responds with the id of another call.
    ForeignId,
    /// Runs the call and closes the connection in the middle of the response body.
    CloseConnection,
    /// Runs the call and sends no response.
    NoResponse,
    /// Runs the call to its end also when its connection has closed.
    ServeDetached,
    /// Runs the call and responds with a content encoding.
    Encoded,
    /// Runs the call and responds with 200 and with headers that only sidecars may set.
    ForgedHeaders,
}
