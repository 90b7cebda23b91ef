//! What an entry knows about one account's tokens.

use std::collections::VecDeque;
use std::time::Duration;

use super::Allowance;
use super::NodeId;
use super::Ticket;
use super::demand::Demand;
use super::purse::Purse;
use crate::core::MonotonicTime;

/// What an entry knows about one account's tokens.
#[derive(Debug)]
pub(super) struct AccountState {
    /// What the rules allow.
    pub allowance: Allowance,
    /// Grants held.
    pub purse: Purse,
    /// Own requests that wait, oldest first.
    pub waiting: VecDeque<Waiting>,
    /// Requests of other entries for grants, oldest first.
    pub asked_of_us: VecDeque<HeldAsk>,
    /// Time until which a request for a grant is under way.
    pub asking_until: Option<MonotonicTime>,
    /// Use here and by entries that ask here.
    pub demand: Demand,
    /// Millionths of a token used beyond what was charged.
    pub debt: u64,
}

/// An own request that waits for tokens.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    /// Names the request.
    pub ticket: Ticket,
    /// Tokens to charge.
    pub tokens: u64,
    /// Millionths of a token to take: the charge and earlier debt.
    pub micros: u64,
    /// Time at which it is refused.
    pub deadline: MonotonicTime,
}

/// A request of another entry for a grant.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldAsk {
    /// Entry that asked.
    pub from: NodeId,
    /// Number of the request.
    pub number: u64,
    /// Millionths of a token below which a grant is of no use.
    pub need: u64,
    /// Millionths of a token of use soon, the need included.
    pub want: u64,
    /// Time for which the grant would be used.
    pub life: Duration,
    /// Time after which an answer comes too late.
    pub until: MonotonicTime,
}

impl AccountState {
    /// Creates the state of an account that nothing is held for.
    pub(super) fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            purse: Purse::default(),
            waiting: VecDeque::new(),
            asked_of_us: VecDeque::new(),
            asking_until: None,
            demand: Demand::default(),
            debt: 0,
        }
    }

    /// Returns millionths of a token that requests wait for, here and at
    /// entries that ask here.
    pub(super) fn needed(&self) -> u64 {
        let own: u64 = self.waiting.iter().map(|waiting| waiting.micros).sum();
        let others: u64 = self.asked_of_us.iter().map(|ask| ask.need).sum();
        own + others
    }

    /// Returns the least millionths of a token that let one request run.
    pub(super) fn first_need(&self) -> u64 {
        let own = self.waiting.front().map(|waiting| waiting.micros);
        let other = self.asked_of_us.front().map(|ask| ask.need);
        own.into_iter().chain(other).min().unwrap_or(0)
    }

    /// Tells whether nothing here needs care as time passes.
    pub(super) fn is_idle(&mut self, now: MonotonicTime) -> bool {
        self.waiting.is_empty()
            && self.asked_of_us.is_empty()
            && self.purse.is_empty(now)
            && self.demand.is_idle(now)
    }
}
