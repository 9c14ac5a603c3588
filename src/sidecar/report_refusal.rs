use {
    http::StatusCode,
    strum::{Display, IntoStaticStr},
};

/// Why the report of a target that is leaving is not acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ReportRefusal {
    /// The store doesn't hold the departure yet, so a restart of the sidecar could forget it.
    NotStored,
    /// A process that started later has the same id, and calls can't be kept from one alone.
    Ambiguous,
}

impl ReportRefusal {
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::NotStored => StatusCode::SERVICE_UNAVAILABLE,
            Self::Ambiguous => StatusCode::CONFLICT,
        }
    }
}
