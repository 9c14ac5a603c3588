use {
    super::{
        HeaderNames, HopContext, HopFormat,
        account_gate::PROOF_HEADER,
        attempt_report::{ATTEMPT_FAILURE_HEADER, ONLY_PEER_HEADER},
        failure_cause::CAUSE_HEADER,
        hop_context::HOP_CONTEXT_HEADER,
        load_header::LOAD_HEADER,
        pressure_report::PRESSURE_HEADER,
        target_incarnation::LEAVING_HEADER,
        tree_cost::TREE_COST_HEADER,
    },
    crate::{
        net::{SegmentedBody, remove_hop_by_hop_headers},
        time::{ClockReading, TimePoint},
    },
    http::{
        HeaderMap, HeaderName, HeaderValue, Method, Request, Uri,
        header::{CONTENT_LENGTH, EXPECT, HOST},
        request::Parts,
        uri::Authority,
    },
};

/// Headers that are exchanged between sidecars only.
const SIDECAR_HEADERS: [&str; 9] = [
    HOP_CONTEXT_HEADER,
    TREE_COST_HEADER,
    LOAD_HEADER,
    ATTEMPT_FAILURE_HEADER,
    PRESSURE_HEADER,
    CAUSE_HEADER,
    LEAVING_HEADER,
    ONLY_PEER_HEADER,
    PROOF_HEADER,
];

/// A request that is forwarded to a target.
#[derive(Clone, Debug)]
pub(crate) struct ForwardedCall {
    /// Request id that the caller sent; empty if it sent none.
    pub(crate) id: String,
    pub(crate) method: Method,
    /// Host in the form that the caller sent.
    pub(crate) host: String,
    /// Path and query in the form that the caller sent.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: SegmentedBody,
}

impl ForwardedCall {
    /// Copies the end-to-end headers of a request and drops the hop-by-hop ones.
    pub(crate) fn new(head: Parts, body: SegmentedBody, names: &HeaderNames) -> Self {
        let host = request_host(&head).to_owned();
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let path = path.to_owned();
        let mut headers = head.headers;
        let id = header_text(&headers, &names.request_id).unwrap_or_default();
        let id = id.to_owned();
        remove_hop_by_hop_headers(&mut headers);
        for name in [&HOST, &CONTENT_LENGTH, &EXPECT, &names.account] {
            headers.remove(name);
        }
        remove_sidecar_headers(&mut headers);
        Self {
            id,
            method: head.method,
            host,
            path,
            headers: copy_headers(&headers, names),
            body,
        }
    }

    /// Removes the key of the caller's account, which no other process is shown.
    pub(crate) fn remove_credential(&mut self, names: &HeaderNames) {
        self.headers.remove(&names.credential);
    }

    /// Builds the request to a peer sidecar.
    pub(crate) fn to_peer_request(
        &self,
        context: &HopContext,
        sent: ClockReading,
        format: HopFormat,
    ) -> Result<Request<SegmentedBody>, http::Error> {
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.host.as_str())
            .path_and_query(self.path.as_str())
            .build()?;
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = self.headers.clone();
        let mut context = HeaderValue::try_from(context.encode(sent, format))?;
        context.set_sensitive(true);
        request.headers_mut().insert(HOP_CONTEXT_HEADER, context);
        Ok(request)
    }

    /// Builds the request to the local target.
    pub(crate) fn to_target_request(
        &self,
        context: &HopContext,
        instance: &str,
        names: &HeaderNames,
        now: TimePoint,
    ) -> Result<Request<SegmentedBody>, http::Error> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::try_from(self.path.as_str())?;
        let headers = request.headers_mut();
        headers.clone_from(&self.headers);
        headers.insert(HOST, HeaderValue::from_str(&self.host)?);
        let remaining_ms =
            u64::try_from(now.until(context.deadline).as_millis()).unwrap_or(u64::MAX);
        headers.insert(&names.deadline_ms, remaining_ms.into());
        headers.insert(&names.expected_instance, HeaderValue::from_str(instance)?);
        let caller = HeaderValue::from_str(context.caller.as_str())?;
        headers.insert(&names.caller_service, caller);
        if let Some(account) = context.account.as_ref().filter(|_| context.depth == 0) {
            let account = HeaderValue::from_bytes(account.as_bytes())?;
            headers.insert(&names.account, account);
        }
        Ok(request)
    }
}

/// Removes the headers that are exchanged between sidecars only.
pub(crate) fn remove_sidecar_headers(headers: &mut HeaderMap) {
    for name in SIDECAR_HEADERS {
        headers.remove(name);
    }
}

/// Copies headers so that they can enter the HPACK tables of connections between sidecars.
///
/// A value that was read from a connection is a view into its read buffer, and a table entry would
/// keep that buffer alive. Values that differ from call to call are marked sensitive, which keeps
/// them out of the tables.
pub(crate) fn copy_headers(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut copied = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if let Ok(mut copy) = HeaderValue::from_bytes(value.as_bytes()) {
            copy.set_sensitive(names.varies_per_call(name));
            copied.append(name, copy);
        }
    }
    copied
}

/// Host of a request, from its URI or its `Host` header.
pub(crate) fn request_host(head: &Parts) -> &str {
    let authority = head.uri.authority().map(Authority::as_str);
    let from_header = || header_text(&head.headers, &HOST);
    authority.or_else(from_header).unwrap_or_default()
}

pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
