//! The policy document of a deployment, from an operator's form to the rule for one call.
//!
//! A [`PolicyDocument`] names the request classes, the most important first, and the routes that
//! give each call its class. [`PolicyDocument::check`] names each field out of its bounds;
//! [`ActivePolicy`] is the compiled form that the request path looks up.
//!
//! The document stands in one row of the table service and is replaced by compare-and-swap. Each
//! daemon runs a [`PolicyService`]: it commits what operators submit, reads the row at a rate that
//! all daemons share, and fetches from a peer that tells a higher version. [`VersionTracker`]
//! decides what is enforced, only ever a higher version.

mod active_policy;
mod class_rule;
mod fetch_plan;
mod field_change;
mod kept_versions;
mod path_form;
mod policy_accepted;
mod policy_actor;
mod policy_check;
mod policy_commit;
mod policy_conflict;
mod policy_document;
mod policy_hash;
mod policy_pack;
mod policy_row;
mod policy_service;
mod policy_source;
mod policy_table;
mod poll_schedule;
mod route_table;
mod start_evidence;
mod submit_error;
mod version_tracker;
mod versioned_policy;

pub use {
    active_policy::ActivePolicy,
    class_rule::ClassRule,
    fetch_plan::PolicyFetch,
    field_change::FieldChange,
    policy_accepted::PolicyAccepted,
    policy_check::{MAX_CLASSES, MAX_METHOD_LENGTH, MAX_ROUTE_PATH_LENGTH, MAX_ROUTES},
    policy_commit::COMMIT_TIMEOUT,
    policy_conflict::PolicyConflict,
    policy_document::{ClassPolicy, OverloadPolicy, PolicyDocument, RetryPolicy, RoutePolicy},
    policy_hash::PolicyHash,
    policy_pack::{MAX_PACK_BYTES, PackError, PolicyPack},
    policy_row::{MAX_ROW_BYTES, POLICY_KEY, POLICY_TABLE},
    policy_service::{PolicyParts, PolicyService},
    policy_source::PolicySource,
    poll_schedule::{MIN_POLL_PERIOD, POLL_READS_PER_SECOND, PollSchedule},
    start_evidence::{START_LISTEN, START_PATIENCE, START_PEERS},
    submit_error::SubmitError,
    version_tracker::{OfferVerdict, PeerReport, VersionReport, VersionTracker},
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
    document.check().map_err(|faults| text.locate(faults))?;
    Ok(document)
}
