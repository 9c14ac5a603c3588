//! Authentication between daemons of one deployment, by a key from their settings.

mod shared_key;

pub use shared_key::{SharedKey, TAG_BYTES};
