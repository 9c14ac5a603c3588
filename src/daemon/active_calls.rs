use {
    crate::context::{CallContext, CallId, CallPriority, RequestId},
    std::{
        collections::{HashMap, HashSet},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, Ordering},
        },
    },
    tokio_util::sync::CancellationToken,
};

/// Different calls that one call may make.
const MAX_CHILD_CALLS: usize = 4_096;

/// Calls that the target beside the daemon is running.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveCalls {
    calls: Arc<Mutex<CallMap>>,
}

type CallMap = HashMap<(RequestId, CallId), Arc<ActiveCall>>;

/// A call that the target is running, and what it has called so far.
#[derive(Debug)]
pub(crate) struct ActiveCall {
    pub(crate) context: CallContext,
    /// Nobody waits for the call any more.
    pub(crate) cancelled: CancellationToken,
    child_fingerprints: Mutex<HashSet<u64>>,
    chain_threshold: AtomicU32,
}

/// Whether a call repeats an earlier one of its parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChildCall {
    First,
    Retry,
    /// The parent has made too many different calls.
    TooMany,
}

/// Keeps a call in the table; removes it and cancels its children on drop.
#[derive(Debug)]
pub(crate) struct ActiveEntry {
    calls: ActiveCalls,
    pub(crate) call: Arc<ActiveCall>,
}

impl ActiveCalls {
    pub(crate) fn insert(&self, context: CallContext) -> ActiveEntry {
        let call = Arc::new(ActiveCall {
            context,
            cancelled: CancellationToken::new(),
            child_fingerprints: Mutex::default(),
            chain_threshold: AtomicU32::new(0),
        });
        let key = (call.context.request, call.context.call);
        self.lock().insert(key, call.clone());
        ActiveEntry {
            calls: self.clone(),
            call,
        }
    }

    pub(crate) fn find(&self, request: RequestId, call: CallId) -> Option<Arc<ActiveCall>> {
        self.lock().get(&(request, call)).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, CallMap> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ActiveCall {
    /// Notes a call that this call makes, by its fingerprint.
    pub(crate) fn record_child(&self, fingerprint: u64) -> ChildCall {
        let mut child_fingerprints = self
            .child_fingerprints
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if child_fingerprints.contains(&fingerprint) {
            return ChildCall::Retry;
        }
        if child_fingerprints.len() >= MAX_CHILD_CALLS {
            return ChildCall::TooMany;
        }
        child_fingerprints.insert(fingerprint);
        ChildCall::First
    }

    /// Notes the threshold that an answer brought from further down the chain.
    pub(crate) fn record_threshold(&self, threshold: CallPriority) {
        self.chain_threshold
            .fetch_max(threshold.as_u32(), Ordering::Relaxed);
    }

    /// Highest threshold met below this call.
    pub(crate) fn chain_threshold(&self) -> CallPriority {
        CallPriority::from_u32(self.chain_threshold.load(Ordering::Relaxed))
    }
}

impl Drop for ActiveEntry {
    fn drop(&mut self) {
        let key = (self.call.context.request, self.call.context.call);
        self.calls.lock().remove(&key);
        self.call.cancelled.cancel();
    }
}
