//! The one budget of bytes that a process holds for its callers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;

use super::ByteReservation;
use crate::core::fleet::HeldBytes;
use crate::core::fleet::HoldDecision;
use crate::core::fleet::HoldPurpose;
use crate::core::fleet::Holder;
use crate::metrics::MemoryGauges;

/// Limits the memory that bodies, responses and streams of a process hold together.
/// What may be held is decided by [`HeldBytes`].
#[derive(Debug)]
pub struct ByteBudget {
    held: Mutex<HeldBytes>,
    released: Notify,
    refused: AtomicU64,
    waits: AtomicU64,
    stopped_readers: AtomicU64,
}

impl ByteBudget {
    /// Creates a budget of `bytes` that anyone may take whole.
    pub fn new(bytes: usize) -> Self {
        Self::from_held_bytes(HeldBytes::without_shares(bytes))
    }

    /// Creates a budget of `bytes` with shares for accounts and connections.
    pub fn with_shares(bytes: usize) -> Self {
        Self::from_held_bytes(HeldBytes::with_shares(bytes))
    }

    fn from_held_bytes(held: HeldBytes) -> Self {
        Self {
            held: Mutex::new(held),
            released: Notify::new(),
            refused: AtomicU64::new(0),
            waits: AtomicU64::new(0),
            stopped_readers: AtomicU64::new(0),
        }
    }

    /// Starts a reservation of zero bytes for nobody in particular.
    pub fn start_reservation(self: &Arc<Self>) -> ByteReservation {
        self.reserve_for(Holder::default(), HoldPurpose::NewBody)
    }

    /// Starts a reservation of zero bytes.
    pub fn reserve_for(self: &Arc<Self>, holder: Holder, purpose: HoldPurpose) -> ByteReservation {
        ByteReservation::new(Arc::clone(self), holder, purpose)
    }

    /// Returns whether accounts and connections have shares.
    pub fn has_shares(&self) -> bool {
        self.lock().has_shares()
    }

    /// Returns the number of bytes that are held now.
    pub fn held(&self) -> usize {
        self.lock().total()
    }

    /// Returns what is held, and what followed from it, for the metrics.
    pub fn read_gauges(&self) -> MemoryGauges {
        let (held, limit) = {
            let held = self.lock();
            (held.total(), held.limit())
        };
        MemoryGauges {
            held_bytes: held as u64,
            limit_bytes: limit as u64,
            refused: self.refused.load(Ordering::Relaxed),
            waits: self.waits.load(Ordering::Relaxed),
            stopped_readers: self.stopped_readers.load(Ordering::Relaxed),
        }
    }

    /// Counts a reader that was disconnected because it stopped reading.
    pub(super) fn count_stopped_reader(&self) {
        self.stopped_readers.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn check_new_body(&self, holder: &Holder, bytes: usize) -> bool {
        let decision = self.lock().check(holder, bytes, HoldPurpose::NewBody);
        self.count_refusal(decision)
    }

    pub(super) fn try_reserve(&self, holder: &Holder, bytes: usize, purpose: HoldPurpose) -> bool {
        let decision = self.lock().reserve(holder, bytes, purpose);
        self.count_refusal(decision)
    }

    /// Reserves bytes that are not needed, so that they do not count as refused.
    pub(super) fn reserve_unneeded(
        &self,
        holder: &Holder,
        bytes: usize,
        purpose: HoldPurpose,
    ) -> bool {
        self.lock().reserve(holder, bytes, purpose) == HoldDecision::Held
    }

    /// Reserves bytes for a running call once there is room. Returns false if there
    /// never is.
    pub(super) async fn reserve(
        &self,
        holder: &Holder,
        bytes: usize,
        purpose: HoldPurpose,
    ) -> bool {
        let mut has_waited = false;
        loop {
            let released = self.released.notified();
            let decision = self.lock().reserve(holder, bytes, purpose);
            if decision != HoldDecision::Wait {
                return self.count_refusal(decision);
            }
            if !has_waited {
                self.waits.fetch_add(1, Ordering::Relaxed);
            }
            has_waited = true;
            released.await;
        }
    }

    pub(super) fn hold(&self, holder: &Holder, bytes: usize, purpose: HoldPurpose) {
        self.lock().hold(holder, bytes, purpose);
    }

    pub(super) fn release(&self, holder: &Holder, bytes: usize, purpose: HoldPurpose) {
        self.lock().release(holder, bytes, purpose);
        self.released.notify_waiters();
    }

    pub(super) fn end_receipt(&self, holder: &mut Holder, bytes: usize) {
        self.lock().end_receipt(holder, bytes);
        self.released.notify_waiters();
    }

    fn count_refusal(&self, decision: HoldDecision) -> bool {
        let is_held = decision == HoldDecision::Held;
        if !is_held {
            self.refused.fetch_add(1, Ordering::Relaxed);
        }
        is_held
    }

    fn lock(&self) -> MutexGuard<'_, HeldBytes> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
