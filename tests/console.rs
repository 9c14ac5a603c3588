//! Tests of the console with a fake daemon.

#[path = "support/fake_daemon.rs"]
mod fake_daemon;

use {
    banyantrestle::{
        console::{
            ConsoleState, DaemonReadiness, FormAction, MAX_BODY_BYTES, PolicyForm, PolicyProblem,
            PolicyView, respond,
        },
        events::EventKind,
        jsonc::DocumentText,
        policy::parse,
    },
    bytes::Bytes,
    fake_daemon::{ADMIN_TOKEN, FakeDaemon, member_id},
    http::{Method, Request, Response, StatusCode},
    proptest::{collection::vec, prelude::*, test_runner::RngSeed},
    serde_json::json,
};

async fn send(
    daemon: &FakeDaemon,
    method: Method,
    path: &str,
    token: &str,
    body: impl Into<Bytes>,
) -> Response<Bytes> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("authorization", format!("Bearer {token}"))
        .body(body.into())
        .unwrap();
    respond(daemon, request).await
}

async fn get(daemon: &FakeDaemon, path: &str) -> Response<Bytes> {
    send(daemon, Method::GET, path, "", "").await
}

fn text(response: &Response<Bytes>) -> &str {
    std::str::from_utf8(response.body()).unwrap()
}

/// Encodes the fields of a form as a browser posts them.
fn post_body(form: &PolicyForm, action: &str, token: &str) -> String {
    let mut body = form_urlencoded::Serializer::new(String::new());
    body.append_pair("base_version", &form.base_version)
        .append_pair("deployment", &form.deployment)
        .append_pair("default_class", &form.default_class)
        .append_pair("default_unsafe_class", &form.default_unsafe_class)
        .append_pair("retry.per_request", &form.per_request)
        .append_pair("retry.ratio_percent", &form.ratio_percent)
        .append_pair("overload.queue_target_ms", &form.queue_target_ms)
        .append_pair("overload.queue_interval_ms", &form.queue_interval_ms)
        .append_pair("action", action)
        .append_pair("token", token);
    for (position, row) in form.classes.iter().enumerate() {
        body.append_pair(&format!("class.{position}.name"), &row.name)
            .append_pair(&format!("class.{position}.weight"), &row.weight)
            .append_pair(&format!("class.{position}.deadline_ms"), &row.deadline_ms)
            .append_pair(&format!("class.{position}.key_window_s"), &row.key_window_s);
        if row.non_idempotent {
            body.append_pair(&format!("class.{position}.non_idempotent"), "true");
        }
    }
    for (position, row) in form.routes.iter().enumerate() {
        body.append_pair(&format!("route.{position}.service"), &row.service)
            .append_pair(&format!("route.{position}.method"), &row.method)
            .append_pair(&format!("route.{position}.path"), &row.path)
            .append_pair(&format!("route.{position}.class"), &row.class);
    }
    body.finish()
}

async fn post_form(
    daemon: &FakeDaemon,
    form: &PolicyForm,
    action: &str,
    token: &str,
) -> Response<Bytes> {
    send(
        daemon,
        Method::POST,
        "/policy",
        "",
        post_body(form, action, token),
    )
    .await
}

#[tokio::test]
async fn pages_show_the_state_of_the_daemon() {
    let daemon = FakeDaemon::new();
    daemon.events.record(EventKind::MemberJoined {
        member: member_id(),
    });
    for (path, content) in [
        ("/", "akl-a"),
        ("/", "&lt;b&gt;ham"),
        ("/policy", "name=\"class.0.weight\""),
        ("/api/policy", "\"version\":0"),
        ("/api/members", "\"policy_version\":4"),
        ("/events?since=0&limit=5", "\"kind\":\"member-joined\""),
        ("/metrics", "calls_total 7"),
        ("/health", "live"),
        ("/ready", "ready"),
    ] {
        let response = get(&daemon, path).await;
        assert_eq!(response.status(), StatusCode::OK, "{path}");
        assert!(
            text(&response).contains(content),
            "{path}: {}",
            text(&response)
        );
        assert!(!text(&response).contains(ADMIN_TOKEN), "{path}");
        assert!(response.headers().contains_key("content-security-policy"));
    }
}

#[tokio::test]
async fn invalid_requests_get_an_error_status() {
    let mut daemon = FakeDaemon::new();
    daemon.readiness = DaemonReadiness::NotReady {
        reason: "no policy".into(),
    };
    let oversized_body = vec![b'x'; MAX_BODY_BYTES + 1];
    let cases = [
        (Method::GET, "/none", Bytes::new(), StatusCode::NOT_FOUND),
        (
            Method::DELETE,
            "/policy",
            Bytes::new(),
            StatusCode::METHOD_NOT_ALLOWED,
        ),
        (
            Method::POST,
            "/events",
            Bytes::new(),
            StatusCode::METHOD_NOT_ALLOWED,
        ),
        (
            Method::GET,
            "/events?since=x",
            Bytes::new(),
            StatusCode::BAD_REQUEST,
        ),
        (
            Method::GET,
            "/events?until=1",
            Bytes::new(),
            StatusCode::BAD_REQUEST,
        ),
        (
            Method::POST,
            "/policy",
            Bytes::from("action=frob"),
            StatusCode::BAD_REQUEST,
        ),
        (
            Method::POST,
            "/policy",
            oversized_body.into(),
            StatusCode::PAYLOAD_TOO_LARGE,
        ),
        (
            Method::POST,
            "/api/policy",
            Bytes::from("{"),
            StatusCode::BAD_REQUEST,
        ),
        (
            Method::GET,
            "/ready",
            Bytes::new(),
            StatusCode::SERVICE_UNAVAILABLE,
        ),
    ];
    for (method, path, body, status) in cases {
        let response = send(&daemon, method, path, ADMIN_TOKEN, body).await;
        assert_eq!(response.status(), status, "{path}");
    }
}

#[tokio::test]
async fn writes_require_the_admin_token() {
    let daemon = FakeDaemon::new();
    let form = PolicyForm::from_policy(&daemon.policy());
    let document = &daemon.policy().document.clone();
    let body = json!({ "base_version": 0, "document": document }).to_string();
    for wrong_token in ["", "the-admin-token-2", "the-admin-token-1x"] {
        let response = post_form(&daemon, &form, "submit", wrong_token).await;
        assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
        let path = "/api/policy";
        let response = send(&daemon, Method::POST, path, wrong_token, body.clone()).await;
        assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
    }
    assert_eq!(daemon.policy().version, 0);
    let response = send(&daemon, Method::POST, "/api/policy", ADMIN_TOKEN, body).await;
    assert_eq!(response.status(), StatusCode::OK, "{}", text(&response));
    let response = get(&daemon, "/api/policy").await;
    let view: PolicyView = serde_json::from_slice(response.body()).unwrap();
    assert_eq!(view.version, 1);
}

#[tokio::test]
async fn row_buttons_leave_the_active_policy_unchanged() {
    let daemon = FakeDaemon::new();
    let mut form = PolicyForm::from_policy(&daemon.policy());
    form.classes[0].weight = "typed".into();
    for (action, content) in [
        ("add-class", "class.2.name"),
        ("add-route", "route.0.service"),
        ("class.1.up", "name=\"class.1.weight\" value=\"typed\""),
        ("class.0.down", "name=\"class.1.weight\" value=\"typed\""),
        ("class.1.remove", "name=\"class.0.weight\" value=\"typed\""),
        ("class.9.remove", "name=\"class.0.weight\" value=\"typed\""),
    ] {
        let response = post_form(&daemon, &form, action, ADMIN_TOKEN).await;
        assert_eq!(response.status(), StatusCode::OK, "{action}");
        assert!(
            text(&response).contains(content),
            "{action}: {}",
            text(&response)
        );
        assert!(
            !text(&response).contains(ADMIN_TOKEN),
            "the token is not shown again"
        );
    }
    assert_eq!(daemon.policy().version, 0);
}

#[tokio::test]
async fn form_round_trip_keeps_the_document() {
    let daemon = FakeDaemon::new();
    let kereru = include_str!("../examples/policy/kereru.jsonc");
    let source = DocumentText::new("kereru", kereru.as_bytes()).unwrap();
    let document = parse(&source).unwrap();
    daemon.set_policy(3, document.clone());
    let form = PolicyForm::from_policy(&daemon.policy());
    assert_eq!(form.to_document().unwrap(), document);
    let response = post_form(&daemon, &form, "submit", ADMIN_TOKEN).await;
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(daemon.policy().version, 4);
    assert_eq!(daemon.policy().document, document);
}

#[tokio::test]
async fn errors_appear_next_to_their_fields() {
    let daemon = FakeDaemon::new();
    let form = PolicyForm::from_policy(&daemon.policy());
    for (weight, message) in [("x", "not a whole number"), ("0", "0 is not 1 to 1000")] {
        let mut form = form.clone();
        form.classes[0].weight = weight.into();
        let response = post_form(&daemon, &form, "submit", ADMIN_TOKEN).await;
        assert_eq!(response.status(), StatusCode::UNPROCESSABLE_ENTITY);
        let field =
            format!("name=\"class.0.weight\" value=\"{weight}\"><span class=\"error\">{message}");
        assert!(text(&response).contains(&field), "{}", text(&response));
    }
}

#[tokio::test]
async fn conflict_keeps_the_input_and_shows_the_changes() {
    let daemon = FakeDaemon::new();
    let mut submitted_form = PolicyForm::from_policy(&daemon.policy());
    submitted_form.classes[0].weight = "77".into();
    let mut other_document = daemon.policy().document.clone();
    other_document.classes[0].weight = 55;
    daemon.set_policy(1, other_document);
    let response = post_form(&daemon, &submitted_form, "submit", ADMIN_TOKEN).await;
    assert_eq!(response.status(), StatusCode::CONFLICT);
    let page = text(&response);
    for content in [
        "<td>classes[write].weight</td>",
        "<td>55</td><td>77</td>",
        "name=\"class.0.weight\" value=\"77\"",
        "name=\"base_version\" value=\"1\"",
    ] {
        assert!(page.contains(content), "{content}: {page}");
    }
    submitted_form.base_version = "1".into();
    let response = post_form(&daemon, &submitted_form, "submit", ADMIN_TOKEN).await;
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(daemon.policy().document.classes[0].weight, 77);
}

#[tokio::test]
async fn outage_is_reported_and_the_input_is_kept() {
    let mut daemon = FakeDaemon::new();
    daemon.is_table_unavailable = true;
    let mut form = PolicyForm::from_policy(&daemon.policy());
    form.classes[0].weight = "77".into();
    let response = post_form(&daemon, &form, "submit", ADMIN_TOKEN).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(text(&response).contains("value=\"77\""));
    assert!(text(&response).contains("nothing was committed: read-table with table policy"));
    let body = json!({ "base_version": 0, "document": daemon.policy().document }).to_string();
    let response = send(&daemon, Method::POST, "/api/policy", ADMIN_TOKEN, body).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers().contains_key("retry-after"));
    let problem: PolicyProblem = serde_json::from_slice(response.body()).unwrap();
    assert_eq!(problem.status, 503);
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(75),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_forms_are_decoded_without_panic(
        fields in vec(("(class|route|x)\\.[0-9]{1,6}\\.(name|weight|path|method)", ".{0,9}"), 0..9),
        raw_body in vec(any::<u8>(), 0..200),
        action in ".{0,20}",
    ) {
        let mut body = form_urlencoded::Serializer::new(String::new());
        for (name, value) in &fields {
            body.append_pair(name, value);
        }
        for body in [body.finish().into_bytes(), raw_body] {
            let mut form = PolicyForm::decode(&body);
            if let Some(action) = FormAction::parse(&action) {
                action.apply(&mut form);
            }
            prop_assert!(form.classes.len() <= 32 && form.routes.len() <= 2_000);
            let _ = form.to_document();
        }
    }
}
