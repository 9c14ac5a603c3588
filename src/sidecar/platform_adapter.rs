use {
    super::{RouteConfig, TargetReport},
    crate::error::StepError,
    bytes::Bytes,
    http::{HeaderMap, HeaderName, Method},
    std::{future::Future, time::Duration},
};

/// Names of the headers that callers and targets of a platform use.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a caller.
    pub request_id: HeaderName,
    /// Remaining time of the caller, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Target's proof that it produced the response.
    pub signature: HeaderName,
    /// Id of the only target process that may run the call.
    pub expected_instance: HeaderName,
    /// Set by a target that did not run the call.
    pub not_executed: HeaderName,
    /// Load of the responding target.
    pub target_load: HeaderName,
    /// Requests per second that the responding target takes from all callers together.
    pub rate_limit: HeaderName,
    /// Set by a target that is shutting down.
    pub leaving: HeaderName,
    /// Service of the target that makes the call.
    pub caller_service: HeaderName,
    /// Key of the caller's account.
    pub credential: HeaderName,
    /// Name of the caller's account, for the target.
    pub account: HeaderName,
}

impl HeaderNames {
    /// Headers of a target's response that the sidecar reads.
    pub(crate) fn response_headers(&self) -> [&HeaderName; 6] {
        [
            &self.request_id,
            &self.signature,
            &self.not_executed,
            &self.target_load,
            &self.rate_limit,
            &self.leaving,
        ]
    }

    /// Whether the value of a header differs from call to call.
    pub(crate) fn varies_per_call(&self, name: &HeaderName) -> bool {
        [&self.request_id, &self.deadline_ms, &self.signature].contains(&name)
    }
}

/// Key that a request carries.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum CallerCredential<'a> {
    Missing,
    /// Not in the platform's form, or there are several.
    Malformed,
    Key(&'a [u8]),
}

/// Adapter for the header names and document formats of a platform; it holds no policy.
pub trait PlatformAdapter: Send + Sync + 'static {
    fn headers(&self) -> &HeaderNames;

    /// Finds the key of the caller's account.
    fn read_credential<'a>(&self, headers: &'a HeaderMap) -> CallerCredential<'a>;

    fn is_readiness_check(&self, method: &Method, path: &str) -> bool;

    /// Parses a target's report; `None` if the request is not a report.
    ///
    /// # Errors
    /// The path or the body is malformed; the text says where.
    fn parse_report(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Option<Result<TargetReport, String>>;

    /// Names of the fields of a report's body that [`Self::parse_report`] does not read.
    fn unread_report_fields(&self, body: &[u8]) -> Vec<String>;

    /// Names of the fields of a configuration document that [`Self::parse_config`] does not read.
    fn unread_config_fields(&self, document: &[u8]) -> Vec<String>;

    /// Parses a configuration document.
    ///
    /// # Errors
    /// The document is malformed or not valid; the text says where.
    fn parse_config(&self, document: &[u8]) -> Result<RouteConfig, String>;
}

/// Position in the store's history from which changes are followed.
///
/// Versions of different epochs can't be compared: when the store comes back from an older copy of
/// itself, it assigns the versions after that copy again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedPosition {
    /// `None` if the store names no epoch.
    pub epoch: Option<u64>,
    pub version: u64,
}

impl FeedPosition {
    /// Whether the history between this position and `next`, which was read later, is one sequence.
    #[must_use]
    pub fn precedes(self, next: Self) -> bool {
        self.epoch == next.epoch && self.version <= next.version
    }
}

/// The newest configuration in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigRow {
    pub position: FeedPosition,
    pub document: Option<Bytes>,
    /// Whether the store is known to have answered with its present state.
    pub is_current: bool,
}

/// Result of asking whether the configuration is still the one that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigStanding {
    Unchanged,
    /// Something in the store has changed; the configuration has to be read again.
    Changed,
    /// The answer is not of the store's present state.
    Outdated,
}

/// Result of waiting for a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedEvent {
    Changed(ConfigRow),
    /// The store doesn't have the history after the position, or no longer has it.
    HistoryLost,
}

/// Store that holds the operator's configuration.
pub trait ConfigSource: Clone + Send + Sync + 'static {
    /// Reads the current configuration.
    ///
    /// # Errors
    /// The store refused the request or did not respond.
    fn read(&self) -> impl Future<Output = Result<ConfigRow, StepError>> + Send;

    /// Asks whether anything has changed after `position`; much cheaper than [`Self::read`].
    ///
    /// # Errors
    /// The store refused the request or did not respond.
    fn confirm(
        &self,
        position: FeedPosition,
    ) -> impl Future<Output = Result<ConfigStanding, StepError>> + Send;

    /// Waits until something has changed after `position`, `max_wait` has passed, or the epoch is no
    /// longer that of `position`.
    ///
    /// # Errors
    /// The store refused the request or did not respond.
    fn wait_for_change(
        &self,
        position: FeedPosition,
        max_wait: Duration,
    ) -> impl Future<Output = Result<FeedEvent, StepError>> + Send;
}
