//! Claims of non-idempotent calls: under failures each call runs at most once.

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
