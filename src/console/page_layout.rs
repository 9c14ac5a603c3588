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

/// Forbids scripts and the loading of resources; allows inline styles and forms to this origin.
const CONTENT_SECURITY_POLICY: &str = "default-src 'none'; style-src 'unsafe-inline'; \
    form-action 'self'; frame-ancestors 'none'; base-uri 'none'";

const SECURITY_HEADERS: [(HeaderName, &str); 4] = [
    (header::CONTENT_SECURITY_POLICY, CONTENT_SECURITY_POLICY),
    (header::X_CONTENT_TYPE_OPTIONS, "nosniff"),
    (header::REFERRER_POLICY, "no-referrer"),
    (header::CACHE_CONTROL, "no-store"),
];

/// Renders a complete page with navigation around its content.
pub(super) fn render_page(title: &str, content: &Markup) -> Markup {
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

pub(super) fn html_response(status: StatusCode, page: Markup) -> Response<Bytes> {
    build_response(
        status,
        "text/html; charset=utf-8",
        page.into_string().into(),
    )
}

pub(super) fn text_response(status: StatusCode, body: &str) -> Response<Bytes> {
    let body = Bytes::copy_from_slice(body.as_bytes());
    build_response(status, "text/plain; charset=utf-8", body)
}

pub(super) fn json_response(status: StatusCode, body: &impl Serialize) -> Response<Bytes> {
    match serde_json::to_vec(body) {
        Ok(body) => build_response(status, "application/json", body.into()),
        Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &format!("{error}\n")),
    }
}

/// Responds with status 405; `allowed` becomes the `Allow` header.
pub(super) fn method_not_allowed(allowed: &'static str) -> Response<Bytes> {
    let mut response = text_response(
        StatusCode::METHOD_NOT_ALLOWED,
        "method not allowed for this path\n",
    );
    let allowed = HeaderValue::from_static(allowed);
    response.headers_mut().insert(header::ALLOW, allowed);
    response
}

fn build_response(status: StatusCode, content_type: &'static str, body: Bytes) -> Response<Bytes> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    for (name, value) in SECURITY_HEADERS {
        headers.insert(name, HeaderValue::from_static(value));
    }
    response
}
