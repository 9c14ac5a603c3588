use {
    crate::time::TimePoint,
    slotmap::{SlotMap, new_key_type},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap},
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
};

/// Separates the id of a call from the suffix that its caller added for a child call.
pub(crate) const CALL_ID_SEPARATOR: char = '.';
/// Time by which a target may count the deadline of a call later than its sidecar does. It counts from
/// when it reads the call.
pub(crate) const MAX_TARGET_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of suffixes that are removed from an id to find the parent call.
const MAX_CALL_ID_PARTS: usize = 4;
/// Maximum memory of the abandoned calls.
const MAX_ABANDONED_BYTES: usize = 8 * 1024 * 1024;
/// Memory of a call besides its id, rounded up.
const CALL_BYTES: usize = 512;

new_key_type! {
    struct CallKey;
}

/// A call that a target may be running.
pub(crate) trait TableCall {
    /// Time after which the target does not work on the call, by the sidecar's count.
    fn deadline(&self) -> TimePoint;
}

/// Calls that targets may be running, by request id.
///
/// Whoever waits for a call holds its guard. A target may go on after the wait is over, so a call
/// whose guard is dropped without [`CallGuard::finish`] stays in the table until its deadline has
/// passed by the target's count.
#[derive(Debug)]
pub(crate) struct CallTable<C> {
    entries: Mutex<CallEntries<C>>,
}

#[derive(Debug)]
struct CallEntries<C> {
    calls: SlotMap<CallKey, CallEntry<C>>,
    /// Calls by id, oldest first; a call that is sent again has the id of the one before.
    by_id: HashMap<Arc<str>, Vec<CallKey>>,
    /// Ends of the calls without a guard, earliest first.
    ends: BinaryHeap<Reverse<(TimePoint, CallKey)>>,
    /// Number of calls with a guard.
    guarded: usize,
    abandoned_bytes: usize,
    /// Time until which a call may have been removed that its target is still running.
    incomplete_until: TimePoint,
}

#[derive(Debug)]
struct CallEntry<C> {
    id: Arc<str>,
    call: Arc<C>,
}

/// Keeps a call in the table; dropping it abandons the call.
#[derive(Debug)]
pub(crate) struct CallGuard<C: TableCall> {
    table: Arc<CallTable<C>>,
    key: CallKey,
    pub(crate) call: Arc<C>,
    is_finished: bool,
}

impl<C: TableCall> CallGuard<C> {
    /// Removes the call, which the target has completed or not run.
    pub(crate) fn finish(mut self) {
        self.is_finished = true;
    }
}

impl<C: TableCall> Drop for CallGuard<C> {
    fn drop(&mut self) {
        let mut entries = self.table.lock();
        entries.guarded -= 1;
        if self.is_finished {
            entries.remove(self.key);
        } else {
            entries.abandon(self.key, self.call.deadline() + MAX_TARGET_DELAY);
        }
    }
}

impl<C: TableCall> CallTable<C> {
    pub(crate) fn insert(self: &Arc<Self>, id: &str, call: C) -> CallGuard<C> {
        let call = Arc::new(call);
        let mut entries = self.lock();
        let key = entries.insert(id, call.clone());
        entries.guarded += 1;
        CallGuard {
            table: self.clone(),
            key,
            call,
            is_finished: false,
        }
    }

    /// Inserts a call that nobody waits for.
    pub(crate) fn insert_abandoned(&self, id: &str, call: C) {
        let end = call.deadline() + MAX_TARGET_DELAY;
        let mut entries = self.lock();
        let key = entries.insert(id, Arc::new(call));
        entries.abandon(key, end);
    }

    /// Removes the calls that have ended by `now`.
    pub(crate) fn remove_ended(&self, now: TimePoint) {
        self.lock().remove_ended(now);
    }

    /// Whether any call has a guard, or has reached a deadline that its target counts later.
    pub(crate) fn has_active(&self, now: TimePoint) -> bool {
        let mut entries = self.lock();
        entries.remove_ended(now);
        let first = entries.ends.peek();
        let is_ending = first.is_some_and(|Reverse((end, _))| *end <= now + MAX_TARGET_DELAY);
        entries.guarded > 0 || is_ending
    }

    /// Whether a call may be missing that its target is running.
    pub(crate) fn is_incomplete(&self, now: TimePoint) -> bool {
        now < self.lock().incomplete_until
    }

    /// Finds the call that the call `id` is made for.
    pub(crate) fn parent_of(&self, now: TimePoint, id: &str) -> Option<Arc<C>> {
        let mut entries = self.lock();
        entries.remove_ended(now);
        let mut parents = parent_ids(id).filter_map(|parent| entries.newest(parent));
        parents.next().cloned()
    }

    /// Calls with their ids that `is_wanted`, at most `limit`.
    pub(crate) fn select<F: Fn(&C) -> bool>(
        &self,
        now: TimePoint,
        limit: usize,
        is_wanted: F,
    ) -> Vec<(Arc<str>, Arc<C>)> {
        let mut entries = self.lock();
        entries.remove_ended(now);
        let calls = entries.calls.values();
        let wanted = calls.filter(|entry| is_wanted(&entry.call));
        let wanted = wanted.map(|entry| (entry.id.clone(), entry.call.clone()));
        wanted.take(limit).collect()
    }

    fn lock(&self) -> MutexGuard<'_, CallEntries<C>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C> Default for CallTable<C> {
    fn default() -> Self {
        Self {
            entries: Mutex::new(CallEntries {
                calls: SlotMap::with_key(),
                by_id: HashMap::new(),
                ends: BinaryHeap::new(),
                guarded: 0,
                abandoned_bytes: 0,
                incomplete_until: TimePoint::ORIGIN,
            }),
        }
    }
}

impl<C> CallEntries<C> {
    fn insert(&mut self, id: &str, call: Arc<C>) -> CallKey {
        let id: Arc<str> = id.into();
        let entry = CallEntry {
            id: id.clone(),
            call,
        };
        let key = self.calls.insert(entry);
        self.by_id.entry(id).or_default().push(key);
        key
    }

    /// Keeps a call until `end`; if the memory is exhausted, those that end first make room.
    fn abandon(&mut self, key: CallKey, end: TimePoint) {
        let Some(entry) = self.calls.get(key) else {
            return;
        };
        self.abandoned_bytes += entry_bytes(entry);
        self.ends.push(Reverse((end, key)));
        while self.abandoned_bytes > MAX_ABANDONED_BYTES
            && let Some(first_end) = self.remove_first()
        {
            self.incomplete_until = self.incomplete_until.max(first_end);
        }
    }

    fn remove_ended(&mut self, now: TimePoint) {
        let is_over = |ends: &BinaryHeap<Reverse<(TimePoint, CallKey)>>| {
            let first = ends.peek();
            first.is_some_and(|Reverse((end, _))| *end <= now)
        };
        while is_over(&self.ends) {
            self.remove_first();
        }
    }

    /// Removes the abandoned call that ends first; returns its end.
    fn remove_first(&mut self) -> Option<TimePoint> {
        let Reverse((end, key)) = self.ends.pop()?;
        if let Some(entry) = self.remove(key) {
            self.abandoned_bytes -= entry_bytes(&entry);
        }
        Some(end)
    }

    fn remove(&mut self, key: CallKey) -> Option<CallEntry<C>> {
        let entry = self.calls.remove(key)?;
        if let Some(keys) = self.by_id.get_mut(&entry.id) {
            keys.retain(|known| *known != key);
            if keys.is_empty() {
                self.by_id.remove(&entry.id);
            }
        }
        Some(entry)
    }

    fn newest(&self, id: &str) -> Option<&Arc<C>> {
        let key = self.by_id.get(id)?.last()?;
        self.calls.get(*key).map(|entry| &entry.call)
    }
}

fn entry_bytes<C>(entry: &CallEntry<C>) -> usize {
    CALL_BYTES + entry.id.len()
}

/// Ids of the calls that the call `id` may be made for, the longest first.
pub(crate) fn parent_ids(id: &str) -> impl Iterator<Item = &str> {
    let separators = id.rmatch_indices(CALL_ID_SEPARATOR);
    let parents = separators.take(MAX_CALL_ID_PARTS);
    parents.map(|(index, _)| &id[..index])
}
