//! Settings of one daemon, in JSON with comments.
//!
//! [`load`] reads and checks a file. Each fault is one line with file, line and field, and all
//! values out of their bounds are told at once.

mod daemon_settings;
mod settings_validator;

pub use {
    crate::jsonc::DocumentError as SettingsError,
    daemon_settings::{
        DaemonSettings, LimitSettings, ListenSettings, LogSettings, PlatformSettings,
    },
    settings_validator::{MAX_PEERS, MAX_SECRET_BYTES, MIN_SECRET_BYTES},
};

use {crate::jsonc::DocumentText, std::path::Path};

/// Reads and checks the settings in the file at `path`.
///
/// # Errors
/// The file cannot be read, is not in the shape of the settings, or has values out of bounds.
pub fn load(path: &Path) -> Result<DaemonSettings, SettingsError> {
    parse(&DocumentText::read(path)?)
}

/// Reads and checks settings from their text.
///
/// # Errors
/// The text is not in the shape of the settings, or has values out of bounds.
pub fn parse(text: &DocumentText) -> Result<DaemonSettings, SettingsError> {
    let settings: DaemonSettings = text.parse()?;
    settings
        .validate()
        .map_err(|field_errors| text.locate_errors(field_errors))?;
    Ok(settings)
}
