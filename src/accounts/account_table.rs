use {
    super::{AccountRule, KeyDigest, KeyHasher},
    std::{
        collections::{HashMap, hash_map::Entry},
        sync::Arc,
    },
    thiserror::Error,
};

/// Maximum number of accounts in one configuration.
const MAX_ACCOUNTS: usize = 100_000;
/// Maximum number of keys of one account.
const MAX_ACCOUNT_KEYS: usize = 1_000;

/// Why the accounts of a configuration are not valid; names accounts, never keys.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidAccounts {
    #[error("accounts {first:?} and {second:?} hold the same key")]
    SharedKey { first: Arc<str>, second: Arc<str> },
    #[error("account {0:?} has an empty key")]
    EmptyKey(Arc<str>),
    #[error("account {0:?} has more than {MAX_ACCOUNT_KEYS} keys")]
    TooManyKeys(Arc<str>),
    #[error("there are more than {MAX_ACCOUNTS} accounts")]
    TooManyAccounts,
}

/// The accounts of one configuration, found by their keys.
#[derive(Clone, Debug)]
pub struct AccountTable {
    hasher: KeyHasher,
    by_key: HashMap<KeyDigest, Arc<AccountRule>>,
    by_name: HashMap<Arc<str>, Arc<AccountRule>>,
}

impl AccountTable {
    /// Creates a table of accounts, each with its keys.
    ///
    /// # Errors
    /// Two accounts hold the same key, a key is empty, or a limit on the size is exceeded.
    pub fn new<K: AsRef<[u8]>>(
        hasher: KeyHasher,
        accounts: impl IntoIterator<Item = (AccountRule, impl IntoIterator<Item = K>)>,
    ) -> Result<Self, InvalidAccounts> {
        let mut table = Self {
            hasher,
            by_key: HashMap::new(),
            by_name: HashMap::new(),
        };
        for (rule, keys) in accounts {
            let rule = Arc::new(rule);
            if table.by_name.len() >= MAX_ACCOUNTS {
                return Err(InvalidAccounts::TooManyAccounts);
            }
            table.by_name.insert(rule.name.clone(), rule.clone());
            for (index, key) in keys.into_iter().enumerate() {
                if index >= MAX_ACCOUNT_KEYS {
                    return Err(InvalidAccounts::TooManyKeys(rule.name.clone()));
                }
                table.insert_key(key.as_ref(), &rule)?;
            }
        }
        Ok(table)
    }

    fn insert_key(&mut self, key: &[u8], rule: &Arc<AccountRule>) -> Result<(), InvalidAccounts> {
        if key.is_empty() {
            return Err(InvalidAccounts::EmptyKey(rule.name.clone()));
        }
        match self.by_key.entry(self.hasher.digest(key)) {
            Entry::Vacant(entry) => {
                entry.insert(rule.clone());
            }
            Entry::Occupied(entry) if entry.get().name == rule.name => {}
            Entry::Occupied(entry) => {
                return Err(InvalidAccounts::SharedKey {
                    first: entry.get().name.clone(),
                    second: rule.name.clone(),
                });
            }
        }
        Ok(())
    }

    pub(crate) fn digest(&self, key: &[u8]) -> KeyDigest {
        self.hasher.digest(key)
    }

    /// The account that holds the key.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<&Arc<AccountRule>> {
        self.find_digest(self.digest(key))
    }

    pub(crate) fn find_digest(&self, digest: KeyDigest) -> Option<&Arc<AccountRule>> {
        self.by_key.get(&digest)
    }

    #[must_use]
    pub fn find_name(&self, name: &str) -> Option<&Arc<AccountRule>> {
        self.by_name.get(name)
    }

    pub fn accounts(&self) -> impl Iterator<Item = &Arc<AccountRule>> {
        self.by_name.values()
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
