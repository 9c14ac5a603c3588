use {
    super::{RouteConfig, TargetReport},
    crate::error::StepError,
    bytes::Bytes,
    http::{HeaderName, Method},
    std::{future::Future, time::Duration},
};

/// Headers by which callers and targets of a platform speak of one call.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller.
    pub request_id: HeaderName,
    /// Milliseconds that the caller still waits.
    pub deadline_ms: HeaderName,
    /// Proof of a target that the answer is its own.
    pub signature: HeaderName,
    /// Id of the only target that may run the call.
    pub expected_instance: HeaderName,
    /// A target says that it did not run the call.
    pub not_executed: HeaderName,
    /// Load of the answering target.
    pub target_load: HeaderName,
    /// Service beside which the call began.
    pub caller_service: HeaderName,
}

impl HeaderNames {
    /// Whether a header has another value on each call.
    pub(crate) fn is_per_call(&self, name: &HeaderName) -> bool {
        [&self.request_id, &self.deadline_ms, &self.signature].contains(&name)
    }
}

/// Names and formats of a platform; decides nothing.
pub trait PlatformAdapter: Send + Sync + 'static {
    fn headers(&self) -> &HeaderNames;

    fn is_readiness(&self, method: &Method, path: &str) -> bool;

    /// What a target reports with a call; `None` if there is no such call.
    ///
    /// # Errors
    /// The path or the body can't be read; says where.
    fn read_report(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Option<Result<TargetReport, String>>;

    /// # Errors
    /// The document can't be read or is not valid; says where.
    fn read_plan(&self, document: &[u8]) -> Result<RouteConfig, String>;
}

/// The newest configuration, as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigRow {
    /// Place in the history of the store from which changes are followed.
    pub position: u64,
    pub document: Option<Bytes>,
}

/// What came of waiting for a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedEvent {
    Changed(ConfigRow),
    /// The store has dropped the history after the position.
    HistoryLost,
}

/// The operator's configuration in the store of a platform.
pub trait ConfigSource: Send + Sync + 'static {
    /// Reads the configuration as it is now.
    ///
    /// # Errors
    /// The store refused or did not answer.
    fn read(&self) -> impl Future<Output = Result<ConfigRow, StepError>> + Send;

    /// Waits until something has changed after `position`, or `patience` is over.
    ///
    /// # Errors
    /// The store refused or did not answer.
    fn wait(
        &self,
        position: u64,
        patience: Duration,
    ) -> impl Future<Output = Result<FeedEvent, StepError>> + Send;
}
