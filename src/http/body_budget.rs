//! Memory budget shared by all request bodies of a process.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Limits the memory that all request bodies of a process hold together.
#[derive(Debug)]
pub struct BodyBudget {
    free_bytes: AtomicUsize,
}

/// Bytes of a [`BodyBudget`] reserved for one body. They are released when the
/// reservation is dropped, so it must live as long as the body.
#[derive(Debug)]
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of `bytes`, all free.
    pub fn new(bytes: usize) -> Self {
        Self {
            free_bytes: AtomicUsize::new(bytes),
        }
    }

    /// Starts a reservation of zero bytes for one body.
    pub fn start_reservation(self: &Arc<Self>) -> BodyReservation {
        BodyReservation {
            budget: Arc::clone(self),
            bytes: 0,
        }
    }
}

impl BodyReservation {
    /// Reserves `bytes` more. Returns false and reserves nothing if fewer are
    /// free.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let free_bytes = &self.budget.free_bytes;
        let reserved = free_bytes.fetch_update(Ordering::AcqRel, Ordering::Acquire, |free_bytes| {
            free_bytes.checked_sub(bytes)
        });
        if reserved.is_ok() {
            self.bytes += bytes;
        }
        reserved.is_ok()
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget
            .free_bytes
            .fetch_add(self.bytes, Ordering::AcqRel);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn try_grow_until_exhausted() {
        let budget = Arc::new(BodyBudget::new(10));
        let mut first = budget.start_reservation();
        assert!(first.try_grow(6));
        assert!(!budget.start_reservation().try_grow(5));
        drop(first);
        assert!(budget.start_reservation().try_grow(10));
    }
}
