//! Selects a server for each attempt, with the policy and the view of one entry.

use teaseldrum::core::LoadReport;
use teaseldrum::core::MonotonicTime;

use super::consistent_hash::ConsistentHash;
use super::least_loaded::LeastLoaded;
use super::policy_name::PolicyName;
use super::round_robin::RoundRobin;
use super::teaseldrum_policy::TeaseldrumPolicy;
use super::trace::TracedRequest;
use super::workload::WorkloadParameters;

/// Load of a server, as an agent reports it to an entry.
#[derive(Debug, Clone, Copy)]
pub struct LoadUpdate {
    /// Index of the server.
    pub server: usize,
    /// Incarnation of its engine.
    pub engine: u64,
    /// Requests at the engine and, once the agent reports it to entries, in the
    /// agent's queue.
    pub load: LoadReport,
}

/// Policy of one entry and what the entry knows of the servers.
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
    /// Creates the policy of an entry that has just started and knows no load.
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

    /// Selects a server that is not in `tried` and counts the attempt there.
    /// Returns `None` if no server is left.
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

    /// Records that an attempt at a server ended.
    pub fn record_end(&mut self, server: usize) {
        match self {
            Self::Teaseldrum(policy) => policy.record_attempt_end(server),
            Self::RoundRobin(_) => {}
            Self::LeastLoaded(policy) => policy.loads.record_end(server),
            Self::ConsistentHash(policy) => policy.loads.record_end(server),
        }
    }

    /// Records that an attempt failed because its server was unreachable or
    /// crashed. The server is avoided for a while.
    pub fn record_failure(&mut self, server: usize, request: &TracedRequest, now: MonotonicTime) {
        self.record_end(server);
        match self {
            Self::Teaseldrum(policy) => policy.record_failure(server, request, now),
            Self::RoundRobin(policy) => policy.unreachable.mark(server, now),
            Self::LeastLoaded(policy) => policy.loads.unreachable.mark(server, now),
            Self::ConsistentHash(policy) => policy.loads.unreachable.mark(server, now),
        }
    }

    /// Records the load of a server, which is reachable again.
    pub fn observe_load(&mut self, update: &LoadUpdate, now: MonotonicTime) {
        match self {
            Self::Teaseldrum(policy) => policy.observe_load(update, now),
            Self::RoundRobin(policy) => policy.unreachable.clear(update.server),
            Self::LeastLoaded(policy) => policy.loads.observe_load(update),
            Self::ConsistentHash(policy) => policy.loads.observe_load(update),
        }
    }
}
