//! Calls that wait in an entry for servers with room.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::AdmissionDecision;
use super::Candidates;
use super::OfferedCall;
use super::ServiceDemand;
use super::account_weights::AccountWeights;
use super::service_queue::ServiceQueue;
use crate::core::AccountName;
use crate::core::MonotonicTime;
use crate::core::fleet::AccountRule;

/// Time without a message after which a peer's share lapses. In a large fleet, where
/// exchanges are rarer, it is two intervals.
const PEER_LIFETIME: Duration = Duration::from_secs(1);

/// Bits of a ticket that count the calls of one service.
const TICKET_BITS: u32 = 48;

/// Names a waiting call; unique in the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AdmissionTicket(pub(super) u64);

/// Figures of one service for metrics.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionGauges {
    /// Name of the service.
    pub service: String,
    /// Number of waiting calls.
    pub waiting: usize,
    /// Other entries with demand for the service.
    pub peers: usize,
    /// Mean absolute error of the predicted time to first token.
    pub prediction_error: Duration,
    /// Mean time by which first tokens came later than predicted.
    pub prediction_lateness: Duration,
}

/// Calls that wait in an entry for servers with room, by service.
#[derive(Debug)]
pub struct AdmissionQueue {
    own_hash: u64,
    entry_count: usize,
    weights: AccountWeights,
    services: BTreeMap<String, ServiceQueue>,
    is_stopping: bool,
}

impl AdmissionQueue {
    /// Creates the queue of the entry `name`.
    pub fn new(name: &str) -> Self {
        Self {
            own_hash: xxh3_64(name.as_bytes()),
            entry_count: 1,
            weights: AccountWeights::default(),
            services: BTreeMap::new(),
            is_stopping: false,
        }
    }

    /// Sets the configured accounts, whose rates are the weights of their calls.
    pub fn set_accounts(&mut self, rules: &[AccountRule]) {
        self.weights = AccountWeights::new(rules);
    }

    /// Returns the weight of an account, or of callers without one.
    pub fn weight_of(&self, account: Option<&AccountName>) -> u32 {
        self.weights.get(account)
    }

    /// Decides on a call that is new here.
    pub fn offer(
        &mut self,
        service: &str,
        call: OfferedCall,
        candidates: &mut Candidates<'_>,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        let is_stopping = self.is_stopping;
        self.service_mut(service)
            .offer(call, candidates, is_stopping, now)
    }

    /// Decides on a call that waits, when there may be room for it.
    pub fn look(
        &mut self,
        service: &str,
        ticket: AdmissionTicket,
        candidates: &mut Candidates<'_>,
        now: MonotonicTime,
    ) -> AdmissionDecision {
        self.service_mut(service).look(ticket, candidates, now)
    }

    /// Removes a waiting call, such as one whose caller has left.
    pub fn release(&mut self, service: &str, ticket: AdmissionTicket) {
        self.service_mut(service).release(ticket);
    }

    /// Refuses calls that cannot start in time any more, and forgets peers that are
    /// silent. `entry_count` is the number of entries, including this one, and
    /// `exchange_interval` the time between two messages of a peer.
    pub fn expire(&mut self, entry_count: usize, exchange_interval: Duration, now: MonotonicTime) {
        self.entry_count = entry_count;
        let lifetime = PEER_LIFETIME.max(exchange_interval * 2);
        for queue in self.services.values_mut() {
            queue.entry_count = entry_count;
            queue.expire(lifetime, now);
        }
    }

    /// Refuses all waiting calls, and later ones that would have to wait.
    pub fn stop(&mut self, now: MonotonicTime) {
        self.is_stopping = true;
        for queue in self.services.values_mut() {
            queue.stop(now);
        }
    }

    /// Returns the calls to be looked at now, in this order: the first ones of each
    /// priority, and those that were refused while they waited.
    pub fn list_front(&self, now: MonotonicTime) -> Vec<(&str, AdmissionTicket)> {
        let mut front = Vec::new();
        for (service, queue) in &self.services {
            let tickets = queue.front(now).into_iter();
            front.extend(tickets.map(|ticket| (service.as_str(), ticket)));
        }
        front
    }

    /// Records the predicted and observed time to first token of a call.
    pub fn observe_start(
        &mut self,
        service: &str,
        predicted: Duration,
        observed: Duration,
        now: MonotonicTime,
    ) {
        let queue = self.service_mut(service);
        queue.error.observe(predicted, observed, now);
    }

    /// Returns the work that calls ask for at this entry, to be told to other entries;
    /// empty unless calls have found no room lately.
    pub fn build_demand(&self, now: MonotonicTime) -> Vec<ServiceDemand> {
        let services = self.services.iter();
        let demand = services.map(|(service, queue)| ServiceDemand {
            service: service.clone(),
            work_ms: queue.demand(now),
        });
        demand.filter(|demand| !demand.work_ms.is_empty()).collect()
    }

    /// Replaces what is known of the demand at another entry.
    pub fn record_demand(&mut self, peer: &str, demand: Vec<ServiceDemand>, now: MonotonicTime) {
        let peer = xxh3_64(peer.as_bytes());
        for queue in self.services.values_mut() {
            queue.shares.remove(peer);
        }
        for service in demand {
            let queue = self.service_mut(&service.service);
            queue.shares.record(peer, service.work_ms, now);
        }
    }

    /// Returns whether no call waits or is to be told that it is refused.
    pub fn is_idle(&self) -> bool {
        self.services.values().all(ServiceQueue::is_idle)
    }

    /// Returns the number of waiting calls.
    pub fn count_waiting(&self) -> usize {
        self.services.values().map(ServiceQueue::len).sum()
    }

    /// Returns the figures of all services for metrics.
    pub fn read_gauges(&self, now: MonotonicTime) -> Vec<AdmissionGauges> {
        let services = self.services.iter();
        let gauges = services.map(|(service, queue)| AdmissionGauges {
            service: service.clone(),
            waiting: queue.len(),
            peers: queue.shares.count(),
            prediction_error: queue.error.absolute(now),
            prediction_lateness: queue.error.lateness(now),
        });
        gauges.collect()
    }

    fn service_mut(&mut self, service: &str) -> &mut ServiceQueue {
        let (own_hash, entry_count) = (self.own_hash, self.entry_count);
        let first_ticket = (self.services.len() as u64) << TICKET_BITS;
        self.services
            .entry(service.to_owned())
            .or_insert_with(|| ServiceQueue::new(own_hash, entry_count, first_ticket))
    }
}
