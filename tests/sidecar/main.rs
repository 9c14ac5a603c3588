//! Tests of the sidecar's decision logic, without clocks or sockets.

mod account_ranks;
mod admission_dynamics;
mod attempt_history;
mod departure_model;
mod drain_window;
mod headers;
mod ingress_admission;
mod lasting_shortage;
mod load_model;
mod load_simulation;
mod members;
mod peer_table;
mod rate_limit;
mod route_config;
mod route_durations;
mod scarce_target;
mod slot_scheduler;
mod target_retry_budget;
mod target_tracker;
