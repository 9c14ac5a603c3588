//! Command `policy`: checks, submits and shows policy documents.

use {
    super::{
        CliError, CliOutput,
        admin_client::{AdminClient, AdminResponse},
        command_flags::{Check, PolicyCmd, Show, Submit},
    },
    crate::{
        console::{PolicyProblem, PolicySubmission, PolicyView},
        policy::{self, AcceptedPolicy, FieldChange, PolicyConflict},
    },
    http::StatusCode,
    std::{
        fs::File,
        io::{self, Read, Write},
        path::Path,
    },
};

/// Maximum number of bytes read from a token file.
const MAX_TOKEN_FILE_BYTES: u64 = 4_096;

pub(super) async fn run<O, E>(
    command: PolicyCmd,
    output: &mut CliOutput<O, E>,
) -> Result<(), CliError>
where
    O: Write,
    E: Write,
{
    match command {
        PolicyCmd::Check(flags) => check(&flags, output),
        PolicyCmd::Submit(flags) => submit(&flags, output).await,
        PolicyCmd::Show(flags) => show(&flags, output).await,
    }
}

fn check<O, E>(flags: &Check, output: &mut CliOutput<O, E>) -> Result<(), CliError>
where
    O: Write,
    E: Write,
{
    let document = policy::load(&flags.file)?;
    output.print_line(format_args!(
        "{}: ok, {} classes and {} routes for {}",
        flags.file.display(),
        document.classes.len(),
        document.routes.len(),
        document.deployment,
    ));
    Ok(())
}

async fn show<O, E>(flags: &Show, output: &mut CliOutput<O, E>) -> Result<(), CliError>
where
    O: Write,
    E: Write,
{
    let client = AdminClient::new(flags.address);
    let view: PolicyView = client.get_json("/api/policy").await?;
    if flags.json {
        output.print_json(&view);
        return Ok(());
    }
    output.print_line(format_args!(
        "// version {}, hash {}",
        view.version, view.hash
    ));
    let document = serde_json::to_string_pretty(&view.document);
    output.print_line(document.unwrap_or_default());
    Ok(())
}

async fn submit<O, E>(flags: &Submit, output: &mut CliOutput<O, E>) -> Result<(), CliError>
where
    O: Write,
    E: Write,
{
    let submission = PolicySubmission {
        base_version: flags.base,
        document: policy::load(&flags.file)?,
    };
    let token = read_token(&flags.token_file)?;
    let client = AdminClient::new(flags.admin);
    let response = client.post("/api/policy", &token, &submission).await?;
    if response.status != StatusCode::OK {
        return Err(rejection_error(&response, output));
    }
    let accepted: AcceptedPolicy = serde_json::from_slice(&response.body)
        .map_err(|error| CliError::Failed(format!("status 200 with an invalid body: {error}")))?;
    if flags.json {
        output.print_json(&accepted);
    } else {
        let (version, hash) = (accepted.version, accepted.hash);
        output.print_line(format_args!("version {version} is accepted, hash {hash}"));
    }
    Ok(())
}

fn read_token(path: &Path) -> Result<String, CliError> {
    let unreadable_file = |source: io::Error| CliError::UnreadableFile {
        path: path.to_owned(),
        source,
    };
    let mut token = String::new();
    let file = File::open(path).map_err(unreadable_file)?;
    file.take(MAX_TOKEN_FILE_BYTES)
        .read_to_string(&mut token)
        .map_err(unreadable_file)?;
    let token = token.trim();
    if token.is_empty() || !token.bytes().all(|byte| byte.is_ascii_graphic()) {
        let message = format!(
            "{}: does not contain a token on a single line",
            path.display()
        );
        return Err(CliError::Usage(message));
    }
    Ok(token.into())
}

fn rejection_error<O, E>(response: &AdminResponse, output: &mut CliOutput<O, E>) -> CliError
where
    O: Write,
    E: Write,
{
    let Ok(problem) = serde_json::from_slice::<PolicyProblem>(&response.body) else {
        return CliError::Failed(format!("policy not accepted: status {}", response.status));
    };
    for error in &problem.errors {
        output.print_error(error);
    }
    if let Some(conflict) = &problem.conflict {
        print_conflict(conflict, output);
    }
    CliError::Failed(format!("policy not accepted: {}", problem.title))
}

fn print_conflict<O, E>(conflict: &PolicyConflict, output: &mut CliOutput<O, E>)
where
    O: Write,
    E: Write,
{
    let text_or_none = |value: &Option<String>| value.clone().unwrap_or_else(|| "(none)".into());
    let titles = vec![
        "FIELD".into(),
        format!("VERSION {}", conflict.base_version),
        format!("VERSION {}", conflict.current.version),
        "YOURS".into(),
    ];
    let row = |change: &FieldChange| {
        vec![
            change.field.clone(),
            text_or_none(&change.base),
            text_or_none(&change.current),
            text_or_none(&change.submitted),
        ]
    };
    let rows = std::iter::once(titles).chain(conflict.changes.iter().map(row));
    output.print_table(&rows.collect::<Vec<_>>());
}
