//! Shares this entry's rate limiter between its threads, and queues the
//! messages that it sends to other entries.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::core::AccountName;
use crate::core::MonotonicTime;
use crate::core::ProcessIncarnation;
use crate::core::limit::AccountId;
use crate::core::limit::AdmissionDecision;
use crate::core::limit::Allowance;
use crate::core::limit::Charge;
use crate::core::limit::Limiter;
use crate::core::limit::LiveEntries;
use crate::core::limit::LiveEntry;
use crate::core::limit::NodeId;
use crate::core::limit::Origin;
use crate::core::limit::OutgoingMessage;
use crate::core::limit::ShareMessage;
use crate::core::limit::ShareParameters;
use crate::core::limit::Ticket;
use crate::rules::RuleSet;

/// Interval of [`Limiter::tick`], which does the limiter's timed work, such as
/// refusing requests that have waited too long.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// A message about shares of the accounts' rates, queued for another entry.
#[derive(Debug)]
pub struct QueuedMessage {
    /// Entry that the message is for.
    pub node: NodeId,
    /// Peer address of that entry.
    pub address: SocketAddr,
    /// Message as the limiter created it.
    pub message: ShareMessage,
}

/// The rate limiter of this entry behind a lock. Methods hold the lock only
/// briefly and never across an await point.
#[derive(Debug)]
pub struct SharedLimiter {
    origin: Origin,
    started_at: Instant,
    state: Mutex<LimiterState>,
    outbox: mpsc::UnboundedSender<QueuedMessage>,
}

#[derive(Debug)]
struct LimiterState {
    limiter: Limiter,
    addresses: HashMap<NodeId, SocketAddr>,
    waiters: HashMap<Ticket, oneshot::Sender<AdmissionDecision>>,
    next_ticket: u64,
}

/// A request that waits for its decision; dropping this cancels the request in
/// the limiter.
struct WaitingRequest<'a> {
    limiter: &'a SharedLimiter,
    ticket: Ticket,
    account: AccountId,
}

impl SharedLimiter {
    /// Creates the limiter of the entry `name`, and the queue of messages to
    /// send to other entries.
    pub fn new(
        name: &str,
        incarnation: ProcessIncarnation,
    ) -> (Self, mpsc::UnboundedReceiver<QueuedMessage>) {
        let (outbox, queue) = mpsc::unbounded_channel();
        let origin = Origin {
            node: NodeId::from_name(name),
            incarnation,
        };
        let parameters = ShareParameters::default();
        // The zone is set together with the live entries. The id seed is drawn
        // from the lower half of its range, so that ids do not wrap around.
        let limiter = Limiter::new(origin, 0, parameters, rand::random::<u64>() >> 1);
        let shared = Self {
            origin,
            started_at: Instant::now(),
            state: Mutex::new(LimiterState {
                limiter,
                addresses: HashMap::new(),
                waiters: HashMap::new(),
                next_ticket: 0,
            }),
            outbox,
        };
        (shared, queue)
    }

    /// Returns the identity of this entry as a sender of messages.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    /// Returns the time on the limiter's clock, which starts at zero when the
    /// limiter is created.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.started_at.elapsed()
    }

    /// Waits for the decision on a request of `tokens`: admitted, refused, or
    /// too large for the account's burst.
    pub async fn admit(&self, account: &AccountName, tokens: u64) -> AdmissionDecision {
        let account = AccountId::from_name(account);
        let (ticket, decision_rx) = {
            let mut state = self.lock();
            state.next_ticket += 1;
            let ticket = Ticket(state.next_ticket);
            let now = self.now();
            if let Some(decision) = state.limiter.admit(ticket, account, tokens, now) {
                self.flush_output(&mut state);
                return decision;
            }
            let (tx, rx) = oneshot::channel();
            state.waiters.insert(ticket, tx);
            self.flush_output(&mut state);
            (ticket, rx)
        };
        let waiting = WaitingRequest {
            limiter: self,
            ticket,
            account,
        };
        let decision = decision_rx.await;
        drop(waiting);
        // The sender is dropped without a decision only together with the
        // limiter, so this outcome is never seen.
        decision.unwrap_or(AdmissionDecision::TooLarge)
    }

    /// Corrects a charge to the tokens that the request used.
    pub fn settle(&self, charge: Charge, used: u64) {
        self.update(|limiter, now| limiter.settle(charge, used, now));
    }

    /// Applies the rates and bursts of a rule set.
    pub fn apply_rules(&self, rules: &RuleSet) {
        let allowances: BTreeMap<AccountId, Allowance> = rules
            .accounts
            .values()
            .map(|account| {
                let allowance = Allowance {
                    rate: account.rate,
                    burst: account.burst,
                };
                (AccountId::from_name(&account.name), allowance)
            })
            .collect();
        self.update(|limiter, now| limiter.set_allowances(allowances, now));
    }

    /// Sets which entries are live: this one in `zone`, and `others` with their
    /// zones and peer addresses.
    pub fn set_live_entries(&self, zone: u16, others: &[(LiveEntry, SocketAddr)]) {
        let own_entry = LiveEntry {
            node: self.origin.node,
            zone,
        };
        let peers = others.iter().map(|(peer, _)| *peer);
        let live_entries = LiveEntries::new(peers.chain([own_entry]).collect());
        let mut state = self.lock();
        state.addresses = others
            .iter()
            .map(|(peer, address)| (peer.node, *address))
            .collect();
        state.limiter.set_zone(zone);
        state.limiter.set_live_entries(live_entries);
        self.flush_output(&mut state);
    }

    /// Runs an operation on the limiter, then delivers the decisions and queues
    /// the messages that result from it.
    pub fn update<T>(&self, operation: impl FnOnce(&mut Limiter, MonotonicTime) -> T) -> T {
        let mut state = self.lock();
        let result = operation(&mut state.limiter, self.now());
        self.flush_output(&mut state);
        result
    }

    /// Handles messages of another entry, and returns the messages for that
    /// entry. Messages for others are queued.
    pub fn receive(&self, from: Origin, messages: Vec<ShareMessage>) -> Vec<ShareMessage> {
        let mut state = self.lock();
        // Sends earlier messages separately, so that they are not mixed with
        // the replies.
        self.flush_output(&mut state);
        for message in messages {
            state.limiter.receive(from, message, self.now());
        }
        let outgoing = state.limiter.take_outgoing();
        let (replies, others): (Vec<OutgoingMessage>, Vec<OutgoingMessage>) = outgoing
            .into_iter()
            .partition(|outgoing| outgoing.to == from.node);
        self.enqueue(&state, others);
        self.flush_output(&mut state);
        replies.into_iter().map(|reply| reply.message).collect()
    }

    /// Handles the messages in the response to a call to another entry.
    pub fn receive_reply(&self, from: Origin, messages: Vec<ShareMessage>) {
        self.update(|limiter, now| {
            for message in messages {
                limiter.receive(from, message, now);
            }
        });
    }

    /// Sends new decisions to the requests that wait for them, and queues
    /// outgoing messages. A charge is given back if its request no longer
    /// waits.
    fn flush_output(&self, state: &mut LimiterState) {
        let now = self.now();
        for (ticket, decision) in state.limiter.take_decisions() {
            let waiter = state.waiters.remove(&ticket);
            let is_abandoned = waiter.is_none_or(|waiter| waiter.send(decision).is_err());
            if let AdmissionDecision::Admitted(charge) = decision
                && is_abandoned
            {
                state.limiter.settle(charge, 0, now);
            }
        }
        let outgoing = state.limiter.take_outgoing();
        self.enqueue(state, outgoing);
    }

    /// Queues messages. Those for entries that are not live are dropped: the
    /// protocol tolerates lost messages.
    fn enqueue(&self, state: &LimiterState, outgoing: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, message } in outgoing {
            if let Some(address) = state.addresses.get(&to).copied() {
                let queued = QueuedMessage {
                    node: to,
                    address,
                    message,
                };
                // Fails during shutdown, once the thread that sends the queued
                // messages has ended.
                let _ = self.outbox.send(queued);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, LimiterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        let mut state = self.limiter.lock();
        if state.waiters.remove(&self.ticket).is_some() {
            state.limiter.cancel(self.ticket, self.account);
        }
    }
}
