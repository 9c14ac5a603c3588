//! The policy document of a deployment: validation, storage, distribution and look-up per call.
//!
//! A [`PolicyDocument`] lists the request classes, the most important first, and the routes that
//! assign a class to each call. [`PolicyDocument::validate`] reports each invalid field;
//! [`ActivePolicy`] is the compiled form that the request path uses.
//!
//! The document is stored in one row of the table service and replaced by compare-and-swap. Each
//! daemon runs a [`PolicyService`], which commits the documents that operators submit, polls the
//! row at a rate shared by all daemons, and fetches the policy from a peer that reports a higher
//! version. [`VersionTracker`] selects the version to enforce and never moves to a lower one.

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
    startup_readiness::{
        STARTUP_FETCH_TIMEOUT, STARTUP_LISTED_PEER_WINDOW, STARTUP_PEER_COUNT, STARTUP_PEER_WINDOW,
    },
    submit_error::SubmitError,
    version_tracker::{EnforceOutcome, PeerReport, VersionReport, VersionTracker},
    versioned_policy::VersionedPolicy,
};

use {
    crate::jsonc::{DocumentError, DocumentText},
    std::path::Path,
};

/// Reads and validates the policy document in the file at `path`.
///
/// # Errors
/// The file cannot be read, does not have the structure of a policy, or has invalid values.
pub fn load(path: &Path) -> Result<PolicyDocument, DocumentError> {
    parse(&DocumentText::read(path)?)
}

/// Parses and validates a policy document.
///
/// # Errors
/// The text does not have the structure of a policy, or has invalid values.
pub fn parse(text: &DocumentText) -> Result<PolicyDocument, DocumentError> {
    let document: PolicyDocument = text.parse()?;
    document
        .validate()
        .map_err(|field_errors| text.locate_errors(field_errors))?;
    Ok(document)
}
