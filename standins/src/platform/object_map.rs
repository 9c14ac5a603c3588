use {
    bytes::Bytes,
    std::{
        collections::BTreeMap,
        ops::Bound::{Included, Unbounded},
    },
};

/// All objects of the store, in memory.
#[derive(Debug, Default)]
pub(super) struct ObjectMap {
    objects: BTreeMap<String, Bytes>,
}

impl ObjectMap {
    pub(super) fn put(&mut self, name: &str, body: Bytes) {
        self.objects.insert(name.into(), body);
    }

    pub(super) fn get(&self, name: &str) -> Option<Bytes> {
        self.objects.get(name).cloned()
    }

    pub(super) fn names(&self, prefix: &str) -> Vec<&str> {
        self.objects
            .range::<str, _>((Included(prefix), Unbounded))
            .map(|(name, _)| name.as_str())
            .take_while(|name| name.starts_with(prefix))
            .collect()
    }
}
