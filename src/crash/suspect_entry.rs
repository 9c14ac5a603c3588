use {
    super::{CrashEvidence, CrashMark, ProcessDigest, RequestRefusal, SuspectStanding, as_millis},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Maximum number of crashes that are kept for one request; the earliest is dropped, and cleared
/// ones before the others.
pub const MAX_CRASHES: usize = 12;
/// Crashes under a request from which it runs in isolation only.
pub const ISOLATION_CRASHES: usize = 2;
/// The same number for a request that the targets had answered before.
pub const FAMILIAR_ISOLATION_CRASHES: usize = 6;
/// Crashes under a request from which it is refused if one of them was in isolation, though with
/// another possible cause. A crash in isolation without another possible cause always suffices.
pub const SHARED_REFUSAL_CRASHES: usize = 4;
/// Time for which a crash counts against a request that no target answers.
pub const MARK_RETENTION: Duration = Duration::from_secs(3_600);
/// Time for which an answered request is remembered, so that a late report of an earlier crash does
/// not count.
pub const CLEARED_RETENTION: Duration = Duration::from_secs(60);

/// What is known about one request that was running when targets crashed.
///
/// Entries of several daemons merge into the same state in any order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEntry {
    pub(super) crashes: BTreeMap<ProcessDigest, CrashMark>,
    pub(super) refusal: Option<RequestRefusal>,
    /// Time of the last answer to the request, or of the operators' decision to let it run again.
    /// It ends earlier refusals.
    pub(super) lifted_ms: u64,
}

impl SuspectEntry {
    /// Crashes since the last answer to the request.
    pub fn open_crashes(&self) -> impl Iterator<Item = &CrashMark> {
        self.crashes.values().filter(|mark| !mark.is_cleared)
    }

    /// The refusal, unless it was lifted; it may have expired.
    #[must_use]
    pub fn refusal(&self) -> Option<RequestRefusal> {
        self.refusal
            .filter(|refusal| refusal.since_ms > self.lifted_ms)
    }

    /// How the request is to be handled; `is_familiar` if the local target has answered it before.
    #[must_use]
    pub fn standing(&self, now_ms: u64, is_familiar: bool) -> SuspectStanding {
        if let Some(refusal) = self.refusal() {
            return if now_ms < refusal.until_ms {
                SuspectStanding::Refused
            } else {
                SuspectStanding::Isolated
            };
        }
        let all = self.open_crashes().count();
        let unexplained = self.open_crashes();
        let unexplained = unexplained
            .filter(|mark| !is_familiar && mark.evidence > CrashEvidence::Familiar)
            .count();
        if unexplained >= ISOLATION_CRASHES || all >= FAMILIAR_ISOLATION_CRASHES {
            SuspectStanding::Isolated
        } else if unexplained > 0 {
            SuspectStanding::Suspect
        } else {
            SuspectStanding::Trusted
        }
    }

    /// Adds a crash and drops others beyond the limit.
    pub(super) fn add_crash(&mut self, process: ProcessDigest, mark: CrashMark) {
        match self.crashes.get_mut(&process) {
            Some(known) => known.merge(&mark),
            None => {
                self.crashes.insert(process, mark);
            }
        }
        while self.crashes.len() > MAX_CRASHES {
            let crashes = self.crashes.iter();
            let least =
                crashes.min_by_key(|(process, mark)| (!mark.is_cleared, mark.at_ms, **process));
            let Some(least) = least.map(|(process, _)| *process) else {
                break;
            };
            self.crashes.remove(&least);
        }
    }

    /// Refuses the request if the crashes in isolation suffice; true if it was not refused before.
    pub(super) fn refuse_if_proved(&mut self, now_ms: u64) -> bool {
        let previous = self.refusal();
        let probation_start = previous.map_or(0, |refusal| refusal.until_ms);
        let has_crash_with = |evidence| {
            let mut crashes = self.open_crashes();
            crashes.any(|mark| mark.evidence == evidence && mark.at_ms >= probation_start)
        };
        let is_proved = has_crash_with(CrashEvidence::Isolated)
            || has_crash_with(CrashEvidence::IsolatedShared)
                && self.open_crashes().count() >= SHARED_REFUSAL_CRASHES;
        if !is_proved || previous.is_some_and(|refusal| now_ms < refusal.until_ms) {
            return false;
        }
        // A lifted refusal counts too: of two refusals, the one with the higher count is the later.
        let count = self.refusal.map_or(0, |refusal| refusal.count) + 1;
        let since_ms = now_ms.max(self.lifted_ms + 1);
        self.refusal = Some(RequestRefusal::new(count, since_ms));
        true
    }

    /// Ends the refusal and clears all crashes; false if there was nothing to clear.
    pub(super) fn clear(&mut self, now_ms: u64) -> bool {
        let is_refused = self.refusal().is_some();
        let has_open = self.open_crashes().next().is_some();
        if is_refused {
            let since_ms = self.refusal.map_or(0, |refusal| refusal.since_ms);
            self.lifted_ms = now_ms.max(since_ms);
        }
        for mark in self.crashes.values_mut() {
            mark.is_cleared = true;
        }
        is_refused || has_open
    }

    /// Clears one crash, which turned out to be none; false if it is not known.
    pub(super) fn retract_crash(&mut self, process: ProcessDigest) -> bool {
        let mark = self.crashes.get_mut(&process);
        mark.is_some_and(|mark| !std::mem::replace(&mut mark.is_cleared, true))
    }

    pub(super) fn merge(&mut self, other: &Self) {
        for (process, mark) in &other.crashes {
            self.add_crash(*process, *mark);
        }
        self.refusal = self.refusal.max(other.refusal);
        self.lifted_ms = self.lifted_ms.max(other.lifted_ms);
    }

    /// Whether all daemons need the entry, rather than those whose targets it has crashed.
    #[must_use]
    pub fn is_shared_widely(&self) -> bool {
        self.refusal.is_some() || self.crashes.len() >= ISOLATION_CRASHES
    }

    #[must_use]
    pub fn is_expired(&self, now_ms: u64) -> bool {
        let last_crash_ms = self.crashes.values().map(|mark| mark.at_ms).max();
        let is_open = self.open_crashes().next().is_some();
        let retention = if is_open {
            MARK_RETENTION
        } else {
            CLEARED_RETENTION
        };
        let crashes_end_ms = last_crash_ms.map_or(0, |at_ms| at_ms + as_millis(retention));
        // A lifted refusal is remembered as long, so that an older copy does not revive it.
        let refusal_end_ms = self
            .refusal
            .map_or(0, |refusal| refusal.until_ms + refusal.hold_ms());
        now_ms > crashes_end_ms.max(refusal_end_ms)
    }

    /// Order in which entries are dropped when the table is full; the least first.
    pub(super) fn weight(&self) -> (bool, usize, u64) {
        let last_crash_ms = self.crashes.values().map(|mark| mark.at_ms).max();
        (
            self.refusal.is_some(),
            self.open_crashes().count(),
            last_crash_ms.unwrap_or_default(),
        )
    }
}
