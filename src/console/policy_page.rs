use {
    super::{
        ClassRow, ConsoleState, FormAction, PolicyForm, RouteRow,
        form_errors::FormErrors,
        page_frame::{frame, markup, text},
    },
    crate::policy::{AcceptedPolicy, FieldChange, PolicyConflict, SubmitError},
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    maud::{Markup, html},
};

/// The form with the policy in force.
pub(super) fn show<S: ConsoleState>(state: &S) -> Response<Bytes> {
    let form = PolicyForm::of(&state.policy());
    page(StatusCode::OK, &form, &FormErrors::default(), &html! {})
}

/// Carries out a button of the form.
pub(super) async fn post<S: ConsoleState>(state: &S, request: &Request<Bytes>) -> Response<Bytes> {
    let mut form = PolicyForm::decode(request.body());
    match FormAction::parse(&form.action) {
        Some(FormAction::Submit) => submit(state, request, form).await,
        Some(action) => {
            action.apply(&mut form);
            page(StatusCode::OK, &form, &FormErrors::default(), &html! {})
        }
        None => text(StatusCode::BAD_REQUEST, "no such button\n"),
    }
}

async fn submit<S: ConsoleState>(
    state: &S,
    request: &Request<Bytes>,
    form: PolicyForm,
) -> Response<Bytes> {
    let token = state.token();
    if !token.is_match(&form.token) && !token.is_in(request.headers()) {
        let note = html! { p class="error" { "The admin token is missing or wrong." } };
        return page(
            StatusCode::UNAUTHORIZED,
            &form,
            &FormErrors::default(),
            &note,
        );
    }
    let Ok(base) = form.base_version.parse() else {
        return text(StatusCode::BAD_REQUEST, "base_version is not a version\n");
    };
    let document = match form.to_document() {
        Ok(document) => document,
        Err(errors) => return invalid(&form, &FormErrors::new(errors)),
    };
    match state.submit(document, base).await {
        Ok(accepted) => accept(state, accepted),
        Err(error) => refuse(form, error),
    }
}

fn accept<S: ConsoleState>(state: &S, accepted: AcceptedPolicy) -> Response<Bytes> {
    let form = PolicyForm::of(&state.policy());
    let note = html! {
        p class="note" {
            "Version " (accepted.version) " is accepted, hash " code { (accepted.hash) }
            ". The overview shows how many daemons enforce it."
        }
    };
    page(StatusCode::OK, &form, &FormErrors::default(), &note)
}

fn refuse(form: PolicyForm, error: SubmitError) -> Response<Bytes> {
    match error {
        SubmitError::Invalid(errors) => invalid(&form, &FormErrors::new(errors)),
        SubmitError::Conflict(conflict) => show_conflict(form, &conflict),
        SubmitError::Unavailable(_) => trouble(StatusCode::SERVICE_UNAVAILABLE, &form, &error),
        SubmitError::OutcomeUnknown { .. } | SubmitError::Stopped => {
            trouble(StatusCode::GATEWAY_TIMEOUT, &form, &error)
        }
    }
}

fn trouble(status: StatusCode, form: &PolicyForm, error: &SubmitError) -> Response<Bytes> {
    let note = html! { p class="error" { (error) } };
    page(status, form, &FormErrors::default(), &note)
}

fn invalid(form: &PolicyForm, errors: &FormErrors) -> Response<Bytes> {
    let note = html! { p class="error" { "Not submitted: " (errors.len()) " errors." } };
    page(StatusCode::UNPROCESSABLE_ENTITY, form, errors, &note)
}

/// Keeps the operator's input, now on top of the version that stands.
fn show_conflict(mut form: PolicyForm, conflict: &PolicyConflict) -> Response<Bytes> {
    let current = conflict.current.version;
    form.base_version = current.to_string();
    let note = html! {
        p class="error" {
            "Not submitted: version " (current) " was accepted since version "
            (conflict.base_version) ", which this form was made from."
        }
        (change_table(conflict.base_version, current, &conflict.changes))
        p {
            "The form below holds your input. To keep what version " (current)
            " changed, copy it into the form, then submit. To drop your input, "
            a href="/policy" { "open version " (current) } "."
        }
    };
    page(StatusCode::CONFLICT, &form, &FormErrors::default(), &note)
}

fn change_table(base: u64, current: u64, changes: &[FieldChange]) -> Markup {
    let shown = |value: &Option<String>| value.clone().unwrap_or_else(|| "(none)".into());
    html! {
        table {
            tr {
                th { "Field" } th { "Version " (base) } th { "Version " (current) }
                th { "Your input" }
            }
            @for change in changes {
                tr class=[change.is_conflict().then_some("clash")] {
                    td { (change.field) }
                    td { (shown(&change.base)) }
                    td { (shown(&change.current)) }
                    td { (shown(&change.mine)) }
                }
            }
        }
    }
}

fn page(
    status: StatusCode,
    form: &PolicyForm,
    errors: &FormErrors,
    note: &Markup,
) -> Response<Bytes> {
    let content = html! {
        (note)
        form method="post" action="/policy" {
            input type="hidden" name="base_version" value=(form.base_version);
            // The first button of a form is the one that the Enter key presses.
            (submit_row(form))
            (general(form, errors))
            (class_table(form, errors))
            (route_table(form, errors))
        }
    };
    markup(status, frame("Policy", &content))
}

fn submit_row(form: &PolicyForm) -> Markup {
    html! {
        p {
            "Made from version " (form.base_version) ". "
            label { "Admin token " input type="password" name="token" autocomplete="off"; }
            " " button name="action" value="submit" { "Submit" }
        }
    }
}

fn general(form: &PolicyForm, errors: &FormErrors) -> Markup {
    let fields = [
        ("deployment", "Deployment", &form.deployment),
        (
            "default_class",
            "Class of calls without a route",
            &form.default_class,
        ),
        (
            "default_unsafe_class",
            "Class of such calls with a method other than GET, HEAD, OPTIONS, TRACE",
            &form.default_unsafe_class,
        ),
        (
            "retry.per_request",
            "Retries of one request",
            &form.per_request,
        ),
        (
            "retry.ratio_percent",
            "Retries to a service, % of calls",
            &form.ratio_percent,
        ),
        (
            "overload.queue_target_ms",
            "Queue delay target, ms",
            &form.queue_target_ms,
        ),
        (
            "overload.queue_interval_ms",
            "Queue delay interval, ms",
            &form.queue_interval_ms,
        ),
    ];
    html! {
        table {
            @for (name, label, value) in fields {
                tr { th { (label) } td { (input(name, value)) (errors.beside(name)) } }
            }
        }
    }
}

fn class_table(form: &PolicyForm, errors: &FormErrors) -> Markup {
    html! {
        h2 { "Classes, the most important first" }
        (errors.beside("classes"))
        table {
            tr {
                th { "Name" } th { "Weight" } th { "Deadline, ms" } th { "Non-idempotent" }
                th { "Key window, s" } th {}
            }
            @for (position, row) in form.classes.iter().enumerate() {
                (class_row(position, row, errors))
            }
        }
        button name="action" value="add-class" { "Add a class" }
    }
}

fn class_row(position: usize, row: &ClassRow, errors: &FormErrors) -> Markup {
    let name = |field: &str| format!("class.{position}.{field}");
    let beside = |field: &str| errors.beside(&format!("classes[{position}].{field}"));
    html! {
        tr {
            td { (input(&name("name"), &row.name)) (beside("name")) }
            td { (input(&name("weight"), &row.weight)) (beside("weight")) }
            td { (input(&name("deadline_ms"), &row.deadline_ms)) (beside("deadline_ms")) }
            td {
                input type="checkbox" name=(name("non_idempotent")) value="true"
                    checked[row.non_idempotent];
            }
            td { (input(&name("key_window_s"), &row.key_window_s)) (beside("key_window_s")) }
            td { (row_buttons("class", position)) }
        }
    }
}

fn route_table(form: &PolicyForm, errors: &FormErrors) -> Markup {
    html! {
        h2 { "Routes, the first that matches counts" }
        (errors.beside("routes"))
        table {
            tr { th { "Service" } th { "Method" } th { "Path prefix" } th { "Class" } th {} }
            @for (position, row) in form.routes.iter().enumerate() {
                (route_row(position, row, errors))
            }
        }
        button name="action" value="add-route" { "Add a route" }
    }
}

fn route_row(position: usize, row: &RouteRow, errors: &FormErrors) -> Markup {
    let fields = [
        ("service", &row.service),
        ("method", &row.method),
        ("path", &row.path),
        ("class", &row.class),
    ];
    html! {
        tr {
            @for (field, value) in fields {
                td {
                    (input(&format!("route.{position}.{field}"), value))
                    (errors.beside(&format!("routes[{position}].{field}")))
                }
            }
            td { (row_buttons("route", position)) }
        }
    }
}

fn row_buttons(table: &str, position: usize) -> Markup {
    let value = |verb: &str| format!("{table}.{position}.{verb}");
    html! {
        button name="action" value=(value("up")) { "Up" }
        button name="action" value=(value("down")) { "Down" }
        button name="action" value=(value("remove")) { "Remove" }
    }
}

fn input(name: &str, value: &str) -> Markup {
    html! { input name=(name) value=(value); }
}
