//! Runs the command line as a process against the consoles of fake daemons.

#[path = "support/fake_daemon.rs"]
mod fake_daemon;

use {
    banyantrestle::{
        console::{ConsoleState, DaemonReadiness, read_and_respond},
        context::{CallId, RequestId, ServiceName},
        events::EventKind,
    },
    fake_daemon::{ADMIN_TOKEN, FakeDaemon, member_id},
    http_body_util::Full,
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{
        convert::Infallible,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        sync::Arc,
        time::Duration,
    },
    tokio::{net::TcpListener, process::Command, time::timeout},
};

/// Time allowed for a command, much longer than any command takes.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(60);
const KITA_POLICY: &str = "examples/policy/kita.jsonc";
const KITA_SETTINGS: &str = "examples/settings/kita-sapporo.jsonc";

/// Exit status and output of a command.
#[derive(Debug)]
struct CommandOutcome {
    status: i32,
    output: String,
    errors: String,
}

async fn run<A: AsRef<str>>(arguments: &[A]) -> CommandOutcome {
    let mut command = Command::new(env!("CARGO_BIN_EXE_banyantrestle"));
    command.args(arguments.iter().map(AsRef::as_ref));
    command.kill_on_drop(true);
    let done = timeout(COMMAND_TIMEOUT, command.output())
        .await
        .unwrap()
        .unwrap();
    CommandOutcome {
        status: done.status.code().unwrap(),
        output: String::from_utf8(done.stdout).unwrap(),
        errors: String::from_utf8(done.stderr).unwrap(),
    }
}

async fn run_command_line(line: &str) -> CommandOutcome {
    run(&line.split(' ').collect::<Vec<_>>()).await
}

/// Serves the console of `daemon` until the test ends.
async fn serve_console(daemon: &Arc<FakeDaemon>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let daemon = Arc::clone(daemon);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let daemon = Arc::clone(&daemon);
            tokio::spawn(async move {
                let service = service_fn(|request| async {
                    let response = read_and_respond(daemon.as_ref(), request).await;
                    Ok::<_, Infallible>(response.map(Full::new))
                });
                let connection = http1::Builder::new();
                let _ = connection
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    address
}

async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

/// Writes a file in a directory of the test and returns its path.
fn write_file(test: &str, name: &str, content: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    fs::create_dir_all(&folder).unwrap();
    let path = folder.join(name);
    fs::write(&path, content).unwrap();
    path
}

#[tokio::test]
async fn bad_input_exits_with_status_2_and_a_message() {
    for (line, message) in [
        ("frob", "frob"),
        ("policy", "subcommand is required"),
        ("policy check", "flag is required: `file`"),
        ("policy check no-such-file", "no-such-file: No such file"),
        ("policy check Cargo.toml", "Cargo.toml:1: "),
        (
            "policy submit x --admin nowhere --base 0 --token-file x",
            "can't parse `--admin`",
        ),
        (
            "policy submit x --admin 127.0.0.1:1 --token-file x",
            "--base",
        ),
        ("settings check no-such-file", "no-such-file: No such file"),
        (
            "settings check examples/policy/kita.jsonc",
            "kita.jsonc:2: deployment: unknown field",
        ),
        (
            "settings frob x",
            "can't parse `action`, the only action is check",
        ),
        ("members", "flag is required: `address`"),
        ("timeline", "timeline needs an admin address"),
        ("replay", "replay needs a trace"),
        ("replay no-such-file", "opening no-such-file: No such file"),
        ("replay Cargo.toml", "Cargo.toml: line 1: "),
        (
            "timeline 127.0.0.1:1 --kind frob",
            "`--kind`, not one of request-minted, ",
        ),
        (
            "timeline 127.0.0.1:1 --request 7",
            "`--request`, not 32 hexadecimal digits",
        ),
    ] {
        let outcome = run_command_line(line).await;
        assert_eq!(outcome.status, 2, "{line}: {outcome:?}");
        assert!(outcome.errors.contains(message), "{line}: {outcome:?}");
        assert_eq!(outcome.output, "", "{line}");
    }
}

#[tokio::test]
async fn help_version_and_checks_succeed() {
    for (line, content) in [
        ("--help", "SUBCOMMANDS"),
        ("version", "banyantrestle 0."),
        (
            &format!("policy check {KITA_POLICY}"),
            "ok, 4 classes and 5 routes for kita",
        ),
        (
            &format!("settings check {KITA_SETTINGS}"),
            "kita-sapporo.jsonc: ok",
        ),
    ] {
        let outcome = run_command_line(line).await;
        assert_eq!(outcome.status, 0, "{line}: {outcome:?}");
        assert!(outcome.output.contains(content), "{line}: {outcome:?}");
    }
}

#[tokio::test]
async fn policy_is_submitted_shown_and_rejected_on_conflict() {
    let daemon = Arc::new(FakeDaemon::new());
    let admin = serve_console(&daemon).await;
    let token = write_file("submit", "token", &format!("{ADMIN_TOKEN}\n"));
    let wrong_token = write_file("submit", "wrong", "not-the-admin-token");
    let empty_token = write_file("submit", "empty", " \n");
    let submit = |base: u64, token: &Path| {
        let token = token.display();
        format!("policy submit {KITA_POLICY} --admin {admin} --base {base} --token-file {token}")
    };
    let refused = run_command_line(&submit(0, &wrong_token)).await;
    assert_eq!(refused.status, 1);
    assert!(
        refused
            .errors
            .contains("the admin token is missing or wrong")
    );
    assert_eq!(run_command_line(&submit(0, &empty_token)).await.status, 2);
    assert_eq!(daemon.policy().version, 0);

    let accepted = run_command_line(&submit(0, &token)).await;
    assert_eq!(accepted.status, 0, "{accepted:?}");
    assert!(accepted.output.starts_with("version 1 is accepted, hash "));

    let shown = run_command_line(&format!("policy show {admin}")).await;
    assert!(shown.output.starts_with("// version 1, hash "));
    let copy = write_file("submit", "copy.jsonc", &shown.output);
    let checked = run_command_line(&format!("policy check {}", copy.display())).await;
    assert_eq!(checked.status, 0, "{checked:?}");

    let mut concurrent_document = daemon.policy().document.clone();
    concurrent_document.classes[1].weight = 59;
    daemon.set_policy(2, concurrent_document);
    let conflict = run_command_line(&submit(1, &token)).await;
    assert_eq!(conflict.status, 1);
    assert!(
        conflict
            .errors
            .contains("version 2 was accepted since version 1")
    );
    let change = conflict.output.lines().find(|line| line.contains("lookup"));
    let cells: Vec<_> = change.unwrap().split_whitespace().collect();
    assert_eq!(cells, ["classes[lookup].weight", "(none)", "59", "60"]);
}

#[tokio::test]
async fn members_are_listed() {
    let mut daemon = FakeDaemon::new();
    daemon.readiness = DaemonReadiness::Ready;
    let admin = serve_console(&Arc::new(daemon)).await;
    let table = run_command_line(&format!("members {admin}")).await;
    assert!(table.output.starts_with("DAEMON"), "{table:?}");
    assert!(table.output.contains("akl-a"));
    assert!(
        !table.output.contains('\u{1b}'),
        "no escape sequence reaches the terminal"
    );
    let json = run_command_line(&format!("members {admin} --json")).await;
    assert!(json.output.contains("\"data_centre\":\"akl-a\""));
    let closed = closed_address().await;
    let failed = run_command_line(&format!("members {closed}")).await;
    assert_eq!(failed.status, 1);
    assert!(
        failed.errors.contains(&format!("call-admin with {closed}")),
        "{failed:?}"
    );
}

#[tokio::test]
async fn timeline_merges_events_of_daemons() {
    let mut one = FakeDaemon::new();
    one.is_table_unavailable = true;
    let (one, other) = (Arc::new(one), Arc::new(FakeDaemon::new()));
    let (request, call) = (RequestId::from_u128(7), CallId::from_u64(2));
    let call_started = |call, parent| EventKind::CallStarted {
        request,
        call,
        parent,
        service: ServiceName::new("billing").unwrap(),
        peer: member_id().address,
        attempt: 1,
    };
    one.events.record(call_started(CallId::from_u64(1), None));
    other.events.observe(one.events.stamp());
    other
        .events
        .record(call_started(call, Some(CallId::from_u64(1))));
    one.events.observe(other.events.stamp());
    one.events.record(EventKind::ShutdownStep {
        step: "drain".into(),
    });
    let (first, second) = (serve_console(&one).await, serve_console(&other).await);

    let all = run_command_line(&format!("timeline {first} {second}")).await;
    assert_eq!(all.status, 0, "{all:?}");
    let kinds: Vec<_> = all
        .output
        .lines()
        .map(|line| line.split_whitespace().nth(2))
        .collect();
    let expected = ["call-started", "call-started", "shutdown-step"];
    assert_eq!(kinds, expected.map(Some));
    assert!(
        all.output.contains("    call-started"),
        "calls are indented by depth"
    );

    let filters = format!("timeline {first} {second} --request {request} --kind call-started");
    assert_eq!(run_command_line(&filters).await.output.lines().count(), 2);
    let none = run_command_line(&format!("timeline {first} --from 0 --to 1")).await;
    assert_eq!((none.status, none.output.as_str()), (0, ""));

    let closed = closed_address().await;
    let partial = run_command_line(&format!("timeline {first} {closed} --json")).await;
    assert_eq!(partial.status, 1);
    assert_eq!(partial.output.lines().count(), 2, "{partial:?}");
    assert!(partial.errors.contains("1 of 2 daemons did not respond"));
}

#[tokio::test]
async fn replay_reports_mismatched_outcomes() {
    let good = run_command_line("replay traces/kereru-surge.jsonl traces/kita-surge.jsonl").await;
    assert_eq!(good.status, 0, "{good:?}");
    assert!(good.output.starts_with("2 traces, "), "{good:?}");
    let trace = fs::read_to_string("traces/kereru-surge.jsonl").unwrap();
    let line = trace.lines().position(|line| line.contains("\"start\":"));
    let line = line.unwrap() + 1;
    let wrong_trace = trace.replacen("\"start\":", "\"start\":9", 1);
    let wrong_trace = write_file("replay", "wrong.jsonl", &wrong_trace);
    let bad = run_command_line(&format!("replay {}", wrong_trace.display())).await;
    assert_eq!(bad.status, 1, "{bad:?}");
    let expected_output = format!("{}:{line}: expected", wrong_trace.display());
    assert!(
        bad.output.starts_with(&expected_output),
        "{expected_output}: {bad:?}"
    );
    assert!(
        bad.errors
            .contains("1 outcomes differ from the expected ones"),
        "{bad:?}"
    );
}
