use std::sync::atomic::{AtomicU32, Ordering};

/// One more in a count, for as long as it lives.
pub struct CountedPlace<'a>(&'a AtomicU32);

impl<'a> CountedPlace<'a> {
    pub fn take(count: &'a AtomicU32) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for CountedPlace<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
