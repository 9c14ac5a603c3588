//! Decisions on requests that crash their targets, without a network.

mod fleet_model;
mod fleet_rates;
mod request_digest;
mod suspect_table;
mod target_runs;
