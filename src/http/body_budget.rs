//! Bound on the memory that all bodies being read take together.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

/// Bound on the memory that all request bodies of a process take together.
#[derive(Debug)]
pub struct BodyBudget {
    free: AtomicUsize,
}

/// The part of a budget that one body takes; given back when dropped.
#[derive(Debug)]
pub struct BodyReservation {
    budget: Arc<BodyBudget>,
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of so many bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            free: AtomicUsize::new(bytes),
        }
    }

    /// Returns a share that has taken nothing yet.
    pub fn start_reservation(self: &Arc<Self>) -> BodyReservation {
        BodyReservation {
            budget: Arc::clone(self),
            bytes: 0,
        }
    }
}

impl BodyReservation {
    /// Takes more bytes. Returns false if there are not as many.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let free = &self.budget.free;
        let taken = free.fetch_update(Ordering::AcqRel, Ordering::Acquire, |free| {
            free.checked_sub(bytes)
        });
        if taken.is_ok() {
            self.bytes += bytes;
        }
        taken.is_ok()
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.free.fetch_add(self.bytes, Ordering::AcqRel);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn take_until_nothing_is_left() {
        let budget = Arc::new(BodyBudget::new(10));
        let mut first = budget.start_reservation();
        assert!(first.try_grow(6));
        assert!(!budget.start_reservation().try_grow(5));
        drop(first);
        assert!(budget.start_reservation().try_grow(10));
    }
}
