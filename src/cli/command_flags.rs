use {
    crate::{context::RequestId, events::EventName},
    std::{net::SocketAddr, path::PathBuf, str::FromStr},
    thiserror::Error,
};

/// What can be done with a settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsAction {
    Check,
}

/// A text that names no action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the one action is check")]
pub struct SettingsActionError;

impl FromStr for SettingsAction {
    type Err = SettingsActionError;

    fn from_str(text: &str) -> Result<Self, SettingsActionError> {
        match text {
            "check" => Ok(Self::Check),
            _ => Err(SettingsActionError),
        }
    }
}

xflags::xflags! {
    /// Operates a deployment of banyantrestle.
    cmd banyantrestle {
        /// Checks, submits and shows the policy.
        cmd policy {
            /// Checks a policy document and says what is wrong with it, by line and field.
            cmd check {
                /// Document in JSON with comments.
                required file: PathBuf
            }
            /// Submits a policy document; it is in force everywhere within seconds.
            cmd submit {
                /// Document in JSON with comments.
                required file: PathBuf
                /// Admin address of any daemon.
                required --admin address: SocketAddr
                /// Version that the document was made from.
                required --base version: u64
                /// File that holds the admin token.
                required --token-file path: PathBuf
                /// Prints the answer as JSON.
                optional --json
            }
            /// Prints the policy in force at a daemon as a document.
            cmd show {
                /// Admin address of the daemon.
                required address: SocketAddr
                /// Prints version, hash and document as JSON.
                optional --json
            }
        }
        /// Prints the members that a daemon knows, with the policy version each enforces.
        cmd members {
            /// Admin address of the daemon.
            required address: SocketAddr
            /// Prints the records as JSON.
            optional --json
        }
        /// Prints the events of several daemons in one order.
        cmd timeline {
            /// Admin addresses of the daemons.
            repeated addresses: SocketAddr
            /// Only events of this request, 32 hexadecimal digits.
            optional --request id: RequestId
            /// Only events about this target or daemon, or recorded by this daemon.
            optional --target address: SocketAddr
            /// Only events of this kind, such as call-refused.
            optional --kind kind: EventName
            /// Only events from this time on, in ms of the Unix epoch.
            optional --from ms: u64
            /// Only events before this time, in ms of the Unix epoch.
            optional --to ms: u64
            /// Prints one JSON object a line.
            optional --json
        }
        /// Finds in the logs of sidecars why a request failed.
        cmd explain {
            /// Id of the request, or of a call below it.
            required request: String
            /// Logs of the sidecars, one JSON object a line.
            repeated files: PathBuf
        }
        /// Prints lines of the logs of several sidecars in one order: of one request with its calls,
        /// or else all that tells what the sidecars believed.
        cmd logs {
            /// Logs of the sidecars, one JSON object a line.
            repeated files: PathBuf
            /// Only lines of this request and of the calls below it.
            optional --request id: String
            /// Only lines of this sidecar.
            optional --node name: String
            /// Only lines about this service.
            optional --service name: String
            /// Only lines from this time on, in ms of the Unix epoch.
            optional --from ms: u64
            /// Only lines before this time, in ms of the Unix epoch.
            optional --to ms: u64
        }
        /// Replays recorded traces and compares with the outcomes that they state.
        cmd replay {
            /// Traces, one JSON object a line.
            repeated files: PathBuf
        }
        /// Checks the settings of a daemon: `settings check FILE`.
        cmd settings {
            /// Only `check`.
            required action: SettingsAction
            /// Settings in JSON with comments.
            required file: PathBuf
        }
        /// Prints the version of the program.
        cmd version {}
    }
}
