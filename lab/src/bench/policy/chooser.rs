//! Policy of one entry, with its own partial view.

use teaseldrum::core::LoadReport;
use teaseldrum::core::MonotonicTime;

use super::consistent_hash::ConsistentHash;
use super::least_loaded::LeastLoaded;
use super::policy_name::PolicyName;
use super::round_robin::RoundRobin;
use super::teaseldrum_policy::TeaseldrumPolicy;
use super::trace::TracedRequest;
use super::workload::Sizes;

/// News of a server's load.
#[derive(Debug, Clone, Copy)]
pub struct LoadNews {
    /// Number of the server.
    pub server: usize,
    /// Run of its engine.
    pub engine: u64,
    /// Its load.
    pub load: LoadReport,
}

/// Policy of one entry.
#[derive(Debug)]
pub enum Chooser {
    /// See [`PolicyName::Teaseldrum`].
    Teaseldrum(Box<TeaseldrumPolicy>),
    /// See [`PolicyName::RoundRobin`].
    RoundRobin(RoundRobin),
    /// See [`PolicyName::LeastLoaded`].
    LeastLoaded(LeastLoaded),
    /// See [`PolicyName::ConsistentHash`] and [`PolicyName::PlainHash`].
    ConsistentHash(ConsistentHash),
}

impl Chooser {
    /// Creates the policy of an entry that has just started.
    pub fn new(policy: PolicyName, sizes: &Sizes, entry: usize) -> Self {
        match policy {
            PolicyName::Teaseldrum => {
                Self::Teaseldrum(Box::new(TeaseldrumPolicy::new(sizes, entry)))
            }
            PolicyName::RoundRobin => Self::RoundRobin(RoundRobin::new(sizes.servers, entry)),
            PolicyName::LeastLoaded => Self::LeastLoaded(LeastLoaded::new(sizes.servers)),
            PolicyName::ConsistentHash => {
                Self::ConsistentHash(ConsistentHash::new(sizes.servers, true))
            }
            PolicyName::PlainHash => {
                Self::ConsistentHash(ConsistentHash::new(sizes.servers, false))
            }
        }
    }

    /// Chooses a server and counts the attempt there.
    pub fn begin(
        &mut self,
        request: &TracedRequest,
        tried: &[usize],
        now: MonotonicTime,
    ) -> Option<usize> {
        match self {
            Self::Teaseldrum(policy) => policy.begin(request, tried, now),
            Self::RoundRobin(policy) => policy.begin(tried, now),
            Self::LeastLoaded(policy) => policy.begin(tried, now),
            Self::ConsistentHash(policy) => policy.begin(request, tried, now),
        }
    }

    /// Takes note that an attempt ended.
    pub fn end(&mut self, server: usize) {
        match self {
            Self::Teaseldrum(policy) => policy.end(server),
            Self::RoundRobin(_) => {}
            Self::LeastLoaded(policy) => policy.view.end(server),
            Self::ConsistentHash(policy) => policy.view.end(server),
        }
    }

    /// Takes note that a server did not answer, or lost an attempt.
    pub fn fail(&mut self, server: usize, request: &TracedRequest, now: MonotonicTime) {
        self.end(server);
        match self {
            Self::Teaseldrum(policy) => policy.fail(server, request, now),
            Self::RoundRobin(policy) => policy.down.mark(server, now),
            Self::LeastLoaded(policy) => policy.view.down.mark(server, now),
            Self::ConsistentHash(policy) => policy.view.down.mark(server, now),
        }
    }

    /// Takes note of a server's load.
    pub fn learn(&mut self, news: &LoadNews, now: MonotonicTime) {
        match self {
            Self::Teaseldrum(policy) => policy.learn(news, now),
            Self::RoundRobin(policy) => policy.down.clear(news.server),
            Self::LeastLoaded(policy) => policy.view.learn(news),
            Self::ConsistentHash(policy) => policy.view.learn(news),
        }
    }
}
