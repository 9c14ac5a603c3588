use super::TargetReport;

/// What a change of the local target comes from, for the log.
#[derive(Clone, Debug)]
pub(crate) struct ReportSource {
    pub(crate) origin: &'static str,
    /// Id of the target process that the report is of; empty if it is of none.
    pub(crate) instance: String,
    pub(crate) started_ms: Option<u64>,
    pub(crate) sequence: Option<u64>,
}

impl ReportSource {
    /// Source of a change that the sidecar itself makes.
    pub(crate) const fn of_sidecar(origin: &'static str) -> Self {
        Self {
            origin,
            instance: String::new(),
            started_ms: None,
            sequence: None,
        }
    }
}

impl From<&TargetReport> for ReportSource {
    fn from(report: &TargetReport) -> Self {
        match report {
            TargetReport::Heartbeat(heartbeat) => Self {
                origin: "heartbeat",
                instance: heartbeat.instance.clone(),
                started_ms: Some(heartbeat.started_ms),
                sequence: Some(heartbeat.sequence),
            },
            TargetReport::Leave { instance } => Self {
                origin: "leave",
                instance: instance.clone(),
                started_ms: None,
                sequence: None,
            },
        }
    }
}
