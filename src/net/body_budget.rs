use {
    bytes::Bytes,
    std::sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thiserror::Error,
};

/// Largest body that may use the whole budget; the others leave a part of it to these.
const MAX_SMALL_BODY_BYTES: usize = 64 * 1024;
/// Part of the budget that is left to small bodies, as a divisor.
const SMALL_BODY_DIVISOR: usize = 8;

/// Why a body does not fit into the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum BudgetRefusal {
    /// It fits once other bodies have been dropped.
    #[error("other bodies take up the memory")]
    Full,
    /// It is larger than the budget.
    #[error("body is larger than the memory for all bodies")]
    TooLarge,
}

/// Limit of the memory that all bodies of a process take together.
#[derive(Debug)]
pub(crate) struct BodyBudget {
    limit: usize,
    held: AtomicUsize,
}

impl BodyBudget {
    pub(crate) const fn new(limit: usize) -> Self {
        Self {
            limit,
            held: AtomicUsize::new(0),
        }
    }

    /// Bytes that are reserved at present.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Reserves memory for a body until the reservation is dropped.
    pub(crate) fn try_reserve(
        self: &Arc<Self>,
        bytes: usize,
    ) -> Result<BodyReservation, BudgetRefusal> {
        let mut reservation = BodyReservation {
            budget: self.clone(),
            bytes: 0,
        };
        reservation.try_grow(bytes)?;
        Ok(reservation)
    }

    /// Reserves memory for the buffers of a call; unlike a large body, it may use the whole budget.
    pub(crate) fn try_reserve_buffers(
        self: &Arc<Self>,
        bytes: usize,
    ) -> Result<BodyReservation, BudgetRefusal> {
        let budget = self.clone();
        let mut reservation = BodyReservation { budget, bytes: 0 };
        reservation.grow_within(bytes, self.limit)?;
        Ok(reservation)
    }

    /// Bytes that a body of `length` and all others may take together.
    const fn limit_for(&self, length: usize) -> usize {
        if length <= MAX_SMALL_BODY_BYTES {
            self.limit
        } else {
            self.limit - self.limit / SMALL_BODY_DIVISOR
        }
    }
}

/// Memory that is reserved for one body.
#[derive(Debug)]
pub(crate) struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyReservation {
    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves more memory for the same body.
    pub(crate) fn try_grow(&mut self, bytes: usize) -> Result<(), BudgetRefusal> {
        let limit = self.budget.limit_for(self.bytes.saturating_add(bytes));
        self.grow_within(bytes, limit)
    }

    fn grow_within(&mut self, bytes: usize, limit: usize) -> Result<(), BudgetRefusal> {
        let length = self.bytes.saturating_add(bytes);
        if length > limit {
            return Err(BudgetRefusal::TooLarge);
        }
        let add = |held: usize| held.checked_add(bytes).filter(|&held| held <= limit);
        self.budget
            .held
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .map_err(|_| BudgetRefusal::Full)?;
        self.bytes = length;
        Ok(())
    }

    /// Keeps the reservation until `data` and all clones of it have been dropped.
    pub(crate) fn attach(self, data: Bytes) -> Bytes {
        if data.is_empty() {
            return data;
        }
        Self::share(&Arc::new(self), data)
    }

    /// Keeps a reservation that several parts of a body share until `data` and all clones of it
    /// have been dropped.
    pub(super) fn share(reservation: &Arc<Self>, data: Bytes) -> Bytes {
        Bytes::from_owner(ReservedBytes {
            data,
            _reservation: reservation.clone(),
        })
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes with the memory that is reserved for them.
#[derive(Debug)]
struct ReservedBytes {
    data: Bytes,
    _reservation: Arc<BodyReservation>,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
