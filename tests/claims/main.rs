//! At most one run of each non-idempotent call, under failures.

mod attempt;
mod components;
mod decoders;
mod failures;
mod fleet;
mod interleavings;
mod outages;
mod process;
mod retries;
mod sweep;
