//! Settings of one daemon, in JSON with comments.

mod daemon_settings;

pub use daemon_settings::{
    DaemonSettings, LimitSettings, ListenSettings, LogSettings, PlatformSettings,
};
