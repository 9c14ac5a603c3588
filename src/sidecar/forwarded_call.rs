use {
    super::{
        HeaderNames, HopContext, failure_cause::TROUBLE_HEADER, hop_context::HOP_HEADER,
        hop_outcome::OUTCOME_HEADER, load_header::LOAD_HEADER, pressure_report::RUMOUR_HEADER,
        tree_cost::TREE_HEADER,
    },
    crate::{net::remove_hop_by_hop_headers, time::TimePoint},
    bytes::Bytes,
    http::{
        HeaderMap, HeaderName, HeaderValue, Method, Request, Uri,
        header::{CONTENT_LENGTH, EXPECT, HOST},
        request::Parts,
        uri::Authority,
    },
    http_body_util::Full,
};

/// Headers that only sidecars set.
const OWN_HEADERS: [&str; 6] = [
    HOP_HEADER,
    TREE_HEADER,
    LOAD_HEADER,
    OUTCOME_HEADER,
    RUMOUR_HEADER,
    TROUBLE_HEADER,
];

/// A request on its way to a target.
#[derive(Clone, Debug)]
pub(crate) struct ForwardedCall {
    pub(crate) id: String,
    pub(crate) method: Method,
    /// Host as the caller named it.
    pub(crate) host: String,
    /// Path and query as the caller sent them.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl ForwardedCall {
    /// Takes the head of a request; what concerns one connection only is left behind.
    pub(crate) fn new(head: Parts, body: Bytes, names: &HeaderNames) -> Self {
        let host = request_host(&head).to_owned();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let path = path.to_owned();
        let mut headers = head.headers;
        let id = header_text(&headers, &names.request_id).unwrap_or_default();
        let id = id.to_owned();
        remove_hop_by_hop_headers(&mut headers);
        for name in [HOST, CONTENT_LENGTH, EXPECT] {
            headers.remove(name);
        }
        remove_hop_notes(&mut headers);
        Self {
            id,
            method: head.method,
            host,
            path,
            headers: detach_headers(&headers, names),
            body,
        }
    }

    /// The call to another sidecar.
    pub(crate) fn to_hop(
        &self,
        context: &HopContext,
        now: TimePoint,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.host.as_str())
            .path_and_query(self.path.as_str())
            .build()?;
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = self.headers.clone();
        let mut context = HeaderValue::try_from(context.encode(now))?;
        context.set_sensitive(true);
        request.headers_mut().insert(HOP_HEADER, context);
        Ok(request)
    }

    /// The call to the target beside this sidecar.
    pub(crate) fn to_target(
        &self,
        context: &HopContext,
        instance: &str,
        names: &HeaderNames,
        now: TimePoint,
    ) -> Result<Request<Full<Bytes>>, http::Error> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::try_from(self.path.as_str())?;
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        headers.insert(HOST, HeaderValue::from_str(&self.host)?);
        let left = u64::try_from(now.until(context.deadline).as_millis()).unwrap_or(u64::MAX);
        headers.insert(&names.deadline_ms, left.into());
        headers.insert(&names.expected_instance, HeaderValue::from_str(instance)?);
        let caller = HeaderValue::from_str(context.caller.as_str())?;
        headers.insert(&names.caller_service, caller);
        Ok(request)
    }
}

/// Removes what only sidecars may say to each other.
pub(crate) fn remove_hop_notes(headers: &mut HeaderMap) {
    for name in OWN_HEADERS {
        headers.remove(name);
    }
}

/// Copies headers, so that they can be kept in the header tables of connections between sidecars.
///
/// A value that was read from a connection is a view of the buffer that it came in; a table entry
/// would hold that buffer. Values that differ from call to call are kept out of the tables.
pub(crate) fn detach_headers(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut detached = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if let Ok(mut copy) = HeaderValue::from_bytes(value.as_bytes()) {
            copy.set_sensitive(names.is_per_call(name));
            detached.append(name, copy);
        }
    }
    detached
}

/// Host that a request names, by its target or by its header.
pub(crate) fn request_host(head: &Parts) -> &str {
    let authority = head.uri.authority().map(Authority::as_str);
    let named = || header_text(&head.headers, &HOST);
    authority.or_else(named).unwrap_or_default()
}

pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
