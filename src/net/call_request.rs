use {
    crate::{
        context::{NameError, ServiceName},
        policy::{ActivePolicy, ClassRule},
    },
    bytes::Bytes,
    http::{HeaderMap, Method, Uri, uri::PathAndQuery},
    thiserror::Error,
};

const MAX_PATH_BYTES: usize = 8 * 1024;

/// A call to a service, with its complete body.
#[derive(Clone, Debug)]
pub(crate) struct CallRequest {
    pub(crate) method: Method,
    pub(crate) service: ServiceName,
    /// Path and query within the service.
    pub(crate) path: PathAndQuery,
    /// End-to-end headers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl CallRequest {
    /// Rule of the policy that applies to the call.
    pub(crate) fn rule<'a>(&self, policy: &'a ActivePolicy) -> &'a ClassRule {
        policy.classify(&self.service, self.method.as_str(), self.path.as_str())
    }
}

/// Error for a path that does not name a service.
#[derive(Debug, Error)]
pub(crate) enum RouteError {
    #[error("path is not /SERVICE/...")]
    NoService,
    #[error("path is longer than {MAX_PATH_BYTES} bytes")]
    TooLong,
    #[error(transparent)]
    Name(#[from] NameError),
}

/// Splits `/service/rest?query` into the service and `/rest?query`.
pub(crate) fn parse_route(uri: &Uri) -> Result<(ServiceName, PathAndQuery), RouteError> {
    let full = uri.path_and_query().ok_or(RouteError::NoService)?.as_str();
    if full.len() > MAX_PATH_BYTES {
        return Err(RouteError::TooLong);
    }
    let after_slash = full.strip_prefix('/').ok_or(RouteError::NoService)?;
    let end = after_slash.find(['/', '?']).unwrap_or(after_slash.len());
    let (name, rest) = after_slash.split_at(end);
    let service = ServiceName::new(name)?;
    let path = if rest.starts_with('/') {
        rest.parse()
    } else {
        format!("/{rest}").parse()
    };
    let path = path.map_err(|_| RouteError::NoService)?;
    Ok((service, path))
}
