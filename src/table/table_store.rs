use {
    super::{TableError, TableRow, TableWrite, WriteResult},
    std::future::Future,
};

/// Access to the table service.
pub trait TableStore: Clone + Send + Sync + 'static {
    /// Commits all rows whose condition holds in one transaction; one result a write, in order.
    ///
    /// # Errors
    /// The service refused, or its answer was lost.
    fn transact(
        &self,
        writes: Vec<TableWrite>,
    ) -> impl Future<Output = Result<Vec<WriteResult>, TableError>> + Send;

    /// Reads rows by key; one result a key, in order.
    ///
    /// # Errors
    /// The service refused or did not answer.
    fn read(
        &self,
        table: &str,
        keys: Vec<String>,
    ) -> impl Future<Output = Result<Vec<Option<TableRow>>, TableError>> + Send;

    /// Reads up to `limit` rows in key order, from the first key after `after`.
    ///
    /// # Errors
    /// The service refused or did not answer.
    fn scan(
        &self,
        table: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<TableRow>, TableError>> + Send;
}
