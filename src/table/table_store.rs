use {
    super::{TableError, TableRow, TableWrite, WriteResult},
    std::future::Future,
    tokio::sync::watch,
};

/// Access to the table service.
pub trait TableStore: Clone + Send + Sync + 'static {
    /// Epoch of the table service; `None` until it is known.
    ///
    /// A service that can come back from an older copy of itself raises the epoch each time. Rows
    /// and versions of an earlier epoch are void then, and acknowledged writes may be gone. By
    /// default there is only one epoch, which is never known.
    fn epochs(&self) -> watch::Receiver<Option<u64>> {
        watch::Sender::new(None).subscribe()
    }

    /// Commits the writes whose condition holds in one transaction.
    ///
    /// Returns one result per write, in the same order.
    ///
    /// # Errors
    /// The service refused the transaction, or its outcome is unknown.
    fn transact(
        &self,
        writes: Vec<TableWrite>,
    ) -> impl Future<Output = Result<Vec<WriteResult>, TableError>> + Send;

    /// Reads rows by key; returns one result per key, in the same order.
    ///
    /// # Errors
    /// The service refused the request or did not respond.
    fn read(
        &self,
        table: &str,
        keys: Vec<String>,
    ) -> impl Future<Output = Result<Vec<Option<TableRow>>, TableError>> + Send;

    /// Reads up to `limit` rows in key order, starting with the first key greater than `after`.
    ///
    /// # Errors
    /// The service refused the request or did not respond.
    fn scan(
        &self,
        table: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<TableRow>, TableError>> + Send;
}
