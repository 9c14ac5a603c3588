//! The policy document of a deployment.

mod policy_document;

pub use policy_document::{ClassPolicy, OverloadPolicy, PolicyDocument, RetryPolicy, RoutePolicy};
