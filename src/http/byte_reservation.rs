//! Bytes of a budget that are reserved for one body or stream.

use std::sync::Arc;

use bytes::Bytes;

use super::ByteBudget;
use crate::core::fleet::HoldPurpose;
use crate::core::fleet::Holder;

/// Bytes of a [`ByteBudget`] reserved for one body or stream. They are released when
/// the reservation is dropped, so it must live as long as the content.
#[derive(Debug)]
pub struct ByteReservation {
    budget: Arc<ByteBudget>,
    holder: Holder,
    purpose: HoldPurpose,
    bytes: usize,
}

/// Content together with its reservation.
struct HeldContent {
    content: Bytes,
    _reservation: ByteReservation,
}

impl AsRef<[u8]> for HeldContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

impl ByteReservation {
    pub(super) fn new(budget: Arc<ByteBudget>, holder: Holder, purpose: HoldPurpose) -> Self {
        Self {
            budget,
            holder,
            purpose,
            bytes: 0,
        }
    }

    /// Returns whether a new body of `bytes` may be read. Without shares any may, and it
    /// is refused once there is no room.
    pub fn allows_new_body(&self, bytes: usize) -> bool {
        !self.budget.has_shares() || self.budget.check_new_body(&self.holder, bytes)
    }

    /// Reserves `bytes` more. Returns false and reserves nothing if they
    /// must not be held now.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let is_held = self.budget.try_reserve(&self.holder, bytes, self.purpose);
        if is_held {
            self.bytes += bytes;
        }
        is_held
    }

    /// Reserves `bytes` more like [`Self::try_grow`], without which its user goes on.
    pub fn grow_if_free(&mut self, bytes: usize) -> bool {
        let budget = &self.budget;
        let is_held = budget.reserve_unneeded(&self.holder, bytes, self.purpose);
        if is_held {
            self.bytes += bytes;
        }
        is_held
    }

    /// Gives `bytes` back.
    pub fn shrink(&mut self, bytes: usize) {
        self.set_held(self.bytes.saturating_sub(bytes));
    }

    /// Reserves `bytes` more like [`Self::try_grow`], but for a running call waits for room
    /// if the budget has shares. Returns false and reserves nothing if there never is room.
    pub async fn grow(&mut self, bytes: usize) -> bool {
        let is_held = self.budget.reserve(&self.holder, bytes, self.purpose).await;
        if is_held {
            self.bytes += bytes;
        }
        is_held
    }

    /// Reserves up to `bytes` in total like [`Self::grow`].
    pub async fn grow_to(&mut self, bytes: usize) -> bool {
        let missing = bytes.saturating_sub(self.bytes);
        missing == 0 || self.grow(missing).await
    }

    /// Sets the reservation to `bytes` that have arrived, whether there is room or not.
    pub fn set_held(&mut self, bytes: usize) {
        if bytes > self.bytes {
            self.budget
                .hold(&self.holder, bytes - self.bytes, self.purpose);
        } else if bytes < self.bytes {
            self.budget
                .release(&self.holder, self.bytes - bytes, self.purpose);
        }
        self.bytes = bytes;
    }

    /// Tells that the response has arrived whole, so that its bytes no longer count toward
    /// the share of its server.
    pub fn end_receipt(&mut self) {
        self.budget.end_receipt(&mut self.holder, self.bytes);
    }

    /// Moves the reservation of `content` into it, so that its bytes are released when
    /// the last clone is dropped.
    pub fn attach_part(&mut self, content: Bytes) -> Bytes {
        let bytes = content.len().min(self.bytes);
        self.bytes -= bytes;
        let part = Self {
            budget: Arc::clone(&self.budget),
            holder: self.holder.clone(),
            purpose: self.purpose,
            bytes,
        };
        part.attach(content)
    }

    /// Moves the reservation into `content`, so that it is released when the last clone
    /// is dropped.
    pub fn attach(self, content: Bytes) -> Bytes {
        Bytes::from_owner(HeldContent {
            content,
            _reservation: self,
        })
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.release(&self.holder, self.bytes, self.purpose);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against bytes that are never given back.
    #[test]
    fn try_grow_until_exhausted() {
        let budget = Arc::new(ByteBudget::new(10));
        let mut first = budget.start_reservation();
        assert!(first.try_grow(6));
        assert!(!budget.start_reservation().try_grow(5));
        drop(first);
        assert!(budget.start_reservation().try_grow(10));
    }

    /// Guards against bytes that are released while a clone of their content is used.
    #[test]
    fn attach_part_releases_with_last_clone() {
        let budget = Arc::new(ByteBudget::new(10));
        let mut reservation = budget.start_reservation();
        assert!(reservation.try_grow(6));
        let content = reservation.attach_part(Bytes::from_static(b"abcd"));
        drop(reservation);
        let clone = content.clone();
        drop(content);
        assert_eq!(budget.held(), 4);
        drop(clone);
        assert_eq!(budget.held(), 0);
    }
}
