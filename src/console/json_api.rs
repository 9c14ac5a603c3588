use {
    super::{ConsoleState, page_layout::json_response},
    crate::{
        jsonc::{DocumentError, DocumentText, FieldError},
        policy::{ActivePolicy, PolicyConflict, PolicyDocument, PolicyHash, SubmitError},
    },
    bytes::Bytes,
    http::{HeaderValue, Request, Response, StatusCode, header},
    serde::{Deserialize, Serialize},
};

/// `Retry-After` header of a response with status 503, in seconds; nothing was committed.
const RETRY_AFTER_S: &str = "2";

/// The policy in force on a daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyView {
    pub version: u64,
    pub hash: PolicyHash,
    pub document: PolicyDocument,
}

/// A submitted document with the version that it was edited from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PolicySubmission {
    pub base_version: u64,
    pub document: PolicyDocument,
}

/// Problem details (`application/problem+json`) of a rejected submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicyProblem {
    pub title: String,
    pub status: u16,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub errors: Vec<FieldError>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<Box<PolicyConflict>>,
}

impl PolicyView {
    #[must_use]
    pub fn from_policy(policy: &ActivePolicy) -> Self {
        Self {
            version: policy.version,
            hash: policy.hash,
            document: policy.document.clone(),
        }
    }
}

impl PolicyProblem {
    fn new(status: StatusCode, title: impl Into<String>) -> Self {
        Self {
            title: title.into(),
            status: status.as_u16(),
            errors: Vec::new(),
            conflict: None,
        }
    }

    fn from_error(error: SubmitError) -> Self {
        let title = error.to_string();
        let status = match &error {
            SubmitError::Invalid(_) => StatusCode::UNPROCESSABLE_ENTITY,
            SubmitError::Conflict(_) => StatusCode::CONFLICT,
            SubmitError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            SubmitError::OutcomeUnknown { .. } | SubmitError::Stopped => {
                StatusCode::GATEWAY_TIMEOUT
            }
        };
        let problem = Self::new(status, title);
        match error {
            SubmitError::Invalid(errors) => Self { errors, ..problem },
            SubmitError::Conflict(conflict) => Self {
                conflict: Some(conflict),
                ..problem
            },
            _ => problem,
        }
    }

    fn into_response(self) -> Response<Bytes> {
        let status = StatusCode::from_u16(self.status).unwrap_or_default();
        let mut response = json_response(status, &self);
        let headers = response.headers_mut();
        let content_type = HeaderValue::from_static("application/problem+json");
        headers.insert(header::CONTENT_TYPE, content_type);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            let retry_after = HeaderValue::from_static(RETRY_AFTER_S);
            headers.insert(header::RETRY_AFTER, retry_after);
        }
        response
    }
}

/// Handles a submission; the admin token must be in the `Authorization` header.
pub(super) async fn handle_submission<S: ConsoleState>(
    state: &S,
    request: &Request<Bytes>,
) -> Response<Bytes> {
    if !state.admin_token().is_in_headers(request.headers()) {
        let status = StatusCode::UNAUTHORIZED;
        let problem = PolicyProblem::new(status, "the admin token is missing or wrong");
        let mut response = problem.into_response();
        let scheme = HeaderValue::from_static("Bearer");
        response
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, scheme);
        return response;
    }
    let submission = match parse_submission(request.body()) {
        Ok(submission) => submission,
        Err(error) => {
            let problem = PolicyProblem::new(StatusCode::BAD_REQUEST, error.to_string());
            return problem.into_response();
        }
    };
    let result = state.submit_policy(submission.document, submission.base_version);
    match result.await {
        Ok(accepted) => json_response(StatusCode::OK, &accepted),
        Err(error) => PolicyProblem::from_error(error).into_response(),
    }
}

fn parse_submission(body: &[u8]) -> Result<PolicySubmission, DocumentError> {
    DocumentText::new("body", body)?.parse()
}
