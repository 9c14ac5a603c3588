//! Commands and their flags; the doc comments are the help text.

use {
    crate::{context::RequestId, events::EventName},
    std::{net::SocketAddr, path::PathBuf, str::FromStr},
    thiserror::Error,
};

/// Action of the `settings` command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingsAction {
    Check,
}

/// The text is not a settings action.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the only action is check")]
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
            /// Checks a policy document and reports errors by line and field.
            cmd check {
                /// Document in JSON with comments.
                required file: PathBuf
            }
            /// Submits a policy document; all daemons enforce it within seconds.
            cmd submit {
                /// Document in JSON with comments.
                required file: PathBuf
                /// Admin address of any daemon.
                required --admin address: SocketAddr
                /// Version that the document is based on.
                required --base version: u64
                /// File that holds the admin token.
                required --token-file path: PathBuf
                /// Prints the response as JSON.
                optional --json
            }
            /// Prints the policy that is in force at a daemon.
            cmd show {
                /// Admin address of the daemon.
                required address: SocketAddr
                /// Prints version, hash and document as JSON.
                optional --json
            }
        }
        /// Prints the members that a daemon knows and the policy version that each enforces.
        cmd members {
            /// Admin address of the daemon.
            required address: SocketAddr
            /// Prints the records as JSON.
            optional --json
        }
        /// Prints the merged events of several daemons in causal order.
        cmd timeline {
            /// Admin addresses of the daemons.
            repeated addresses: SocketAddr
            /// Only events of this request, 32 hexadecimal digits.
            optional --request id: RequestId
            /// Only events about this target or daemon, or recorded by this daemon.
            optional --target address: SocketAddr
            /// Only events of this kind, such as call-refused.
            optional --kind kind: EventName
            /// Only events from this time on, in ms since the Unix epoch.
            optional --from ms: u64
            /// Only events before this time, in ms since the Unix epoch.
            optional --to ms: u64
            /// Prints one JSON object per line.
            optional --json
        }
        /// Reports why a request failed, from the logs of sidecars.
        cmd explain {
            /// Id of the request or of one of its nested calls.
            required request: String
            /// Log files of the sidecars, one JSON object per line.
            repeated files: PathBuf
        }
        /// Prints log lines of several sidecars in time order: those of one request and its nested
        /// calls, or else those about the state of the sidecars.
        cmd logs {
            /// Log files of the sidecars, one JSON object per line.
            repeated files: PathBuf
            /// Only lines of this request and its nested calls.
            optional --request id: String
            /// Only lines of this sidecar.
            optional --node name: String
            /// Only lines about this service.
            optional --service name: String
            /// Only lines from this time on, in ms since the Unix epoch.
            optional --from ms: u64
            /// Only lines before this time, in ms since the Unix epoch.
            optional --to ms: u64
        }
        /// Replays recorded traces and compares the results with their expected outcomes.
        cmd replay {
            /// Trace files, one JSON object per line.
            repeated files: PathBuf
        }
        /// Checks the settings of a daemon: `settings check FILE`.
        cmd settings {
            /// Action to perform; `check` is the only one.
            required action: SettingsAction
            /// Settings in JSON with comments.
            required file: PathBuf
        }
        /// Prints the version of the program.
        cmd version {}
    }
}
