//! The limiter of this entry, as its threads use it.

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

/// A message to another entry, and its peer address.
#[derive(Debug)]
pub struct Posted {
    /// Entry that it is for.
    pub node: NodeId,
    /// Its peer address.
    pub address: SocketAddr,
    /// The message.
    pub message: ShareMessage,
}

/// The limiter of this entry, as its threads use it. Each call is short and
/// holds a lock.
#[derive(Debug)]
pub struct Shares {
    origin: Origin,
    started: Instant,
    state: Mutex<State>,
    posted: mpsc::UnboundedSender<Posted>,
}

#[derive(Debug)]
struct State {
    limiter: Limiter,
    addresses: HashMap<NodeId, SocketAddr>,
    waiters: HashMap<Ticket, oneshot::Sender<AdmissionDecision>>,
    next_ticket: u64,
}

/// A request that waits; dropping it withdraws the request.
struct Place<'a> {
    shares: &'a Shares,
    ticket: Ticket,
    account: AccountId,
}

impl Shares {
    /// Creates the limiter of an entry, and the queue of messages that it
    /// wants sent.
    pub fn new(name: &str, run: ProcessIncarnation) -> (Self, mpsc::UnboundedReceiver<Posted>) {
        let (posted, queue) = mpsc::unbounded_channel();
        let origin = Origin {
            node: NodeId::from_name(name),
            incarnation: run,
        };
        let terms = ShareParameters::default();
        let limiter = Limiter::new(origin, 0, terms, rand::random::<u64>() >> 1);
        let shares = Self {
            origin,
            started: Instant::now(),
            state: Mutex::new(State {
                limiter,
                addresses: HashMap::new(),
                waiters: HashMap::new(),
                next_ticket: 0,
            }),
            posted,
        };
        (shares, queue)
    }

    /// Returns who sends the messages of this entry.
    pub fn origin(&self) -> Origin {
        self.origin
    }

    /// Returns the time on the clock that shares are measured by.
    pub fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.started.elapsed()
    }

    /// Waits until a request of an account may run, or is refused.
    pub async fn admit(&self, account: &AccountName, tokens: u64) -> AdmissionDecision {
        let account = AccountId::from_name(account);
        let (ticket, verdict) = {
            let mut state = self.lock();
            state.next_ticket += 1;
            let ticket = Ticket(state.next_ticket);
            let now = self.now();
            if let Some(verdict) = state.limiter.admit(ticket, account, tokens, now) {
                self.flush(&mut state);
                return verdict;
            }
            let (tx, rx) = oneshot::channel();
            state.waiters.insert(ticket, tx);
            self.flush(&mut state);
            (ticket, rx)
        };
        let place = Place {
            shares: self,
            ticket,
            account,
        };
        let verdict = verdict.await;
        drop(place);
        // The sender is dropped only with the limiter itself.
        verdict.unwrap_or(AdmissionDecision::TooLarge)
    }

    /// Settles a charge to the tokens that were used.
    pub fn settle(&self, charge: Charge, used: u64) {
        self.change(|limiter, now| limiter.settle(charge, used, now));
    }

    /// Takes over the allowances of a rule set.
    pub fn set_rules(&self, rules: &RuleSet) {
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
        self.change(|limiter, now| limiter.set_allowances(allowances, now));
    }

    /// Takes over which entries live: this one, and others with their zones
    /// and peer addresses.
    pub fn set_entries(&self, zone: u16, others: &[(LiveEntry, SocketAddr)]) {
        let own = LiveEntry {
            node: self.origin.node,
            zone,
        };
        let peers = others.iter().map(|(peer, _)| *peer);
        let roster = LiveEntries::new(peers.chain([own]).collect());
        let mut state = self.lock();
        state.addresses = others
            .iter()
            .map(|(peer, address)| (peer.node, *address))
            .collect();
        state.limiter.set_zone(zone);
        state.limiter.set_live_entries(roster);
        self.flush(&mut state);
    }

    /// Does something with the limiter and sends what follows from it.
    pub fn change<T>(&self, act: impl FnOnce(&mut Limiter, MonotonicTime) -> T) -> T {
        let mut state = self.lock();
        let result = act(&mut state.limiter, self.now());
        self.flush(&mut state);
        result
    }

    /// Handles messages of another entry, and returns those that answer it.
    pub fn receive(&self, from: Origin, messages: Vec<ShareMessage>) -> Vec<ShareMessage> {
        let mut state = self.lock();
        self.flush(&mut state);
        for message in messages {
            state.limiter.receive(from, message, self.now());
        }
        let outgoing = state.limiter.take_outgoing();
        let (answers, others): (Vec<OutgoingMessage>, Vec<OutgoingMessage>) = outgoing
            .into_iter()
            .partition(|outgoing| outgoing.to == from.node);
        self.post(&state, others);
        self.flush(&mut state);
        answers.into_iter().map(|answer| answer.message).collect()
    }

    /// Handles the messages that answer a call to another entry.
    pub fn receive_reply(&self, from: Origin, messages: Vec<ShareMessage>) {
        self.change(|limiter, now| {
            for message in messages {
                limiter.receive(from, message, now);
            }
        });
    }

    /// Hands verdicts to those who wait, and messages to the queue.
    fn flush(&self, state: &mut State) {
        let now = self.now();
        for (ticket, verdict) in state.limiter.take_decisions() {
            let waiter = state.waiters.remove(&ticket);
            let unheard = waiter.is_none_or(|waiter| waiter.send(verdict).is_err());
            if let AdmissionDecision::Admitted(charge) = verdict
                && unheard
            {
                state.limiter.settle(charge, 0, now);
            }
        }
        let outgoing = state.limiter.take_outgoing();
        self.post(state, outgoing);
    }

    fn post(&self, state: &State, outgoing: Vec<OutgoingMessage>) {
        for OutgoingMessage { to, message } in outgoing {
            if let Some(address) = state.addresses.get(&to).copied() {
                let posted = Posted {
                    node: to,
                    address,
                    message,
                };
                // The queue ends with the control thread; then nobody is
                // there to send.
                let _ = self.posted.send(posted);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut state = self.shares.lock();
        if state.waiters.remove(&self.ticket).is_some() {
            state.limiter.cancel(self.ticket, self.account);
        }
    }
}

/// Time between two rounds of the limiter.
pub const TICK: Duration = Duration::from_millis(50);
