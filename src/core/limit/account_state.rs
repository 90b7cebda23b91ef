//! Per-account state of a limiter: held grants, waiting requests and received
//! grant requests.

use std::collections::VecDeque;
use std::time::Duration;

use super::Allowance;
use super::NodeId;
use super::Ticket;
use super::demand::Demand;
use super::held_grants::HeldGrants;
use crate::core::MonotonicTime;

/// State that an entry keeps for one account, created at the first request for
/// it, from a caller or another entry.
#[derive(Debug)]
pub(super) struct AccountState {
    /// Rate and burst from the current rules.
    pub allowance: Allowance,
    /// Grants that this entry received for the account.
    pub held_grants: HeldGrants,
    /// Requests at this entry that wait for tokens, oldest first.
    pub waiting: VecDeque<WaitingRequest>,
    /// Grant requests from other entries that are not yet answered, oldest
    /// first.
    pub grant_requests: VecDeque<ReceivedGrantRequest>,
    /// Expiry of the grant request in flight; no other is sent before it,
    /// unless a grant arrives or the request is given up.
    pub request_pending_until: Option<MonotonicTime>,
    /// Recent use by requests here and by grant requests received.
    pub demand: Demand,
    /// Micro-tokens that requests used beyond their charge; the next requests
    /// pay them.
    pub debt: u64,
}

/// A request at this entry that waits for tokens.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingRequest {
    /// Ticket under which the decision is returned.
    pub ticket: Ticket,
    /// Tokens to charge if it is admitted.
    pub tokens: u64,
    /// Micro-tokens to take: the charge and the debt of earlier requests.
    pub micro_tokens: u64,
    /// Time at which the request is refused.
    pub deadline: MonotonicTime,
}

/// A grant request from another entry for one account.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReceivedGrantRequest {
    /// Requesting entry.
    pub from: NodeId,
    /// Id that the requesting entry gave the request.
    pub request_id: u64,
    /// Smallest grant that is useful now, in micro-tokens.
    pub min_micro_tokens: u64,
    /// Micro-tokens that the entry will use soon, including the minimum.
    pub desired_micro_tokens: u64,
    /// Time for which the entry would use the grant.
    pub lifetime: Duration,
    /// Time after which the request is dropped, as an answer would arrive too
    /// late.
    pub answer_deadline: MonotonicTime,
}

impl AccountState {
    /// Creates the state of an account without grants, requests or debt.
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

    /// Returns the micro-tokens that waiting requests and received grant
    /// requests need at the least.
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

    /// Returns the micro-tokens that let the oldest waiting request run, or the
    /// oldest received grant request be answered, whichever needs fewer; 0 if
    /// there is neither.
    pub(super) fn min_needed_micro_tokens(&self) -> u64 {
        let own = self.waiting.front().map(|waiting| waiting.micro_tokens);
        let other = self
            .grant_requests
            .front()
            .map(|request| request.min_micro_tokens);
        own.into_iter().chain(other).min().unwrap_or(0)
    }

    /// Returns whether [`Limiter::tick`](super::Limiter::tick) may skip the
    /// account.
    pub(super) fn is_idle(&mut self, now: MonotonicTime) -> bool {
        self.waiting.is_empty()
            && self.grant_requests.is_empty()
            && self.held_grants.is_empty(now)
            && self.demand.is_idle(now)
    }
}
