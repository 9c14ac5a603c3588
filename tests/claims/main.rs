//! At most one run of each non-idempotent call, under failures.

mod attempt;
mod decoders;
mod failures;
mod fleet;
mod interleavings;
mod outages;
mod process;
mod repeats;
mod sweep;
mod tables;
