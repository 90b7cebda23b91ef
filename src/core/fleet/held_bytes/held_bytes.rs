//! The budget of bytes of one process.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::hash::Hash;
use std::net::SocketAddr;

use super::ArrivingResponses;
use super::HoldDecision;
use super::HoldPurpose;
use super::Holder;
use crate::core::AccountName;

/// Fraction of the budget that bodies of requests may take, and also that responses may.
/// Each leaves room for the other: responses to the calls that already run, and calls
/// that need no long response.
const PURPOSE_FRACTION: f64 = 0.75;

/// Fraction of the budget that send buffers of slow readers may take at the end of a
/// process. The rest is left to the calls that still run.
const SEND_BUFFER_FRACTION: f64 = 0.5;

/// An account and a connection may hold as much as is free, divided by these numbers; the
/// responses that a server still sends count like those of an account. With 1 for accounts,
/// six of them that fill their shares one after another would leave an 85th of the budget
/// for their purpose; with 2 they leave a fifteenth.
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
/// connection at most a third, of bodies of requests and again of responses. Responses that
/// have not arrived whole also have a share by server, like that of an account, of which an
/// account may hold as much as stays free. Send buffers have a part and shares of their own,
/// so that no call waits for them. One account thus takes at most a quarter of the
/// budget for responses, whatever its servers send, and still finds room for its requests,
/// and another account finds a share of the rest. A body that is the only thing held may
/// take half of the budget.
#[derive(Debug)]
pub struct HeldBytes {
    limit: usize,
    has_shares: bool,
    bodies: PurposeBytes,
    responses: PurposeBytes,
    send_buffers: PurposeBytes,
    arriving: ArrivingResponses,
}

/// Bytes that are held for one purpose.
#[derive(Debug, Default)]
struct PurposeBytes {
    total: usize,
    by_account: HashMap<Option<AccountName>, usize>,
    by_connection: HashMap<SocketAddr, usize>,
}

impl PurposeBytes {
    fn of_account(&self, holder: &Holder) -> usize {
        let by_account = self.by_account.get(&holder.account);
        by_account.copied().unwrap_or(0)
    }

    /// Returns whether `bytes` more are within the share of an account, if `free` bytes stay
    /// free.
    fn fits_account(&self, holder: &Holder, bytes: usize, free: usize) -> bool {
        self.of_account(holder).saturating_add(bytes) <= free / ACCOUNT_DIVISOR
    }

    fn of_connection(&self, holder: &Holder) -> usize {
        look_up(&self.by_connection, holder.connection)
    }
}

impl HeldBytes {
    /// Creates a budget of `limit` bytes that anyone may take whole.
    pub fn without_shares(limit: usize) -> Self {
        Self {
            limit,
            has_shares: false,
            bodies: PurposeBytes::default(),
            responses: PurposeBytes::default(),
            send_buffers: PurposeBytes::default(),
            arriving: ArrivingResponses::default(),
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
        self.bodies.total + self.responses.total + self.send_buffers.total
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
        let total = self.total().saturating_add(bytes);
        if !self.has_shares {
            return if total <= self.limit {
                HoldDecision::Held
            } else {
                HoldDecision::Refuse
            };
        }
        match purpose {
            HoldPurpose::NewBody => self.check_body(holder, bytes),
            HoldPurpose::RunningCall => self.check_response(holder, bytes),
            HoldPurpose::SendBuffer => self.check_send_buffer(holder, bytes),
        }
    }

    fn check_send_buffer(&self, holder: &Holder, bytes: usize) -> HoldDecision {
        let for_buffers = (self.limit as f64 * SEND_BUFFER_FRACTION) as usize;
        let buffer_total = self.send_buffers.total.saturating_add(bytes);
        let free = self.limit.checked_sub(self.total().saturating_add(bytes));
        let free_for_buffers = for_buffers.checked_sub(buffer_total);
        let fits = free
            .zip(free_for_buffers)
            .is_some_and(|(free, for_buffers)| {
                let free = free.min(for_buffers);
                self.send_buffers.fits_account(holder, bytes, free)
            });
        if fits {
            HoldDecision::Held
        } else {
            HoldDecision::Refuse
        }
    }

    fn check_body(&self, holder: &Holder, bytes: usize) -> HoldDecision {
        let total = self.total().saturating_add(bytes);
        let body_total = self.bodies.total.saturating_add(bytes);
        let free = self.limit.checked_sub(total);
        let free_for_bodies = self.purpose_limit().checked_sub(body_total);
        let fits = free.zip(free_for_bodies).is_some_and(|(free, for_bodies)| {
            let free = free.min(for_bodies);
            self.bodies.fits_account(holder, bytes, free)
                && self.fits_connection(holder, bytes, free)
        });
        // In calm, so that the largest body that is allowed passes on a small host.
        let is_only_body = self.connection_bytes_with(holder, bytes) == total
            && total <= self.limit / ONLY_BODY_DIVISOR;
        if fits || is_only_body {
            HoldDecision::Held
        } else {
            HoldDecision::Refuse
        }
    }

    fn check_response(&self, holder: &Holder, bytes: usize) -> HoldDecision {
        let total = self.total().saturating_add(bytes);
        let response_total = self.responses.total.saturating_add(bytes);
        let free_for_responses = self.purpose_limit().checked_sub(response_total);
        let is_small =
            self.responses.of_connection(holder).saturating_add(bytes) <= MIN_CONNECTION_BYTES;
        let fits = self.limit.checked_sub(total).is_some_and(|free| {
            let is_within_shares = |for_responses| {
                self.responses
                    .fits_account(holder, bytes, free.min(for_responses))
                    && self.fits_connection(holder, bytes, free)
                    && self.arriving.fits(holder, bytes, free / ACCOUNT_DIVISOR)
            };
            is_small || free_for_responses.is_some_and(is_within_shares)
        });
        // With nothing else held, a connection gets `limit / (divisor + 1)`.
        let can_ever_fit =
            self.connection_bytes_with(holder, bytes) <= self.limit / (CONNECTION_DIVISOR + 1);
        if fits {
            HoldDecision::Held
        } else if can_ever_fit {
            HoldDecision::Wait
        } else {
            HoldDecision::Refuse
        }
    }

    /// Returns whether `bytes` more are within the share of a connection, if `free` bytes
    /// stay free.
    fn fits_connection(&self, holder: &Holder, bytes: usize, free: usize) -> bool {
        self.connection_bytes_with(holder, bytes) <= free / CONNECTION_DIVISOR
    }

    fn connection_bytes_with(&self, holder: &Holder, bytes: usize) -> usize {
        let bodies = self.bodies.of_connection(holder);
        let responses = self.responses.of_connection(holder);
        bodies.saturating_add(responses).saturating_add(bytes)
    }

    fn purpose_limit(&self) -> usize {
        (self.limit as f64 * PURPOSE_FRACTION) as usize
    }

    /// Counts `bytes` as held that have already arrived, beyond all limits.
    pub fn hold(&mut self, holder: &Holder, bytes: usize, purpose: HoldPurpose) {
        let has_shares = self.has_shares && bytes > 0;
        let held = self.of_purpose_mut(purpose);
        held.total += bytes;
        if !has_shares {
            return;
        }
        *held.by_account.entry(holder.account.clone()).or_default() += bytes;
        if let Some(connection) = holder.connection {
            *held.by_connection.entry(connection).or_default() += bytes;
        }
        if purpose == HoldPurpose::RunningCall {
            self.arriving.add(holder, bytes);
        }
    }

    /// Releases bytes that the holder holds.
    pub fn release(&mut self, holder: &Holder, bytes: usize, purpose: HoldPurpose) {
        let has_shares = self.has_shares && bytes > 0;
        let held = self.of_purpose_mut(purpose);
        held.total = held.total.saturating_sub(bytes);
        if !has_shares {
            return;
        }
        subtract(held.by_account.entry(holder.account.clone()), bytes);
        if let Some(connection) = holder.connection {
            subtract(held.by_connection.entry(connection), bytes);
        }
        if purpose == HoldPurpose::RunningCall {
            self.arriving.subtract(holder, bytes);
        }
    }

    /// Ends the part of a server in bytes that have all arrived: only the caller can release
    /// them now, so they count toward the shares of its account and connection alone.
    pub fn end_receipt(&mut self, holder: &mut Holder, bytes: usize) {
        if self.has_shares && bytes > 0 {
            self.arriving.subtract(holder, bytes);
        }
        holder.server = None;
    }

    /// Returns the number of accounts and connections for which bytes are held, and of
    /// servers whose responses have not arrived whole. An account or a connection counts
    /// once for each purpose.
    pub fn count_holders(&self) -> (usize, usize, usize) {
        let purposes = [&self.bodies, &self.responses, &self.send_buffers];
        (
            purposes.iter().map(|held| held.by_account.len()).sum(),
            purposes.iter().map(|held| held.by_connection.len()).sum(),
            self.arriving.count_servers(),
        )
    }

    fn of_purpose_mut(&mut self, purpose: HoldPurpose) -> &mut PurposeBytes {
        match purpose {
            HoldPurpose::NewBody => &mut self.bodies,
            HoldPurpose::RunningCall => &mut self.responses,
            HoldPurpose::SendBuffer => &mut self.send_buffers,
        }
    }
}

fn look_up(bytes: &HashMap<SocketAddr, usize>, address: Option<SocketAddr>) -> usize {
    let bytes = address.and_then(|address| bytes.get(&address));
    bytes.copied().unwrap_or(0)
}

/// Subtracts from a count and removes it at zero, so that the table does not grow.
pub(super) fn subtract<K: Eq + Hash>(entry: Entry<'_, K, usize>, bytes: usize) {
    if let Entry::Occupied(mut count) = entry {
        *count.get_mut() = count.get().saturating_sub(bytes);
        if *count.get() == 0 {
            count.remove();
        }
    }
}
