//! Decisions on client accounts, without a network: keys, freshness of the configuration, quotas.

mod account_table;
mod config_proof;
mod credit_ledger;
mod credit_purse;
mod fleet_freshness;
mod fleet_quota;
mod owner_reach;
mod quota_model;
