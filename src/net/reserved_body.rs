use {
    super::{
        body_budget::{BodyBudget, BodyReservation, BudgetRefusal},
        segmented_body::SegmentedBody,
    },
    bytes::Bytes,
    std::{mem, sync::Arc},
};

/// Capacity of the smallest segments of a body whose length is not known, in bytes.
const MIN_SEGMENT_BYTES: usize = 16 * 1024;
/// Capacity of the largest segments, in bytes.
const MAX_SEGMENT_BYTES: usize = 256 * 1024;
/// Part of a body whose length is not known that its next segment adds, as a divisor.
const GROWTH_DIVISOR: usize = 4;

/// A request body that is being read, with the memory that is reserved for it.
///
/// Segments are allocated once and never copied, so that no more memory is in use than is reserved.
/// A body that arrives in a single piece is not copied either.
#[derive(Debug)]
pub(super) struct ReservedBody {
    reservation: BodyReservation,
    /// Length that the caller has declared; 0 if it is not known.
    declared: usize,
    length: usize,
    first: Bytes,
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
}

impl ReservedBody {
    pub(super) fn new(budget: &Arc<BodyBudget>, declared: usize) -> Result<Self, BudgetRefusal> {
        Ok(Self {
            reservation: budget.try_reserve(declared)?,
            declared,
            length: 0,
            first: Bytes::new(),
            full: Vec::new(),
            last: Vec::new(),
        })
    }

    pub(super) const fn len(&self) -> usize {
        self.length
    }

    pub(super) fn push(&mut self, data: Bytes) -> Result<(), BudgetRefusal> {
        if self.length == 0 {
            self.length = data.len();
            self.reserve(self.length)?;
            self.first = data;
            return Ok(());
        }
        let first = mem::take(&mut self.first);
        self.length -= first.len();
        self.copy(&first)?;
        self.copy(&data)
    }

    fn copy(&mut self, mut data: &[u8]) -> Result<(), BudgetRefusal> {
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.add_segment()?;
            }
            let room = self.last.capacity() - self.last.len();
            let (fitting, rest) = data.split_at(room.min(data.len()));
            self.last.extend_from_slice(fitting);
            self.length += fitting.len();
            data = rest;
        }
        Ok(())
    }

    fn add_segment(&mut self) -> Result<(), BudgetRefusal> {
        let capacity = match self.declared.checked_sub(self.length) {
            Some(rest) if rest > 0 => rest.min(MAX_SEGMENT_BYTES),
            // The memory of a segment is used again for others of its capacity, so there are few.
            _ => (self.length / GROWTH_DIVISOR)
                .next_power_of_two()
                .clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES),
        };
        self.reserve(self.length + capacity)?;
        let full = mem::replace(&mut self.last, Vec::with_capacity(capacity));
        if !full.is_empty() {
            self.full.push(full);
        }
        Ok(())
    }

    fn reserve(&mut self, bytes: usize) -> Result<(), BudgetRefusal> {
        match bytes.checked_sub(self.reservation.bytes()) {
            Some(missing) if missing > 0 => self.reservation.try_grow(missing),
            _ => Ok(()),
        }
    }

    pub(super) fn into_body(self) -> SegmentedBody {
        if self.last.is_empty() {
            return self.reservation.attach(self.first).into();
        }
        let reservation = Arc::new(self.reservation);
        let segments = self.full.into_iter().chain([self.last]);
        let segments = segments.map(|segment| BodyReservation::share(&reservation, segment.into()));
        segments.collect::<Vec<_>>().into()
    }
}
