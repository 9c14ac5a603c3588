//! The HTTP console for operators: HTML forms, a JSON API, events, metrics and health checks.
//!
//! [`respond`] handles one request with the daemon's state from [`ConsoleState`]; it opens no
//! socket. [`read_and_respond`] first reads the body within its size and time limits;
//! listeners call it.
//!
//! Reads need no token. A write needs the admin token in the form or in an `Authorization` header.
//! The console sets no cookies, so another site cannot write through an operator's browser
//! (cross-site request forgery). The form keeps all its state in its fields: each button posts the
//! whole form, and only the submit button commits a policy.

mod admin_token;
mod body_reader;
mod class_row;
mod console_state;
mod event_query;
mod form_action;
mod form_errors;
mod json_api;
mod overview_page;
mod page_layout;
mod policy_form;
mod policy_page;
mod route_row;

pub use {
    admin_token::AdminToken,
    body_reader::{BODY_TIMEOUT, MAX_BODY_BYTES, read_and_respond},
    class_row::ClassRow,
    console_state::{ConsoleState, DaemonReadiness, LoadView},
    form_action::FormAction,
    json_api::{PolicyProblem, PolicySubmission, PolicyView},
    policy_form::{MAX_FORM_FIELDS, PolicyForm},
    route_row::RouteRow,
};

use {
    bytes::Bytes,
    event_query::EventQuery,
    http::{Method, Request, Response, StatusCode},
    page_layout::{html_response, json_response, method_not_allowed, text_response},
};

/// Handles one request whose body has been read.
pub async fn respond<S: ConsoleState>(state: &S, request: Request<Bytes>) -> Response<Bytes> {
    if request.body().len() > MAX_BODY_BYTES {
        return text_response(StatusCode::PAYLOAD_TOO_LARGE, "request body too large\n");
    }
    let path = request.uri().path().to_owned();
    match (path.as_str(), request.method()) {
        ("/policy", &Method::POST) => policy_page::handle_post(state, &request).await,
        ("/api/policy", &Method::POST) => json_api::handle_submission(state, &request).await,
        ("/policy" | "/api/policy", &Method::GET | &Method::HEAD) => {
            respond_to_read(state, &request)
        }
        ("/policy" | "/api/policy", _) => method_not_allowed("GET, HEAD, POST"),
        (_, &Method::GET | &Method::HEAD) => respond_to_read(state, &request),
        _ => method_not_allowed("GET, HEAD"),
    }
}

fn respond_to_read<S: ConsoleState>(state: &S, request: &Request<Bytes>) -> Response<Bytes> {
    match request.uri().path() {
        "/" => html_response(StatusCode::OK, overview_page::render_overview(state)),
        "/policy" => policy_page::show_policy(state),
        "/api/policy" => json_response(StatusCode::OK, &PolicyView::from_policy(&state.policy())),
        "/api/members" => json_response(StatusCode::OK, &state.members()),
        "/api/load" => json_response(StatusCode::OK, &state.load()),
        "/events" => respond_events(state, request.uri().query()),
        "/metrics" => text_response(StatusCode::OK, &state.metrics()),
        "/health" => text_response(StatusCode::OK, "live\n"),
        "/ready" => respond_readiness(&state.readiness()),
        _ => text_response(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

fn respond_events<S: ConsoleState>(state: &S, query: Option<&str>) -> Response<Bytes> {
    match EventQuery::parse(query.unwrap_or_default()) {
        Ok(query) => json_response(StatusCode::OK, &state.events(query.since, query.limit)),
        Err(error) => text_response(StatusCode::BAD_REQUEST, &format!("{error}\n")),
    }
}

fn respond_readiness(readiness: &DaemonReadiness) -> Response<Bytes> {
    match readiness {
        DaemonReadiness::Ready => text_response(StatusCode::OK, "ready\n"),
        DaemonReadiness::NotReady { reason } => {
            let message = format!("not ready: {reason}\n");
            text_response(StatusCode::SERVICE_UNAVAILABLE, &message)
        }
    }
}
