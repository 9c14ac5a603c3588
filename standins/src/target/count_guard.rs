use std::sync::atomic::{AtomicU32, Ordering};

/// Increments a counter and decrements it when dropped.
pub struct CountGuard<'a>(&'a AtomicU32);

impl<'a> CountGuard<'a> {
    pub fn new(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
