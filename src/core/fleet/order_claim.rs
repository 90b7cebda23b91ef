//! Decides when an entry claims the right to order engines that have no agent,
//! and when it may use that right.

use std::time::Duration;

use crate::core::MonotonicTime;

/// Time for which the store keeps a claim that is not renewed.
pub const CLAIM_TTL: Duration = Duration::from_secs(4);

/// Interval between renewals of a claim.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_300);

/// Time after which a failed request is repeated. A refused one is repeated
/// after [`CLAIM_TTL`].
const RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time before the end of a claim in which no order is sent: an order is under
/// way for up to 400 ms.
const EXPIRY_MARGIN: Duration = Duration::from_millis(800);

/// Time after the start of a claim or of a term in which the new holder sends no
/// order. Engines that see orders of two holders within three seconds treat them as a
/// conflict.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(3_200);

/// Claim that the store has granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimGrant {
    /// Fencing token of the holder's orders: the store's revision of the claim.
    pub fence: u64,
    /// Lease that keeps the claim.
    pub lease: u64,
}

/// Request that an entry has to send to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimStep {
    /// None at present.
    Wait,
    /// Claim the right.
    Acquire,
    /// Renew the lease of the claim.
    Renew(ClaimGrant),
    /// Replace the claim, for a fencing token above that of a newer target
    /// version, or above those of a holder before the current term.
    Refresh(ClaimGrant),
    /// Give up the claim; it is not needed any more.
    Release(u64),
}

/// Claim of one entry to the right to order a group of engines.
#[derive(Debug, Clone, Copy, Default)]
pub struct OrderClaim {
    held: Option<HeldClaim>,
    /// No request is sent before this time.
    next_request_at: MonotonicTime,
    /// When the store was last found to be restored from an older copy.
    restored_at: MonotonicTime,
}

#[derive(Debug, Clone, Copy)]
struct HeldClaim {
    grant: ClaimGrant,
    /// When the request that gave out the fencing token was sent.
    fence_requested_at: MonotonicTime,
    /// Orders may be sent from this time on.
    usable_from: MonotonicTime,
    /// The claim may have ended after this time.
    valid_until: MonotonicTime,
    renew_at: MonotonicTime,
}

impl OrderClaim {
    /// Returns the next request. `is_needed` tells whether engines of the group
    /// need orders from this entry, `newest_revision` is the highest revision of
    /// a target version, and `term_began_at` when the newest term of an engine began,
    /// for which tokens from before do not count.
    pub fn next_step(
        &mut self,
        is_needed: bool,
        newest_revision: u64,
        term_began_at: MonotonicTime,
        now: MonotonicTime,
    ) -> ClaimStep {
        if self.held.is_some_and(|held| held.valid_until <= now) {
            self.held = None;
        }
        let Some(held) = self.held else {
            let is_due = is_needed && self.next_request_at <= now;
            return if is_due {
                ClaimStep::Acquire
            } else {
                ClaimStep::Wait
            };
        };
        if !is_needed {
            return ClaimStep::Release(held.grant.lease);
        }
        if held.renew_at <= now {
            return ClaimStep::Renew(held.grant);
        }
        let is_outdated =
            held.grant.fence <= newest_revision || held.fence_requested_at < term_began_at;
        if is_outdated && self.next_request_at <= now {
            return ClaimStep::Refresh(held.grant);
        }
        ClaimStep::Wait
    }

    /// Records that the claim was granted; the request was sent at `sent_at`.
    pub fn record_acquired(
        &mut self,
        grant: ClaimGrant,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) {
        self.held = Some(HeldClaim {
            grant,
            fence_requested_at: sent_at,
            // The claim before may have been used until it ended, which was
            // before this one began.
            usable_from: self.earliest_use().max(now + TAKEOVER_DELAY),
            valid_until: sent_at + CLAIM_TTL,
            renew_at: sent_at + RENEW_INTERVAL,
        });
    }

    /// Records that the store was found at `at` to be restored from an older copy,
    /// which may have lost this claim and others whose holders do not know it yet.
    pub fn record_restore(&mut self, at: MonotonicTime) {
        if at > self.restored_at {
            self.restored_at = at;
            self.held = None;
        }
    }

    /// Returns when a lost claim of before the last restore is no longer used by
    /// its holder, and the holder after it may begin.
    fn earliest_use(&self) -> MonotonicTime {
        if self.restored_at == MonotonicTime::ZERO {
            return MonotonicTime::ZERO;
        }
        self.restored_at + CLAIM_TTL + TAKEOVER_DELAY
    }

    /// Records that the store has renewed the lease.
    pub fn record_renewed(&mut self, sent_at: MonotonicTime) {
        if let Some(held) = &mut self.held {
            held.valid_until = sent_at + CLAIM_TTL;
            held.renew_at = sent_at + RENEW_INTERVAL;
        }
    }

    /// Records that the claim was replaced by one with a higher fencing token; the
    /// request was sent at `sent_at`.
    pub fn record_refreshed(&mut self, fence: u64, sent_at: MonotonicTime) {
        if let Some(held) = &mut self.held {
            held.grant.fence = held.grant.fence.max(fence);
            held.fence_requested_at = sent_at;
        }
    }

    /// Records that a request had no effect or an unknown one. The claim, if
    /// any, ends by itself unless it is renewed in time.
    pub fn record_failure(&mut self, now: MonotonicTime) {
        self.next_request_at = now + RETRY_INTERVAL;
        if let Some(held) = &mut self.held {
            held.renew_at = held.renew_at.max(now + RETRY_INTERVAL / 3);
        }
    }

    /// Records that the claim has ended or that another process holds it.
    pub fn record_lost(&mut self, now: MonotonicTime) {
        self.held = None;
        self.next_request_at = now + CLAIM_TTL;
    }

    /// Returns the fencing token of the claim, whether usable or not.
    pub fn held_fence(&self, now: MonotonicTime) -> Option<u64> {
        let held = self.held.filter(|held| now < held.valid_until)?;
        Some(held.grant.fence)
    }

    /// Returns the claim, whether orders may be sent under it or not.
    pub fn held_grant(&self, now: MonotonicTime) -> Option<ClaimGrant> {
        let held = self.held.filter(|held| now < held.valid_until)?;
        Some(held.grant)
    }

    /// Returns whether no claim is held.
    pub fn is_idle(&self) -> bool {
        self.held.is_none()
    }

    /// Returns the fencing token with which an order for a target version of
    /// revision `target_revision` may be sent now, to an engine whose term began at
    /// `term_began_at`.
    pub fn usable_fence(
        &self,
        target_revision: u64,
        term_began_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<u64> {
        let held = self.held?;
        let is_usable = held.usable_from <= now
            && now + EXPIRY_MARGIN < held.valid_until
            && held.fence_requested_at >= term_began_at;
        (is_usable && held.grant.fence > target_revision).then_some(held.grant.fence)
    }
}
