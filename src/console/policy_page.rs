use {
    super::{
        ClassRow, ConsoleState, FormAction, PolicyForm, RouteRow,
        form_errors::FormErrors,
        page_layout::{html_response, render_page, text_response},
    },
    crate::policy::{AcceptedPolicy, FieldChange, PolicyConflict, SubmitError},
    bytes::Bytes,
    http::{Request, Response, StatusCode},
    maud::{Markup, html},
};

/// Shows the form with the policy in force.
pub(super) fn show_policy<S: ConsoleState>(state: &S) -> Response<Bytes> {
    let form = PolicyForm::from_policy(&state.policy());
    form_page(StatusCode::OK, &form, &FormErrors::default(), &html! {})
}

/// Performs the action of the pressed button.
pub(super) async fn handle_post<S: ConsoleState>(
    state: &S,
    request: &Request<Bytes>,
) -> Response<Bytes> {
    let mut form = PolicyForm::decode(request.body());
    match FormAction::parse(&form.action) {
        Some(FormAction::Submit) => submit_form(state, request, form).await,
        Some(action) => {
            action.apply(&mut form);
            form_page(StatusCode::OK, &form, &FormErrors::default(), &html! {})
        }
        None => text_response(StatusCode::BAD_REQUEST, "unknown form action\n"),
    }
}

async fn submit_form<S: ConsoleState>(
    state: &S,
    request: &Request<Bytes>,
    form: PolicyForm,
) -> Response<Bytes> {
    let token = state.admin_token();
    if !token.is_match(&form.token) && !token.is_in_headers(request.headers()) {
        let notice = html! { p class="error" { "The admin token is missing or wrong." } };
        return form_page(
            StatusCode::UNAUTHORIZED,
            &form,
            &FormErrors::default(),
            &notice,
        );
    }
    let Ok(base_version) = form.base_version.parse() else {
        return text_response(StatusCode::BAD_REQUEST, "base_version is not a number\n");
    };
    let document = match form.to_document() {
        Ok(document) => document,
        Err(errors) => return show_invalid(&form, &FormErrors::new(errors)),
    };
    match state.submit_policy(document, base_version).await {
        Ok(accepted) => show_accepted(state, accepted),
        Err(error) => show_submit_error(form, error),
    }
}

fn show_accepted<S: ConsoleState>(state: &S, accepted: AcceptedPolicy) -> Response<Bytes> {
    let form = PolicyForm::from_policy(&state.policy());
    let notice = html! {
        p class="note" {
            "Version " (accepted.version) " is accepted, hash " code { (accepted.hash) }
            ". The overview shows how many daemons enforce it."
        }
    };
    form_page(StatusCode::OK, &form, &FormErrors::default(), &notice)
}

fn show_submit_error(form: PolicyForm, error: SubmitError) -> Response<Bytes> {
    match error {
        SubmitError::Invalid(errors) => show_invalid(&form, &FormErrors::new(errors)),
        SubmitError::Conflict(conflict) => show_conflict(form, &conflict),
        SubmitError::Unavailable(_) => show_error(StatusCode::SERVICE_UNAVAILABLE, &form, &error),
        SubmitError::OutcomeUnknown { .. } | SubmitError::Stopped => {
            show_error(StatusCode::GATEWAY_TIMEOUT, &form, &error)
        }
    }
}

fn show_error(status: StatusCode, form: &PolicyForm, error: &SubmitError) -> Response<Bytes> {
    let notice = html! { p class="error" { (error) } };
    form_page(status, form, &FormErrors::default(), &notice)
}

fn show_invalid(form: &PolicyForm, errors: &FormErrors) -> Response<Bytes> {
    let notice = html! { p class="error" { "Not submitted: " (errors.len()) " errors." } };
    form_page(StatusCode::UNPROCESSABLE_ENTITY, form, errors, &notice)
}

/// Shows the changes since the base version; the operator's input stays in the form, with the
/// current version as its new base.
fn show_conflict(mut form: PolicyForm, conflict: &PolicyConflict) -> Response<Bytes> {
    let current_version = conflict.current.version;
    form.base_version = current_version.to_string();
    let notice = html! {
        p class="error" {
            "Not submitted: version " (current_version) " was accepted since version "
            (conflict.base_version) ", on which this form is based."
        }
        (change_table(conflict.base_version, current_version, &conflict.changes))
        p {
            "The form below holds your input. To keep what version " (current_version)
            " changed, copy it into the form, then submit. To drop your input, "
            a href="/policy" { "open version " (current_version) } "."
        }
    };
    form_page(StatusCode::CONFLICT, &form, &FormErrors::default(), &notice)
}

fn change_table(base_version: u64, current_version: u64, changes: &[FieldChange]) -> Markup {
    let display_value = |value: &Option<String>| value.clone().unwrap_or_else(|| "(none)".into());
    html! {
        table {
            tr {
                th { "Field" } th { "Version " (base_version) } th { "Version " (current_version) }
                th { "Your input" }
            }
            @for change in changes {
                tr class=[change.is_conflict().then_some("clash")] {
                    td { (change.field) }
                    td { (display_value(&change.base)) }
                    td { (display_value(&change.current)) }
                    td { (display_value(&change.submitted)) }
                }
            }
        }
    }
}

fn form_page(
    status: StatusCode,
    form: &PolicyForm,
    errors: &FormErrors,
    notice: &Markup,
) -> Response<Bytes> {
    let content = html! {
        (notice)
        form method="post" action="/policy" {
            input type="hidden" name="base_version" value=(form.base_version);
            // The Enter key activates the first button of a form, so the submit button comes first.
            (submit_row(form))
            (general_table(form, errors))
            (class_table(form, errors))
            (route_table(form, errors))
        }
    };
    html_response(status, render_page("Policy", &content))
}

fn submit_row(form: &PolicyForm) -> Markup {
    html! {
        p {
            "Based on version " (form.base_version) ". "
            label { "Admin token " input type="password" name="token" autocomplete="off"; }
            " " button name="action" value="submit" { "Submit" }
        }
    }
}

fn general_table(form: &PolicyForm, errors: &FormErrors) -> Markup {
    let fields = [
        ("deployment", "Deployment", &form.deployment),
        (
            "default_class",
            "Class of calls without a route",
            &form.default_class,
        ),
        (
            "default_unsafe_class",
            "Class of calls without a route whose method is not GET, HEAD, OPTIONS or TRACE",
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
                tr { th { (label) } td { (text_input(name, value)) (errors.render_for_field(name)) } }
            }
        }
    }
}

fn class_table(form: &PolicyForm, errors: &FormErrors) -> Markup {
    html! {
        h2 { "Classes, the most important first" }
        (errors.render_for_field("classes"))
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
    let field_errors =
        |field: &str| errors.render_for_field(&format!("classes[{position}].{field}"));
    html! {
        tr {
            td { (text_input(&name("name"), &row.name)) (field_errors("name")) }
            td { (text_input(&name("weight"), &row.weight)) (field_errors("weight")) }
            td {
                (text_input(&name("deadline_ms"), &row.deadline_ms))
                (field_errors("deadline_ms"))
            }
            td {
                input type="checkbox" name=(name("non_idempotent")) value="true"
                    checked[row.non_idempotent];
            }
            td {
                (text_input(&name("key_window_s"), &row.key_window_s))
                (field_errors("key_window_s"))
            }
            td { (row_buttons("class", position)) }
        }
    }
}

fn route_table(form: &PolicyForm, errors: &FormErrors) -> Markup {
    html! {
        h2 { "Routes, of which the first match determines the class" }
        (errors.render_for_field("routes"))
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
                    (text_input(&format!("route.{position}.{field}"), value))
                    (errors.render_for_field(&format!("routes[{position}].{field}")))
                }
            }
            td { (row_buttons("route", position)) }
        }
    }
}

fn row_buttons(table: &str, position: usize) -> Markup {
    let value = |operation: &str| format!("{table}.{position}.{operation}");
    html! {
        button name="action" value=(value("up")) { "Up" }
        button name="action" value=(value("down")) { "Down" }
        button name="action" value=(value("remove")) { "Remove" }
    }
}

fn text_input(name: &str, value: &str) -> Markup {
    html! { input name=(name) value=(value); }
}
