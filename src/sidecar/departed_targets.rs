use super::target_incarnation::TargetIncarnation;

/// Maximum number of processes that are remembered; the one that left first is dropped.
pub const MAX_DEPARTED_TARGETS: usize = 32;

/// Target processes beside this sidecar that have said that they are leaving.
///
/// An entry covers the processes with its id that started no later than its start time. A process
/// that left before this sidecar knew when it had started is recorded with the time at which it
/// left.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DepartedTargets {
    /// At most one entry for each id; the one that left last is last.
    entries: Vec<TargetIncarnation>,
    revision: u64,
}

impl DepartedTargets {
    /// Increases with each change.
    pub(crate) const fn revision(&self) -> u64 {
        self.revision
    }

    #[must_use]
    pub fn entries(&self) -> &[TargetIncarnation] {
        &self.entries
    }

    #[must_use]
    pub fn contains(&self, incarnation: &TargetIncarnation) -> bool {
        let entry = self.find(&incarnation.instance);
        entry.is_some_and(|entry| incarnation.started_ms <= entry.started_ms)
    }

    /// Records a process that is leaving; true if it is news.
    pub(crate) fn insert(&mut self, incarnation: TargetIncarnation) -> bool {
        if self.contains(&incarnation) {
            return false;
        }
        self.entries
            .retain(|entry| entry.instance != incarnation.instance);
        if self.entries.len() >= MAX_DEPARTED_TARGETS {
            self.entries.remove(0);
        }
        self.entries.push(incarnation);
        self.revision += 1;
        true
    }

    /// Adds processes that left before all those in the table.
    pub(crate) fn insert_earlier(&mut self, earlier: &[TargetIncarnation]) {
        let mut merged = Self::default();
        for incarnation in earlier.iter().chain(&self.entries) {
            merged.insert(incarnation.clone());
        }
        if merged.entries != self.entries {
            self.entries = merged.entries;
            self.revision += 1;
        }
    }

    fn find(&self, instance: &str) -> Option<&TargetIncarnation> {
        let mut entries = self.entries.iter();
        entries.find(|entry| entry.instance == instance)
    }
}
