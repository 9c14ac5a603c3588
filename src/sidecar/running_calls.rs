use {
    super::{FailureCause, HopContext, TreeCost},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::time::sleep,
};

/// Separates the id of a call from the suffix that its caller added for a child call.
pub(crate) const CALL_ID_SEPARATOR: char = '.';
/// Time by which a target may count the deadline of a call later than its sidecar does. It counts from
/// when it reads the call.
pub(crate) const MAX_TARGET_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of suffixes that are removed from an id to find the parent call.
const MAX_CALL_ID_PARTS: usize = 4;

/// A call that the local target is running.
#[derive(Debug)]
pub(crate) struct RunningCall {
    pub(crate) context: HopContext,
    /// Cost of its child calls so far.
    tree_cost: Mutex<TreeCost>,
    /// Why the last failed child call failed.
    last_failure: Mutex<Option<FailureCause>>,
}

impl RunningCall {
    pub(crate) fn record_cost(&self, tree_cost: &TreeCost) {
        self.lock_tree_cost().merge(tree_cost);
    }

    pub(crate) fn tree_cost(&self) -> TreeCost {
        self.lock_tree_cost().clone()
    }

    pub(crate) fn record_failure(&self, cause: FailureCause) {
        *self.lock_last_failure() = Some(cause);
    }

    pub(crate) fn last_failure(&self) -> Option<FailureCause> {
        self.lock_last_failure().clone()
    }

    fn lock_last_failure(&self) -> MutexGuard<'_, Option<FailureCause>> {
        self.last_failure
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_tree_cost(&self) -> MutexGuard<'_, TreeCost> {
        self.tree_cost
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Calls that the local target is running, by request id.
///
/// A target does not forward the sidecar's headers, but the ids of its own calls begin with the id
/// of the call that they are made for. The local sidecar, which started that call, finds its
/// context by that prefix.
#[derive(Debug, Default)]
pub(crate) struct RunningCalls {
    calls: Mutex<HashMap<String, Arc<RunningCall>>>,
}

/// An entry of the table; removed on drop.
#[derive(Debug)]
pub(crate) struct RunningGuard {
    table: Arc<RunningCalls>,
    id: String,
    pub(crate) call: Arc<RunningCall>,
}

impl RunningGuard {
    /// Keeps the entry until the deadline has passed by the target's count, too.
    pub(crate) fn expire(self) {
        tokio::spawn(async move {
            sleep(MAX_TARGET_DELAY).await;
            drop(self);
        });
    }
}

impl RunningCalls {
    pub(crate) fn insert(self: &Arc<Self>, id: &str, context: HopContext) -> RunningGuard {
        let call = Arc::new(RunningCall {
            context,
            tree_cost: Mutex::default(),
            last_failure: Mutex::default(),
        });
        self.calls().insert(id.to_owned(), call.clone());
        RunningGuard {
            table: self.clone(),
            id: id.to_owned(),
            call,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.calls().is_empty()
    }

    /// Finds the running call that the call `id` is made for.
    pub(crate) fn parent_of(&self, id: &str) -> Option<Arc<RunningCall>> {
        let calls = self.calls();
        let separators = id.rmatch_indices(CALL_ID_SEPARATOR).take(MAX_CALL_ID_PARTS);
        let mut parents = separators.filter_map(|(index, _)| calls.get(&id[..index]));
        parents.next().cloned()
    }

    fn calls(&self) -> MutexGuard<'_, HashMap<String, Arc<RunningCall>>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        let mut calls = self.table.calls();
        let is_own = calls
            .get(&self.id)
            .is_some_and(|call| Arc::ptr_eq(call, &self.call));
        if is_own {
            calls.remove(&self.id);
        }
    }
}
