use {
    std::{
        ops::ControlFlow,
        pin::pin,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::time::timeout,
};

/// Checks in a row without received bytes after which a connection is silent. A pause of this
/// process passes for one check, since the bytes of that time are read after it.
const MAX_SILENT_CHECKS: u32 = 2;

/// Tells whether bytes are received on a connection whose peer responds to PINGs.
#[derive(Clone, Debug)]
pub(crate) struct SilenceWatch {
    connection: Arc<WatchedConnection>,
    limit: Duration,
}

#[derive(Debug, Default)]
struct WatchedConnection {
    reads: AtomicU64,
    is_silent: AtomicBool,
}

impl SilenceWatch {
    pub(super) fn new(limit: Duration) -> Self {
        Self {
            connection: Arc::default(),
            limit,
        }
    }

    /// Records that bytes were received.
    pub(super) fn record_read(&self) {
        self.connection.reads.fetch_add(1, Ordering::Relaxed);
        self.connection.is_silent.store(false, Ordering::Relaxed);
    }

    /// Whether nothing has been received for the limit while a response was due.
    pub(super) fn is_silent(&self) -> bool {
        self.connection.is_silent.load(Ordering::Relaxed)
    }

    /// Waits for a response or a part of it. `on_silence` is called each time that nothing has been
    /// received for the limit; the result is `None` once it returns `Break`.
    pub(crate) async fn run<R, S>(&self, response: R, mut on_silence: S) -> Option<R::Output>
    where
        R: Future,
        S: FnMut() -> ControlFlow<()>,
    {
        let mut response = pin!(response);
        let mut reads = self.reads();
        let mut silent_checks = 0;
        loop {
            let waiting = timeout(self.limit / MAX_SILENT_CHECKS, response.as_mut());
            if let Ok(output) = waiting.await {
                return Some(output);
            }
            let earlier_reads = std::mem::replace(&mut reads, self.reads());
            if reads != earlier_reads {
                silent_checks = 0;
                continue;
            }
            silent_checks += 1;
            if silent_checks < MAX_SILENT_CHECKS {
                continue;
            }
            silent_checks = 0;
            self.connection.is_silent.store(true, Ordering::Relaxed);
            if on_silence().is_break() {
                return None;
            }
        }
    }

    fn reads(&self) -> u64 {
        self.connection.reads.load(Ordering::Relaxed)
    }
}
