//! One route of a configuration.

use std::time::Duration;

use super::CallKind;

/// One route of a configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Name, for logs.
    pub name: String,
    /// Host name that callers address.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: CallKind,
    /// Longest time that a caller is kept waiting for a whole answer.
    pub timeout: Duration,
    /// Time to an answer, or to the first event, that callers aim at.
    pub latency_objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that calls go to, by weight; at least one.
    pub targets: Vec<WeightedService>,
    /// Most servers on which one call may run.
    pub max_attempts: u32,
    /// Callers need no key.
    pub allows_anonymous: bool,
}

/// A service that takes a share of a route's calls.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Share of the calls, relative to the others' weights.
    pub weight: u32,
}

impl RouteRule {
    /// Chooses the service of a call by a number drawn evenly.
    pub fn pick_service(&self, draw: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|t| t.service.as_str());
        }
        let mut left = draw % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if left < weight {
                return Some(&target.service);
            }
            left -= weight;
        }
        None
    }
}
