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

/// Maximum number of different child calls that one call may make.
const MAX_CHILD_CALLS: usize = 4_096;

/// Calls that run at the target beside the daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveCalls {
    calls: Arc<Mutex<CallMap>>,
}

type CallMap = HashMap<(RequestId, CallId), Arc<ActiveCall>>;

/// A call that runs at the target, with the calls that it has made so far.
#[derive(Debug)]
pub(crate) struct ActiveCall {
    pub(crate) context: CallContext,
    /// Cancelled once the call has ended; cancels its child calls.
    pub(crate) cancelled: CancellationToken,
    child_fingerprints: Mutex<HashSet<u64>>,
    /// Highest admission threshold that child calls have reported.
    chain_threshold: AtomicU32,
}

/// Whether a child call is a retry of an earlier call of the same parent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChildCall {
    First,
    Retry,
    /// The parent has made [`MAX_CHILD_CALLS`] different calls already.
    TooMany,
}

/// Keeps a call in [`ActiveCalls`]. Removes the call and cancels its child calls on drop.
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
    /// Records a child call by its fingerprint.
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

    /// Records the admission threshold of the call chain below this call, as reported by the response
    /// of a child call.
    pub(crate) fn record_threshold(&self, threshold: CallPriority) {
        self.chain_threshold
            .fetch_max(threshold.as_u32(), Ordering::Relaxed);
    }

    /// Highest admission threshold that the responses of child calls have reported.
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
