//! Policy of one entry, with its own partial view.

use teaseldrum::core::LoadReport;
use teaseldrum::core::MonotonicTime;

use super::consistent_hash::ConsistentHash;
use super::least_loaded::LeastLoaded;
use super::policy_name::PolicyName;
use super::round_robin::RoundRobin;
use super::teaseldrum_policy::TeaseldrumPolicy;
use super::trace::TracedRequest;
use super::workload::WorkloadParameters;

/// News of a server's load.
#[derive(Debug, Clone, Copy)]
pub struct LoadUpdate {
    /// Number of the server.
    pub server: usize,
    /// Run of its engine.
    pub engine: u64,
    /// Its load.
    pub load: LoadReport,
}

/// Policy of one entry.
#[derive(Debug)]
pub enum ServerSelector {
    /// See [`PolicyName::Teaseldrum`].
    Teaseldrum(Box<TeaseldrumPolicy>),
    /// See [`PolicyName::RoundRobin`].
    RoundRobin(RoundRobin),
    /// See [`PolicyName::LeastLoaded`].
    LeastLoaded(LeastLoaded),
    /// See [`PolicyName::ConsistentHash`] and [`PolicyName::PlainConsistentHash`].
    ConsistentHash(ConsistentHash),
}

impl ServerSelector {
    /// Creates the policy of an entry that has just started.
    pub fn new(policy: PolicyName, parameters: &WorkloadParameters, entry: usize) -> Self {
        match policy {
            PolicyName::Teaseldrum => {
                Self::Teaseldrum(Box::new(TeaseldrumPolicy::new(parameters, entry)))
            }
            PolicyName::RoundRobin => Self::RoundRobin(RoundRobin::new(parameters.servers, entry)),
            PolicyName::LeastLoaded => Self::LeastLoaded(LeastLoaded::new(parameters.servers)),
            PolicyName::ConsistentHash => {
                Self::ConsistentHash(ConsistentHash::new(parameters.servers, true))
            }
            PolicyName::PlainConsistentHash => {
                Self::ConsistentHash(ConsistentHash::new(parameters.servers, false))
            }
        }
    }

    /// Chooses a server and counts the attempt there.
    pub fn select(
        &mut self,
        request: &TracedRequest,
        tried: &[usize],
        now: MonotonicTime,
    ) -> Option<usize> {
        match self {
            Self::Teaseldrum(policy) => policy.select(request, tried, now),
            Self::RoundRobin(policy) => policy.select(tried, now),
            Self::LeastLoaded(policy) => policy.select(tried, now),
            Self::ConsistentHash(policy) => policy.select(request, tried, now),
        }
    }

    /// Takes note that an attempt ended.
    pub fn record_end(&mut self, server: usize) {
        match self {
            Self::Teaseldrum(policy) => policy.record_attempt_end(server),
            Self::RoundRobin(_) => {}
            Self::LeastLoaded(policy) => policy.loads.record_end(server),
            Self::ConsistentHash(policy) => policy.loads.record_end(server),
        }
    }

    /// Takes note that a server did not answer, or lost an attempt.
    pub fn record_failure(&mut self, server: usize, request: &TracedRequest, now: MonotonicTime) {
        self.record_end(server);
        match self {
            Self::Teaseldrum(policy) => policy.record_failure(server, request, now),
            Self::RoundRobin(policy) => policy.unreachable.mark(server, now),
            Self::LeastLoaded(policy) => policy.loads.unreachable.mark(server, now),
            Self::ConsistentHash(policy) => policy.loads.unreachable.mark(server, now),
        }
    }

    /// Takes note of a server's load.
    pub fn observe_load(&mut self, update: &LoadUpdate, now: MonotonicTime) {
        match self {
            Self::Teaseldrum(policy) => policy.observe_load(update, now),
            Self::RoundRobin(policy) => policy.unreachable.clear(update.server),
            Self::LeastLoaded(policy) => policy.loads.observe_load(update),
            Self::ConsistentHash(policy) => policy.loads.observe_load(update),
        }
    }
}
