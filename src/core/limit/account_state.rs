//! What an entry knows about one account's tokens.

use std::collections::VecDeque;
use std::time::Duration;

use super::Allowance;
use super::NodeId;
use super::Ticket;
use super::demand::Demand;
use super::held_grants::HeldGrants;
use crate::core::MonotonicTime;

/// What an entry knows about one account's tokens.
#[derive(Debug)]
pub(super) struct AccountState {
    /// What the rules allow.
    pub allowance: Allowance,
    /// Grants held.
    pub held_grants: HeldGrants,
    /// Own requests that wait, oldest first.
    pub waiting: VecDeque<WaitingRequest>,
    /// Requests of other entries for grants, oldest first.
    pub grant_requests: VecDeque<ReceivedGrantRequest>,
    /// Time until which a request for a grant is under way.
    pub request_pending_until: Option<MonotonicTime>,
    /// Use here and by entries that ask here.
    pub demand: Demand,
    /// Millionths of a token used beyond what was charged.
    pub debt: u64,
}

/// An own request that waits for tokens.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingRequest {
    /// Names the request.
    pub ticket: Ticket,
    /// Tokens to charge.
    pub tokens: u64,
    /// Millionths of a token to take: the charge and earlier debt.
    pub micro_tokens: u64,
    /// Time at which it is refused.
    pub deadline: MonotonicTime,
}

/// A request of another entry for a grant.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReceivedGrantRequest {
    /// Entry that asked.
    pub from: NodeId,
    /// Number of the request.
    pub request_id: u64,
    /// Millionths of a token below which a grant is of no use.
    pub min_micro_tokens: u64,
    /// Millionths of a token of use soon, the need included.
    pub desired_micro_tokens: u64,
    /// Time for which the grant would be used.
    pub lifetime: Duration,
    /// Time after which an answer comes too late.
    pub answer_deadline: MonotonicTime,
}

impl AccountState {
    /// Creates the state of an account that nothing is held for.
    pub(super) fn new(allowance: Allowance) -> Self {
        Self {
            allowance,
            held_grants: HeldGrants::default(),
            waiting: VecDeque::new(),
            grant_requests: VecDeque::new(),
            request_pending_until: None,
            demand: Demand::default(),
            debt: 0,
        }
    }

    /// Returns millionths of a token that requests wait for, here and at
    /// entries that ask here.
    pub(super) fn needed_micro_tokens(&self) -> u64 {
        let own: u64 = self
            .waiting
            .iter()
            .map(|waiting| waiting.micro_tokens)
            .sum();
        let others: u64 = self
            .grant_requests
            .iter()
            .map(|request| request.min_micro_tokens)
            .sum();
        own + others
    }

    /// Returns the least millionths of a token that let one request run.
    pub(super) fn min_needed_micro_tokens(&self) -> u64 {
        let own = self.waiting.front().map(|waiting| waiting.micro_tokens);
        let other = self
            .grant_requests
            .front()
            .map(|request| request.min_micro_tokens);
        own.into_iter().chain(other).min().unwrap_or(0)
    }

    /// Tells whether nothing here needs care as time passes.
    pub(super) fn is_idle(&mut self, now: MonotonicTime) -> bool {
        self.waiting.is_empty()
            && self.grant_requests.is_empty()
            && self.held_grants.is_empty(now)
            && self.demand.is_idle(now)
    }
}
