use {
    banyantrestle::table::{TableRow, TableWrite, WriteCondition, WriteResult},
    std::{
        collections::BTreeMap,
        ops::Bound::{Excluded, Unbounded},
    },
};

/// All tables of the service, in memory.
#[derive(Clone, Debug, Default)]
pub struct TableRows {
    tables: BTreeMap<String, BTreeMap<String, TableRow>>,
}

impl TableRows {
    /// Applies the writes whose condition holds; returns one result per write, in order.
    pub fn transact(&mut self, writes: &[TableWrite]) -> Vec<WriteResult> {
        writes.iter().map(|write| self.write(write)).collect()
    }

    #[must_use]
    pub fn read(&self, table: &str, keys: &[String]) -> Vec<Option<TableRow>> {
        keys.iter()
            .map(|key| self.row(table, key).cloned())
            .collect()
    }

    /// At most `limit` rows in key order, from the first key after `after`.
    #[must_use]
    pub fn scan(&self, table: &str, after: &str, limit: usize) -> Vec<TableRow> {
        let Some(rows) = self.tables.get(table) else {
            return Vec::new();
        };
        rows.range::<str, _>((Excluded(after), Unbounded))
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect()
    }

    #[must_use]
    pub fn row(&self, table: &str, key: &str) -> Option<&TableRow> {
        self.tables.get(table)?.get(key)
    }

    /// Number of rows in all tables.
    #[must_use]
    pub fn count(&self) -> usize {
        self.tables.values().map(BTreeMap::len).sum()
    }

    fn write(&mut self, write: &TableWrite) -> WriteResult {
        let row = self.row(&write.table, &write.key);
        if !holds(&write.condition, row) {
            let row = row.cloned();
            return WriteResult::Conflict { row };
        }
        let version = row.map_or(0, |row| row.version) + 1;
        let rows = self.tables.entry(write.table.clone()).or_default();
        match &write.value {
            Some(value) => {
                let row = TableRow {
                    key: write.key.clone(),
                    version,
                    write_id: write.write_id.clone(),
                    value: value.clone(),
                };
                rows.insert(write.key.clone(), row);
            }
            None => {
                rows.remove(&write.key);
            }
        }
        WriteResult::Applied { version }
    }
}

fn holds(condition: &WriteCondition, row: Option<&TableRow>) -> bool {
    match condition {
        WriteCondition::Always => true,
        WriteCondition::Absent => row.is_none(),
        WriteCondition::Version(version) => row.is_some_and(|row| row.version == *version),
        WriteCondition::WriteId(id) => row.is_some_and(|row| row.write_id == *id),
    }
}
