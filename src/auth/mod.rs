//! Authentication between the daemons of one deployment, by a shared key from their settings.

mod shared_key;

pub use shared_key::{KeyGeneration, SharedKey, TAG_BYTES};
