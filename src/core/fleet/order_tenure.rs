//! Decides when a process may order an engine: its agent, or an entry that
//! replaces an agent that has ended.

use std::time::Duration;

use super::OrderClaim;
use super::TAKEOVER_DELAY;
use crate::core::MonotonicTime;

/// Time without contact to an entry after which an agent no longer counts as the
/// holder. Entries replace an agent only after a longer silence.
const AGENT_CONTACT_MAX_AGE: Duration = Duration::from_secs(3);

/// Time after which an entry's evidence that an engine has no agent is outdated.
const ABSENCE_EVIDENCE_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Right of one process to order one engine.
///
/// A process holds the right as long as it has recent evidence of being the only
/// one: an agent, that entries are in contact with it; an entry, that it reads the
/// engine while the agent's address refuses connections. The first evidence, and
/// the first after a gap, begins a new term. Orders are sent only
///
/// - later than [`TAKEOVER_DELAY`] after the term began, and
/// - under a fencing token that the store gave out after the term began, so that it
///   is above all tokens of earlier holders.
///
/// Neither side needs a message of the other to stop, and what an earlier holder
/// left undone is ordered by the next one.
#[derive(Debug)]
pub struct OrderTenure {
    evidence_max_age: Duration,
    term: u64,
    held: Option<HeldTerm>,
}

#[derive(Debug, Clone, Copy)]
struct HeldTerm {
    began_at: MonotonicTime,
    confirmed_at: MonotonicTime,
    /// Token of the next order; `None` until one was given out in this term.
    fence: Option<u64>,
}

impl OrderTenure {
    /// Creates the state of an agent that no entry has contacted. Terms are counted
    /// from `first_term`, a random number that identifies the run of the agent.
    pub fn of_agent(first_term: u64) -> Self {
        Self::new(AGENT_CONTACT_MAX_AGE, first_term)
    }

    /// Creates the state of an entry without evidence about an engine.
    pub fn of_entry() -> Self {
        Self::new(ABSENCE_EVIDENCE_MAX_AGE, 0)
    }

    fn new(evidence_max_age: Duration, term: u64) -> Self {
        Self {
            evidence_max_age,
            term,
            held: None,
        }
    }

    /// Records evidence that this process alone may order the engine.
    pub fn confirm(&mut self, now: MonotonicTime) {
        match self.current(now) {
            Some(held) => {
                self.held = Some(HeldTerm {
                    confirmed_at: now,
                    ..held
                })
            }
            None => self.begin(now),
        }
    }

    /// Ends the term and begins another, since the engine has seen the token of
    /// another process.
    pub fn restart(&mut self, now: MonotonicTime) {
        if self.current(now).is_some() {
            self.begin(now);
        }
    }

    /// Ends the term, since another process is or may be the holder.
    pub fn end(&mut self) {
        self.held = None;
    }

    fn begin(&mut self, now: MonotonicTime) {
        self.term = self.term.wrapping_add(1);
        self.held = Some(HeldTerm {
            began_at: now,
            confirmed_at: now,
            fence: None,
        });
    }

    fn current(&self, now: MonotonicTime) -> Option<HeldTerm> {
        let is_recent = |held: &HeldTerm| now.since(held.confirmed_at) < self.evidence_max_age;
        self.held.filter(is_recent)
    }

    /// Returns when the current term began.
    pub fn began_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        self.current(now).map(|held| held.began_at)
    }

    /// Returns the number of the current term if no token was given out in it.
    pub fn term_without_fence(&self, now: MonotonicTime) -> Option<u64> {
        let held = self.current(now)?;
        held.fence.is_none().then_some(self.term)
    }

    /// Records a token that the store gave out in the term `term`. One for an earlier
    /// term is ignored.
    pub fn record_fence(&mut self, term: u64, fence: u64) {
        if let Some(held) = self.held.as_mut().filter(|_| self.term == term) {
            held.fence = held.fence.max(Some(fence));
        }
    }

    /// Returns when the first order of the current term may be sent, if a token was
    /// given out in it.
    pub fn earliest_order(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        let held = self.current(now)?;
        held.fence.map(|_| held.began_at + TAKEOVER_DELAY)
    }

    /// Returns the token of an order that is sent now, for a target version of
    /// revision `target_revision`; `None` if no order may be sent. The revision is a
    /// token of the store as well, and tokens of one holder never fall.
    pub fn order_fence(&mut self, target_revision: u64, now: MonotonicTime) -> Option<u64> {
        if self.earliest_order(now)? > now {
            return None;
        }
        let held = self.held.as_mut()?;
        held.fence = held.fence.max(Some(target_revision));
        held.fence
    }

    /// Returns when the first order of the current term may be sent under `claim`.
    pub fn earliest_claimed_order(
        &self,
        claim: &OrderClaim,
        now: MonotonicTime,
    ) -> Option<MonotonicTime> {
        let began_at = self.began_at(now)?;
        claim.usable_fence(0, began_at, now)?;
        Some(began_at + TAKEOVER_DELAY)
    }

    /// Returns the token of an order that is sent now under `claim`, for a target
    /// version of revision `target_revision`; `None` if no order may be sent.
    pub fn claimed_fence(
        &mut self,
        claim: &OrderClaim,
        target_revision: u64,
        now: MonotonicTime,
    ) -> Option<u64> {
        let began_at = self.began_at(now)?;
        let fence = claim.usable_fence(target_revision, began_at, now)?;
        self.record_fence(self.term, fence);
        self.order_fence(target_revision, now)
    }
}
