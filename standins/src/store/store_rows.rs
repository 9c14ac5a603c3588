use {
    base64::{Engine, engine::general_purpose::STANDARD},
    serde_json::{Value, json},
    std::collections::BTreeMap,
};

#[derive(Clone, Debug)]
struct StoreRow {
    value: String,
    version: u64,
}

/// Rows of all tables, all in the same part (`""`), with the version of the last write.
#[derive(Clone, Debug, Default)]
pub struct StoreRows {
    rows: BTreeMap<(String, String), StoreRow>,
    version: u64,
}

impl StoreRows {
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Writes a row without checking a precondition.
    pub fn put(&mut self, table: &str, key: &str, bytes: &[u8]) {
        self.version += 1;
        self.insert(table, key, STANDARD.encode(bytes));
    }

    /// The keys of a table.
    #[must_use]
    pub fn keys(&self, table: &str) -> Vec<String> {
        let rows = self.rows.keys().filter(|(name, _)| name == table);
        rows.map(|(_, key)| key.clone()).collect()
    }

    /// Rows of a table whose key is at least `from` and whose version is above `after`.
    #[must_use]
    pub fn read(&self, table: &str, from: &str, after: u64) -> Value {
        let is_selected = |((name, key), row): &(&(String, String), &StoreRow)| {
            name == table && key.as_str() >= from && row.version > after
        };
        let rows = self.rows.iter().filter(is_selected);
        let rows: Vec<Value> = rows
            .map(|((table, key), row)| row_json(table, key, row))
            .collect();
        json!({"rows": rows, "has_more": false, "ver": self.version, "now": "1000ms"})
    }

    /// Applies a transaction if all its preconditions hold.
    ///
    /// # Errors
    /// A precondition does not hold; the value has the current rows that the preconditions name.
    pub fn transact(&mut self, body: &Value) -> Result<Value, Value> {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let conditions = list("precondition");
        let is_met = |condition: &Value| {
            let row = self.rows.get(&row_name(condition));
            row.map_or(0, |row| row.version) == condition["ver"].as_u64().unwrap_or_default()
        };
        if !conditions.iter().all(is_met) {
            let names = conditions.iter().map(row_name);
            let found = names.filter_map(|name| {
                let row = self.rows.get(&name)?;
                Some(row_json(&name.0, &name.1, row))
            });
            let rows: Vec<Value> = found.collect();
            return Err(json!({"rows": rows, "ver": self.version}));
        }
        self.version += 1;
        for put in list("puts") {
            let (table, key) = row_name(&put);
            let value = put["value"].as_str().unwrap_or_default();
            self.insert(&table, &key, value.into());
        }
        for removal in list("remove") {
            self.rows.remove(&row_name(&removal));
        }
        Ok(json!({"ver": self.version, "now": "1000ms"}))
    }

    fn insert(&mut self, table: &str, key: &str, value: String) {
        let row = StoreRow {
            value,
            version: self.version,
        };
        self.rows.insert((table.into(), key.into()), row);
    }
}

fn row_name(entry: &Value) -> (String, String) {
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    (text("table"), text("key"))
}

fn row_json(table: &str, key: &str, row: &StoreRow) -> Value {
    json!({"table": table, "part": "", "key": key, "value": row.value, "ver": row.version})
}
