use {
    bytes::Bytes,
    http::{
        HeaderValue, Response, StatusCode,
        header::{self, HeaderName},
    },
    maud::{DOCTYPE, Markup, html},
    serde::Serialize,
};

const STYLE: &str = "body{font:15px/1.4 sans-serif;margin:2em;max-width:75em}\
    table{border-collapse:collapse;margin:1em 0}\
    td,th{border:1px solid #bbb;padding:.25em .5em;text-align:left}\
    input{font:inherit}.error{color:#a00;display:block}.clash{background:#fdd}\
    .note{background:#eef;padding:.5em}";

/// Nothing is loaded from elsewhere and no script runs.
const CONTENT_POLICY: &str = "default-src 'none'; style-src 'unsafe-inline'; \
    form-action 'self'; frame-ancestors 'none'; base-uri 'none'";

const SAFETY_HEADERS: [(HeaderName, &str); 4] = [
    (header::CONTENT_SECURITY_POLICY, CONTENT_POLICY),
    (header::X_CONTENT_TYPE_OPTIONS, "nosniff"),
    (header::REFERRER_POLICY, "no-referrer"),
    (header::CACHE_CONTROL, "no-store"),
];

/// A whole page around its content.
pub(super) fn frame(title: &str, content: &Markup) -> Markup {
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width";
                title { (title) }
                style { (STYLE) }
            }
            body {
                nav {
                    a href="/" { "Overview" } " | " a href="/policy" { "Policy" } " | "
                    a href="/events" { "Events" } " | " a href="/metrics" { "Metrics" }
                }
                h1 { (title) }
                (content)
            }
        }
    }
}

pub(super) fn markup(status: StatusCode, page: Markup) -> Response<Bytes> {
    reply(
        status,
        "text/html; charset=utf-8",
        page.into_string().into(),
    )
}

pub(super) fn text(status: StatusCode, body: &str) -> Response<Bytes> {
    let body = Bytes::copy_from_slice(body.as_bytes());
    reply(status, "text/plain; charset=utf-8", body)
}

pub(super) fn json(status: StatusCode, body: &impl Serialize) -> Response<Bytes> {
    match serde_json::to_vec(body) {
        Ok(body) => reply(status, "application/json", body.into()),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &format!("{error}\n")),
    }
}

/// Refuses a method; `allowed` are those that the page has.
pub(super) fn allow_only(allowed: &'static str) -> Response<Bytes> {
    let mut response = text(StatusCode::METHOD_NOT_ALLOWED, "no such method here\n");
    let allowed = HeaderValue::from_static(allowed);
    response.headers_mut().insert(header::ALLOW, allowed);
    response
}

fn reply(status: StatusCode, kind: &'static str, body: Bytes) -> Response<Bytes> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(kind));
    for (name, value) in SAFETY_HEADERS {
        headers.insert(name, HeaderValue::from_static(value));
    }
    response
}
