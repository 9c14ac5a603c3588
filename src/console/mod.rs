//! The operators' console: plain HTML forms, a JSON interface, events, metrics and health.
//!
//! [`respond`] answers one request over what the daemon shows through [`ConsoleState`]; it opens
//! no socket. [`answer`] reads the body first, within its bounds, for a listener to call.
//!
//! Reads are open to whoever reaches the listener. A write needs the admin token in the form or in
//! an `Authorization` header; there are no cookies, so no other site can write through a browser.
//! The form keeps all its state in its fields: each button posts the whole form, and only the
//! submit button writes.

mod admin_token;
mod class_row;
mod console_answer;
mod console_state;
mod event_query;
mod form_action;
mod form_errors;
mod json_api;
mod overview_page;
mod page_frame;
mod policy_form;
mod policy_page;
mod route_row;

pub use {
    admin_token::AdminToken,
    class_row::ClassRow,
    console_answer::{BODY_TIMEOUT, MAX_BODY_BYTES, answer},
    console_state::{ConsoleState, LoadView, ReadyView},
    form_action::FormAction,
    json_api::{PolicyProblem, PolicySubmission, PolicyView},
    policy_form::{MAX_FORM_FIELDS, PolicyForm},
    route_row::RouteRow,
};

use {
    bytes::Bytes,
    event_query::EventQuery,
    http::{Method, Request, Response, StatusCode},
    page_frame::{allow_only, json, markup, text},
};

/// Answers one request of an operator.
pub async fn respond<S: ConsoleState>(state: &S, request: Request<Bytes>) -> Response<Bytes> {
    if request.body().len() > MAX_BODY_BYTES {
        return text(StatusCode::PAYLOAD_TOO_LARGE, "body too long\n");
    }
    let path = request.uri().path().to_owned();
    match (path.as_str(), request.method()) {
        ("/policy", &Method::POST) => policy_page::post(state, &request).await,
        ("/api/policy", &Method::POST) => json_api::submit(state, &request).await,
        ("/policy" | "/api/policy", &Method::GET | &Method::HEAD) => read(state, &request),
        ("/policy" | "/api/policy", _) => allow_only("GET, HEAD, POST"),
        (_, &Method::GET | &Method::HEAD) => read(state, &request),
        _ => allow_only("GET, HEAD"),
    }
}

fn read<S: ConsoleState>(state: &S, request: &Request<Bytes>) -> Response<Bytes> {
    match request.uri().path() {
        "/" => markup(StatusCode::OK, overview_page::render(state)),
        "/policy" => policy_page::show(state),
        "/api/policy" => json(StatusCode::OK, &PolicyView::of(&state.policy())),
        "/api/members" => json(StatusCode::OK, &state.members()),
        "/api/load" => json(StatusCode::OK, &state.load()),
        "/events" => events(state, request.uri().query()),
        "/metrics" => text(StatusCode::OK, &state.metrics()),
        "/health" => text(StatusCode::OK, "live\n"),
        "/ready" => readiness(&state.ready()),
        _ => text(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

fn events<S: ConsoleState>(state: &S, query: Option<&str>) -> Response<Bytes> {
    match EventQuery::parse(query.unwrap_or_default()) {
        Ok(query) => json(StatusCode::OK, &state.events(query.since, query.limit)),
        Err(error) => text(StatusCode::BAD_REQUEST, &format!("{error}\n")),
    }
}

fn readiness(ready: &ReadyView) -> Response<Bytes> {
    match ready {
        ReadyView::Ready => text(StatusCode::OK, "ready\n"),
        ReadyView::NotReady { reason } => {
            let message = format!("not ready: {reason}\n");
            text(StatusCode::SERVICE_UNAVAILABLE, &message)
        }
    }
}
