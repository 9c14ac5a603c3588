//! A daemon: its listeners and the services behind them.
//!
//! A call arrives from a caller or from the target beside the daemon (`ingress_service`) and is
//! routed to a target of its service (`call_router`). The daemon beside that target receives it
//! (`mesh_service`), claims the key of a non-idempotent call (`claimed_call`), and sends the call to
//! the target once its admission guard has a free slot (`guarded_call`).

mod active_calls;
mod admin_service;
mod announce_service;
mod call_reader;
mod call_router;
mod claimed_call;
mod daemon_command;
mod daemon_options;
mod daemon_phase;
mod daemon_process;
mod daemon_shutdown;
mod daemon_sockets;
mod daemon_state;
mod guarded_call;
mod in_flight_call;
mod ingress_service;
mod local_target;
mod member_changes;
mod mesh_client;
mod mesh_service;
mod mesh_transport;
mod metrics_recorder;
mod permit_client;
mod registered_budget;
mod request_events;
mod shared_guard;
mod target_probe;
mod watch_tasks;

pub use {
    daemon_command::{DaemonCommand, run_daemon},
    daemon_options::{DaemonFeature, DaemonOptions},
    daemon_phase::DaemonPhase,
    daemon_process::Daemon,
};

pub(crate) use metrics_recorder::process_recorder;

#[cfg(test)]
mod tests;
