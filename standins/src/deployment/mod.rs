//! Parts of a deployment on loopback: settings, a policy in the table, and daemons as processes.

mod daemon_process;
mod initial_policy;
mod loopback_settings;

pub use {
    daemon_process::DaemonProcess,
    initial_policy::write_initial_policy,
    loopback_settings::{ADMIN_TOKEN, LOOPBACK, loopback_settings},
};
