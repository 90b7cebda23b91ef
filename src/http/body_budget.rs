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
pub struct BodyShare {
    budget: Arc<BodyBudget>,
    taken: usize,
}

impl BodyBudget {
    /// Creates a budget of so many bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            free: AtomicUsize::new(bytes),
        }
    }

    /// Returns a share that has taken nothing yet.
    pub fn share(self: &Arc<Self>) -> BodyShare {
        BodyShare {
            budget: Arc::clone(self),
            taken: 0,
        }
    }
}

impl BodyShare {
    /// Takes more bytes. Returns false if there are not as many.
    pub fn take(&mut self, bytes: usize) -> bool {
        let free = &self.budget.free;
        let taken = free.fetch_update(Ordering::AcqRel, Ordering::Acquire, |free| {
            free.checked_sub(bytes)
        });
        if taken.is_ok() {
            self.taken += bytes;
        }
        taken.is_ok()
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.budget.free.fetch_add(self.taken, Ordering::AcqRel);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn take_until_nothing_is_left() {
        let budget = Arc::new(BodyBudget::new(10));
        let mut first = budget.share();
        assert!(first.take(6));
        assert!(!budget.share().take(5));
        drop(first);
        assert!(budget.share().take(10));
    }
}
