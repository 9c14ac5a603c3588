use {
    crate::process::ServiceProcess,
    anyhow::Context,
    banyantrestle::settings::{DaemonSettings, ListenSettings},
    std::path::Path,
};

const ARGUMENTS: [&str; 2] = ["--settings", "settings.json"];

/// A daemon in its own process; dropping it kills the process.
#[derive(Debug)]
pub struct DaemonProcess {
    pub process: ServiceProcess,
    pub listen: ListenSettings,
    settings: DaemonSettings,
}

impl DaemonProcess {
    /// # Errors
    /// The program cannot be started, or its first line does not state its listen addresses.
    pub fn start(program: &Path, settings: &DaemonSettings) -> anyhow::Result<Self> {
        let text = serde_json::to_string_pretty(settings)?;
        let process = ServiceProcess::start(program, &ARGUMENTS, &text)?;
        let listen = serde_json::from_str(process.first_line()).with_context(|| {
            format!(
                "no listen addresses in the first line {:?}",
                process.first_line()
            )
        })?;
        Ok(Self {
            process,
            listen,
            settings: settings.clone(),
        })
    }

    /// Settings for a process that replaces this one on the same addresses.
    #[must_use]
    pub fn restart_settings(&self) -> DaemonSettings {
        DaemonSettings {
            listen: self.listen,
            ..self.settings.clone()
        }
    }
}
