//! The metadata store of the users' platform: rows, transactions and a feed, with faults.

mod provider_mode;
mod provider_rows;
mod provider_standin;

pub use {
    provider_mode::ProviderMode, provider_rows::ProviderRows, provider_standin::ProviderStandin,
};
