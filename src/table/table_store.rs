use {
    super::{TableError, TableRow, TableWrite, WriteResult},
    std::future::Future,
};

/// Access to the table service.
pub trait TableStore: Clone + Send + Sync + 'static {
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
