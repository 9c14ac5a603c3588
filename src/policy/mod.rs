//! The policy document of a deployment, from an operator's form to the rule for one call.
//!
//! A [`PolicyDocument`] names the request classes, the most important first, and the routes that
//! give each call its class. [`PolicyDocument::validate`] names each field out of its bounds;
//! [`ActivePolicy`] is the compiled form that the request path looks up.
//!
//! The document stands in one row of the table service and is replaced by compare-and-swap. Each
//! daemon runs a [`PolicyService`]: it commits what operators submit, reads the row at a rate that
//! all daemons share, and fetches from a peer that tells a higher version. [`VersionTracker`]
//! decides what is enforced, only ever a higher version.

mod accepted_policy;
mod active_policy;
mod class_rule;
mod compressed_policy;
mod fetch_scheduler;
mod field_change;
mod path_variants;
mod policy_actor;
mod policy_commit;
mod policy_conflict;
mod policy_document;
mod policy_hash;
mod policy_row;
mod policy_service;
mod policy_source;
mod policy_table;
mod policy_validator;
mod poll_schedule;
mod route_table;
mod startup_readiness;
mod submit_error;
mod version_history;
mod version_tracker;
mod versioned_policy;

pub use {
    accepted_policy::AcceptedPolicy,
    active_policy::ActivePolicy,
    class_rule::ClassRule,
    compressed_policy::{CompressedPolicy, CompressionError, MAX_COMPRESSED_POLICY_BYTES},
    fetch_scheduler::PolicyFetch,
    field_change::FieldChange,
    policy_commit::COMMIT_TIMEOUT,
    policy_conflict::PolicyConflict,
    policy_document::{ClassPolicy, OverloadPolicy, PolicyDocument, RetryPolicy, RoutePolicy},
    policy_hash::PolicyHash,
    policy_row::{MAX_POLICY_ROW_BYTES, POLICY_KEY, POLICY_TABLE},
    policy_service::{PolicyDependencies, PolicyService},
    policy_source::PolicySource,
    policy_validator::{MAX_CLASSES, MAX_METHOD_BYTES, MAX_ROUTE_PATH_BYTES, MAX_ROUTES},
    poll_schedule::{DEPLOYMENT_POLLS_PER_SECOND, MIN_POLL_INTERVAL, PollSchedule},
    startup_readiness::{STARTUP_FETCH_TIMEOUT, STARTUP_PEER_COUNT, STARTUP_PEER_WINDOW},
    submit_error::SubmitError,
    version_tracker::{EnforceOutcome, PeerReport, VersionReport, VersionTracker},
    versioned_policy::VersionedPolicy,
};

use {
    crate::jsonc::{DocumentError, DocumentText},
    std::path::Path,
};

/// Reads and checks the policy document in the file at `path`.
///
/// # Errors
/// The file cannot be read, is not in the shape of a policy, or has values out of bounds.
pub fn load(path: &Path) -> Result<PolicyDocument, DocumentError> {
    parse(&DocumentText::read(path)?)
}

/// Reads and checks a policy document from its text.
///
/// # Errors
/// The text is not in the shape of a policy, or has values out of bounds.
pub fn parse(text: &DocumentText) -> Result<PolicyDocument, DocumentError> {
    let document: PolicyDocument = text.parse()?;
    document
        .validate()
        .map_err(|field_errors| text.locate_errors(field_errors))?;
    Ok(document)
}
