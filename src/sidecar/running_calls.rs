use {
    super::{
        FailureCause, HopContext, TreeCost,
        call_table::{CallGuard, CallTable, TableCall},
    },
    crate::time::TimePoint,
    std::sync::{Mutex, MutexGuard, PoisonError},
};

/// Calls that the local target may be running.
///
/// A target does not forward the sidecar's headers, but the ids of its own calls begin with the id
/// of the call that they are made for. The local sidecar finds the context of that call by the
/// prefix.
pub(crate) type RunningCalls = CallTable<RunningCall>;

pub(crate) type RunningGuard = CallGuard<RunningCall>;

/// A call that the local target may be running.
#[derive(Debug)]
pub(crate) struct RunningCall {
    pub(crate) context: HopContext,
    /// Cost of its child calls so far.
    tree_cost: Mutex<TreeCost>,
    /// Why the last failed child call failed.
    last_failure: Mutex<Option<FailureCause>>,
}

impl TableCall for RunningCall {
    fn deadline(&self) -> TimePoint {
        self.context.deadline
    }
}

impl RunningCall {
    pub(crate) fn new(context: HopContext) -> Self {
        Self {
            context,
            tree_cost: Mutex::default(),
            last_failure: Mutex::default(),
        }
    }

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
