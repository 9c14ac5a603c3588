use std::time::Duration;

/// Why a request gets no credit of its account's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaRefusal {
    /// The limit is used up; the next credit is due after this time.
    LimitReached(Duration),
    /// No quota owner of the account answers.
    NoOwner,
}
