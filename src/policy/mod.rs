//! The policy document of a deployment, from an operator's form to the rule for one call.
//!
//! A [`PolicyDocument`] names the request classes, the most important first, and the routes that
//! give each call its class. [`PolicyDocument::check`] names each field out of its bounds;
//! [`ActivePolicy`] is the compiled form that the request path looks up.

mod active_policy;
mod class_rule;
mod path_form;
mod policy_check;
mod policy_document;
mod policy_hash;
mod route_table;
mod versioned_policy;

pub use {
    active_policy::ActivePolicy,
    class_rule::ClassRule,
    policy_check::{MAX_CLASSES, MAX_METHOD_LENGTH, MAX_ROUTE_PATH_LENGTH, MAX_ROUTES},
    policy_document::{ClassPolicy, OverloadPolicy, PolicyDocument, RetryPolicy, RoutePolicy},
    policy_hash::PolicyHash,
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
