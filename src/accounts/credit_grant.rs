use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Answer of a quota owner to a request for credits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CreditGrant {
    /// Credits, each for one request.
    Granted(u32),
    /// The owner's part of the limit is used up; the next credit is due after this time.
    Exhausted(Duration),
    /// The member hands out no credits of the account now.
    NotOwner,
}
