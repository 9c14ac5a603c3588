//! Settings of one daemon, in JSON with comments.
//!
//! [`load`] reads and validates a file. Each error is one line with file, line and field, and all
//! invalid values are reported together.

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

/// Reads and validates the settings in the file at `path`.
///
/// # Errors
/// The file cannot be read, does not have the structure of the settings, or has invalid values.
pub fn load(path: &Path) -> Result<DaemonSettings, SettingsError> {
    parse(&DocumentText::read(path)?)
}

/// Parses and validates settings.
///
/// # Errors
/// The text does not have the structure of the settings, or has invalid values.
pub fn parse(text: &DocumentText) -> Result<DaemonSettings, SettingsError> {
    let settings: DaemonSettings = text.parse()?;
    settings
        .validate()
        .map_err(|field_errors| text.locate_errors(field_errors))?;
    Ok(settings)
}
