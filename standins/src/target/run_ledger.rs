use {
    serde::Serialize,
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Stage that a call reached at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RunStage {
    /// The target read the head of the request.
    Arrived,
    /// The call got a slot.
    Started,
    /// The complete response was passed to the server.
    Finished,
}

/// Counts the calls of all targets that share the ledger; clones share one record.
#[derive(Clone, Debug, Default)]
pub struct RunLedger(Arc<Mutex<LedgerTables>>);

#[derive(Debug, Default)]
struct LedgerTables {
    attempts: HashMap<String, AttemptRuns>,
    first_key_start: Option<Instant>,
    keys: BTreeMap<String, Vec<KeyRun>>,
    wrong_responses: u64,
}

/// One start of a call with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct KeyRun {
    pub attempt: String,
    pub target: SocketAddr,
    /// Time since the first start of any key, in ms.
    pub at_ms: u128,
}

#[derive(Debug, Default)]
struct AttemptRuns {
    arrived: u32,
    starts_by_service: BTreeMap<String, u32>,
    finished: u32,
    busy_time: Duration,
}

/// Totals of a ledger.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct RunReport {
    pub arrived: u64,
    pub started: u64,
    pub finished: u64,
    /// Calls that started but ended before the complete response was passed to the server.
    pub cancelled: u64,
    /// Runs of one attempt after the first at each service, summed over the services; maximum over
    /// all attempts.
    #[serde(rename = "most_repeats")]
    pub max_extra_runs: u32,
    /// Runs of one attempt after the first at a single service; maximum over all attempts and
    /// services.
    #[serde(rename = "most_service_repeats")]
    pub max_extra_service_runs: u32,
    /// Keys that started more than once at a service.
    #[serde(rename = "doubled_keys")]
    pub duplicate_keys: u64,
    /// Number of starts by service and key.
    pub keys: BTreeMap<String, u32>,
    /// Responses of called services that did not match their calls.
    #[serde(rename = "wrong_answers")]
    pub wrong_responses: u64,
}

impl RunLedger {
    pub fn record_stage(&self, service: &str, attempt: &str, stage: RunStage) {
        let mut tables = self.tables();
        let runs = tables.attempts.entry(attempt.into()).or_default();
        match stage {
            RunStage::Arrived => runs.arrived += 1,
            RunStage::Started => *runs.starts_by_service.entry(service.into()).or_default() += 1,
            RunStage::Finished => runs.finished += 1,
        }
    }

    /// Records a start of a key at a target.
    pub fn record_key_start(&self, service: &str, key: &str, attempt: &str, target: SocketAddr) {
        let mut tables = self.tables();
        let first = *tables.first_key_start.get_or_insert_with(Instant::now);
        let run = KeyRun {
            attempt: attempt.into(),
            target,
            at_ms: first.elapsed().as_millis(),
        };
        let runs = tables.keys.entry(format!("{service} {key}"));
        runs.or_default().push(run);
    }

    /// Runs of the keys that started more than once, by service and key.
    #[must_use]
    pub fn duplicate_runs(&self) -> BTreeMap<String, Vec<KeyRun>> {
        let tables = self.tables();
        let duplicates = tables.keys.iter().filter(|(_, runs)| runs.len() > 1);
        duplicates
            .map(|(key, runs)| (key.clone(), runs.clone()))
            .collect()
    }

    /// Discards all records.
    pub fn clear(&self) {
        *self.tables() = LedgerTables::default();
    }

    /// Adds time during which an attempt held a slot.
    pub fn record_busy_time(&self, attempt: &str, busy_time: Duration) {
        let mut tables = self.tables();
        tables.attempts.entry(attempt.into()).or_default().busy_time += busy_time;
    }

    pub fn record_wrong_response(&self) {
        self.tables().wrong_responses += 1;
    }

    /// Returns whether any target read the head of the attempt's request.
    #[must_use]
    pub fn has_arrived(&self, attempt: &str) -> bool {
        let tables = self.tables();
        let runs = tables.attempts.get(attempt);
        runs.is_some_and(|runs| runs.arrived > 0)
    }

    /// Number of starts of a key at a service.
    #[must_use]
    pub fn key_runs(&self, service: &str, key: &str) -> u32 {
        let tables = self.tables();
        let runs = tables.keys.get(&format!("{service} {key}"));
        runs.map_or(0, |runs| u32::try_from(runs.len()).unwrap_or(u32::MAX))
    }

    /// Number of runs of attempts that are not in `complete_attempts`, the attempts whose complete
    /// response reached the caller.
    #[must_use]
    pub fn wasted_runs(&self, complete_attempts: &HashSet<String>) -> u64 {
        let tables = self.tables();
        let wasted = tables
            .attempts
            .iter()
            .filter(|(attempt, _)| !complete_attempts.contains(*attempt));
        wasted.map(|(_, runs)| runs.started()).sum()
    }

    #[must_use]
    pub fn report(&self) -> RunReport {
        let tables = self.tables();
        let mut report = RunReport {
            keys: tables.key_counts(),
            wrong_responses: tables.wrong_responses,
            ..RunReport::default()
        };
        for runs in tables.attempts.values() {
            report.arrived += u64::from(runs.arrived);
            report.started += runs.started();
            report.finished += u64::from(runs.finished);
            report.max_extra_runs = report.max_extra_runs.max(runs.extra_runs());
            let max_extra_service_runs = runs.max_extra_service_runs();
            report.max_extra_service_runs =
                report.max_extra_service_runs.max(max_extra_service_runs);
        }
        report.cancelled = report.started.saturating_sub(report.finished);
        let duplicates = report.keys.values().filter(|starts| **starts > 1);
        report.duplicate_keys = duplicates.count() as u64;
        report
    }

    fn tables(&self) -> MutexGuard<'_, LedgerTables> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LedgerTables {
    fn key_counts(&self) -> BTreeMap<String, u32> {
        let count = |runs: &Vec<KeyRun>| u32::try_from(runs.len()).unwrap_or(u32::MAX);
        let keys = self.keys.iter();
        keys.map(|(key, runs)| (key.clone(), count(runs))).collect()
    }
}

impl AttemptRuns {
    fn started(&self) -> u64 {
        self.starts_by_service
            .values()
            .copied()
            .map(u64::from)
            .sum()
    }

    fn extra_runs(&self) -> u32 {
        let extra_runs = self.starts_by_service.values().map(|starts| starts - 1);
        extra_runs.sum()
    }

    /// Runs after the first at the service that ran the attempt most often.
    ///
    /// In a chain without fan-out, a retry at any hop adds at most one run to the service that it
    /// calls and to each service further down. The attempt was therefore retried at least this many
    /// times.
    fn max_extra_service_runs(&self) -> u32 {
        let extra_runs = self.starts_by_service.values().map(|starts| starts - 1);
        extra_runs.max().unwrap_or_default()
    }
}
