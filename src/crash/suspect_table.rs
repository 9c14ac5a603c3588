use {
    super::{
        CrashEvidence, CrashMark, CrashReport, ProcessDigest, RecordScope, RequestDigest,
        SuspectEntry, SuspectRecord, SuspectStanding,
    },
    rapidhash::v3::rapidhash_v3,
    std::{
        cmp::Reverse,
        collections::{BTreeSet, HashMap},
    },
};

/// Maximum number of requests in the table; those with the least against them are dropped.
pub const MAX_SUSPECTS: usize = 4_096;
/// Number of requests that are dropped at once when the table is full.
const DROPPED_SUSPECTS: usize = 256;
/// Maximum number of records in one message between daemons.
pub const MAX_EXCHANGED_RECORDS: usize = 512;

/// Requests that were running when targets crashed, and what follows for them.
///
/// The table is empty unless targets crash. Entries of all daemons merge; the changes that are to
/// be sent to others are collected until [`Self::take_changes`].
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    entries: HashMap<RequestDigest, SuspectEntry>,
    changed: BTreeSet<RequestDigest>,
    /// Requests that were refused for the first time since the last report.
    newly_refused: Vec<RequestDigest>,
    refused: usize,
}

impl SuspectTable {
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of requests that are refused or on probation.
    #[must_use]
    pub const fn refused(&self) -> usize {
        self.refused
    }

    #[must_use]
    pub fn get(&self, digest: &RequestDigest) -> Option<&SuspectEntry> {
        self.entries.get(digest)
    }

    /// How a request is to be handled; `is_familiar` if the local target has answered it before.
    #[must_use]
    pub fn standing(
        &self,
        now_ms: u64,
        digest: &RequestDigest,
        is_familiar: bool,
    ) -> SuspectStanding {
        let entry = self.entries.get(digest);
        entry.map_or(SuspectStanding::Trusted, |entry| {
            entry.standing(now_ms, is_familiar)
        })
    }

    /// Records a crash of a target.
    ///
    /// A crash under an isolated request is put down to that request alone, unless another request
    /// that the target had never answered was running too.
    pub fn record_crash(
        &mut self,
        now_ms: u64,
        report: &CrashReport,
        is_familiar: impl Fn(RequestDigest) -> bool,
    ) {
        let isolated = report.suspects.iter().find(|suspect| suspect.is_isolated);
        let isolated = isolated.map(|suspect| suspect.digest);
        let mut others = report.suspects.iter().map(|suspect| suspect.digest);
        let has_other_cause = others.any(|digest| Some(digest) != isolated && !is_familiar(digest));
        for suspect in &report.suspects {
            let is_isolated = Some(suspect.digest) == isolated;
            let evidence = match (is_isolated, has_other_cause) {
                (true, false) => CrashEvidence::Isolated,
                (true, true) => CrashEvidence::IsolatedShared,
                (false, _) if is_familiar(suspect.digest) => CrashEvidence::Familiar,
                (false, _) => CrashEvidence::Shared,
            };
            if isolated.is_some() && evidence == CrashEvidence::Familiar {
                continue;
            }
            let mark = CrashMark {
                at_ms: report.at_ms,
                evidence,
                reporter: report.reporter,
                is_cleared: false,
            };
            let mut entry = SuspectEntry::default();
            entry.add_crash(report.process, mark);
            let is_news = self.apply(now_ms, suspect.digest, &entry);
            if is_news {
                self.changed.insert(suspect.digest);
            }
        }
    }

    /// Records that a target has answered a request, which clears it.
    pub fn record_answer(&mut self, now_ms: u64, digest: RequestDigest) -> bool {
        let Some(entry) = self.entries.get_mut(&digest) else {
            return false;
        };
        let was_refused = entry.refusal().is_some();
        let is_news = entry.clear(now_ms);
        if is_news {
            self.refused -= usize::from(was_refused);
            self.changed.insert(digest);
        }
        is_news
    }

    /// Clears the crash of a process that turned out to be running.
    pub fn retract_crash(&mut self, process: ProcessDigest) {
        for (digest, entry) in &mut self.entries {
            if entry.retract_crash(process) {
                self.changed.insert(*digest);
            }
        }
    }

    /// Lets a request run again by the operators' decision; false if it is not refused.
    pub fn lift(&mut self, now_ms: u64, digest: RequestDigest) -> bool {
        let is_refused = self
            .entries
            .get(&digest)
            .is_some_and(|entry| entry.refusal().is_some());
        is_refused && self.record_answer(now_ms, digest)
    }

    /// Merges the record of another daemon; true if it says something new.
    pub fn merge(&mut self, now_ms: u64, record: &SuspectRecord) -> bool {
        !record.entry.is_expired(now_ms) && self.apply(now_ms, record.digest, &record.entry)
    }

    /// Removes and returns the records that have changed since the last call.
    pub fn take_changes(&mut self) -> Vec<SuspectRecord> {
        let changed = std::mem::take(&mut self.changed);
        let records = changed.into_iter().filter_map(|digest| {
            let entry = self.entries.get(&digest)?.clone();
            Some(SuspectRecord { digest, entry })
        });
        records.collect()
    }

    /// Removes and returns the requests that this table has newly refused.
    pub fn take_newly_refused(&mut self) -> Vec<RequestDigest> {
        std::mem::take(&mut self.newly_refused)
    }

    /// Records for another daemon, those with most against them first.
    #[must_use]
    pub fn records(&self, scope: RecordScope) -> Vec<SuspectRecord> {
        let mut records: Vec<_> = self.in_scope(scope).collect();
        records.sort_unstable_by_key(|(digest, entry)| (Reverse(entry.weight()), **digest));
        let records = records.into_iter().take(MAX_EXCHANGED_RECORDS);
        let records = records.map(|(digest, entry)| SuspectRecord {
            digest: *digest,
            entry: entry.clone(),
        });
        records.collect()
    }

    /// Records of all requests that are refused or were refused until recently.
    #[must_use]
    pub fn refusal_records(&self) -> Vec<SuspectRecord> {
        let refused = self.entries.iter();
        let refused = refused.filter(|(_, entry)| entry.refusal.is_some());
        let records = refused.map(|(digest, entry)| SuspectRecord {
            digest: *digest,
            entry: entry.clone(),
        });
        records.collect()
    }

    /// Hash of the entries in scope; equal tables have equal fingerprints.
    #[must_use]
    pub fn fingerprint(&self, scope: RecordScope) -> u64 {
        let hashes = self.in_scope(scope).map(|record| {
            // Both types consist of plain data that always encodes.
            let bytes = postcard::to_extend(&record, Vec::new()).unwrap_or_default();
            rapidhash_v3(&bytes)
        });
        hashes.fold(0, u64::wrapping_add)
    }

    /// Drops entries that no longer matter.
    pub fn expire(&mut self, now_ms: u64) {
        self.entries.retain(|_, entry| !entry.is_expired(now_ms));
        self.count_refused();
    }

    fn in_scope(
        &self,
        scope: RecordScope,
    ) -> impl Iterator<Item = (&RequestDigest, &SuspectEntry)> {
        let is_in_scope =
            move |entry: &SuspectEntry| scope == RecordScope::Service || entry.is_shared_widely();
        self.entries
            .iter()
            .filter(move |(_, entry)| is_in_scope(entry))
    }

    fn apply(&mut self, now_ms: u64, digest: RequestDigest, news: &SuspectEntry) -> bool {
        if !self.entries.contains_key(&digest) && self.entries.len() >= MAX_SUSPECTS {
            self.drop_least(now_ms);
        }
        let entry = self.entries.entry(digest).or_default();
        let before = entry.clone();
        entry.merge(news);
        if entry.refuse_if_proved(now_ms) {
            self.newly_refused.push(digest);
        }
        self.refused += usize::from(entry.refusal().is_some());
        self.refused -= usize::from(before.refusal().is_some());
        *entry != before
    }

    fn drop_least(&mut self, now_ms: u64) {
        self.expire(now_ms);
        let entries = self.entries.iter();
        let mut weights: Vec<_> = entries
            .map(|(digest, entry)| (entry.weight(), *digest))
            .collect();
        if weights.len() < MAX_SUSPECTS {
            return;
        }
        weights.select_nth_unstable(DROPPED_SUSPECTS);
        for (_, digest) in &weights[..DROPPED_SUSPECTS] {
            self.entries.remove(digest);
        }
        self.count_refused();
    }

    fn count_refused(&mut self) {
        let refusals = self.entries.values().filter_map(SuspectEntry::refusal);
        self.refused = refusals.count();
    }
}
