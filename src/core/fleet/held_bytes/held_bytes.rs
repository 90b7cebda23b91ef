//! The budget of bytes of one process.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::Hash;
use std::net::SocketAddr;

use super::HoldDecision;
use super::HoldPurpose;
use super::Holder;
use crate::core::AccountName;

/// Fraction of the budget that new bodies may take. The rest is left to the
/// responses of calls that already run.
const NEW_BODY_FRACTION: f64 = 0.75;

/// An account and a connection may hold as much as is free, divided by these numbers.
/// With 1 for accounts, six of them that fill their shares one after another left a
/// 64th of the budget to the next one; with 2 it is an eleventh.
const ACCOUNT_DIVISOR: usize = 2;
const CONNECTION_DIVISOR: usize = 3;

/// A body may take the whole budget divided by this number while nothing else is held.
const ONLY_BODY_DIVISOR: usize = 2;

/// Bytes of responses that each connection may hold whatever its account holds, so that an account
/// that is over its share still ends its calls. Covers twice the bytes that a stream
/// reads at once.
const MIN_CONNECTION_BYTES: usize = 32 * 1024;

/// Counts the bytes that a process holds for its callers, and decides who may hold
/// more.
///
/// With shares, an account may hold at most half of the bytes that stay free and a
/// connection at most a third. One account thus takes at most a third of the budget, and
/// another account finds a share of the rest. A body that is the only thing held may take
/// half of the budget.
#[derive(Debug)]
pub struct HeldBytes {
    limit: usize,
    has_shares: bool,
    total: usize,
    by_account: HashMap<Option<AccountName>, usize>,
    by_connection: HashMap<SocketAddr, usize>,
    responses_by_connection: HashMap<SocketAddr, usize>,
}

impl HeldBytes {
    /// Creates a budget of `limit` bytes that anyone may take whole.
    pub fn without_shares(limit: usize) -> Self {
        Self {
            limit,
            has_shares: false,
            total: 0,
            by_account: HashMap::new(),
            by_connection: HashMap::new(),
            responses_by_connection: HashMap::new(),
        }
    }

    /// Creates a budget of `limit` bytes with shares for accounts and connections.
    pub fn with_shares(limit: usize) -> Self {
        Self {
            has_shares: true,
            ..Self::without_shares(limit)
        }
    }

    /// Returns whether accounts and connections have shares.
    pub fn has_shares(&self) -> bool {
        self.has_shares
    }

    /// Returns the budget in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of bytes that are held.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Counts `bytes` as held if the budget and the shares allow it.
    pub fn reserve(&mut self, holder: &Holder, bytes: usize, purpose: HoldPurpose) -> HoldDecision {
        let decision = self.check(holder, bytes, purpose);
        if decision == HoldDecision::Held {
            self.hold(holder, bytes, purpose);
        }
        decision
    }

    /// Returns the decision of [`Self::reserve`] without counting the bytes.
    pub fn check(&self, holder: &Holder, bytes: usize, purpose: HoldPurpose) -> HoldDecision {
        let total = self.total.saturating_add(bytes);
        if !self.has_shares {
            return if total <= self.limit {
                HoldDecision::Held
            } else {
                HoldDecision::Refuse
            };
        }
        let limit = match purpose {
            HoldPurpose::NewBody => (self.limit as f64 * NEW_BODY_FRACTION) as usize,
            HoldPurpose::RunningCall => self.limit,
        };
        let connection_bytes = look_up(&self.by_connection, holder).saturating_add(bytes);
        let response_bytes = look_up(&self.responses_by_connection, holder).saturating_add(bytes);
        let by_account = self.by_account.get(&holder.account);
        let account_bytes = by_account.copied().unwrap_or(0).saturating_add(bytes);
        let fits = limit.checked_sub(total).is_some_and(|free| {
            let is_within_minimum =
                purpose == HoldPurpose::RunningCall && response_bytes <= MIN_CONNECTION_BYTES;
            let is_within_shares = account_bytes <= free / ACCOUNT_DIVISOR
                && connection_bytes <= free / CONNECTION_DIVISOR;
            is_within_minimum || is_within_shares
        });
        // In calm, so that the largest body that is allowed passes on a small host.
        let is_only_body = purpose == HoldPurpose::NewBody
            && connection_bytes == total
            && total <= self.limit / ONLY_BODY_DIVISOR;
        // With nothing else held, a connection gets `limit / (divisor + 1)`.
        let can_ever_fit = connection_bytes <= limit / (CONNECTION_DIVISOR + 1);
        match purpose {
            _ if fits || is_only_body => HoldDecision::Held,
            HoldPurpose::RunningCall if can_ever_fit => HoldDecision::Wait,
            _ => HoldDecision::Refuse,
        }
    }

    /// Counts `bytes` as held that have already arrived, beyond all limits.
    pub fn hold(&mut self, holder: &Holder, bytes: usize, purpose: HoldPurpose) {
        self.total += bytes;
        if !self.has_shares || bytes == 0 {
            return;
        }
        *self.by_account.entry(holder.account.clone()).or_default() += bytes;
        if let Some(connection) = holder.connection {
            *self.by_connection.entry(connection).or_default() += bytes;
            if purpose == HoldPurpose::RunningCall {
                *self.responses_by_connection.entry(connection).or_default() += bytes;
            }
        }
    }

    /// Releases bytes that the holder holds.
    pub fn release(&mut self, holder: &Holder, bytes: usize, purpose: HoldPurpose) {
        self.total = self.total.saturating_sub(bytes);
        if !self.has_shares || bytes == 0 {
            return;
        }
        subtract(self.by_account.entry(holder.account.clone()), bytes);
        if let Some(connection) = holder.connection {
            subtract(self.by_connection.entry(connection), bytes);
            if purpose == HoldPurpose::RunningCall {
                subtract(self.responses_by_connection.entry(connection), bytes);
            }
        }
    }

    /// Returns the number of accounts and connections for which bytes are held.
    pub fn count_holders(&self) -> (usize, usize) {
        (self.by_account.len(), self.by_connection.len())
    }
}

fn look_up(by_connection: &HashMap<SocketAddr, usize>, holder: &Holder) -> usize {
    let connection = holder.connection.as_ref();
    let bytes = connection.and_then(|connection| by_connection.get(connection));
    bytes.copied().unwrap_or(0)
}

/// Subtracts from a count and removes it at zero, so that the table does not grow.
fn subtract<K: Eq + Hash>(entry: Entry<'_, K, usize>, bytes: usize) {
    if let Entry::Occupied(mut count) = entry {
        *count.get_mut() = count.get().saturating_sub(bytes);
        if *count.get() == 0 {
            count.remove();
        }
    }
}
