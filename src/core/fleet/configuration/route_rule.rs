//! Configured route: host name, path prefix, target services, timeouts and
//! retry rules.

use std::time::Duration;

use crate::core::fleet::CallKind;

/// A route from a host name and path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Name used in logs.
    pub name: String,
    /// Host name in the caller's request.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Retry semantics of its calls.
    pub kind: CallKind,
    /// Maximum time until the answer is complete.
    pub timeout: Duration,
    /// Target time to the answer, or to the first event of a stream.
    pub latency_objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that receive the calls, by weight; at least one.
    pub targets: Vec<WeightedService>,
    /// Maximum number of servers that one call may run on.
    pub max_attempts: u32,
    /// Whether callers need no API key.
    pub allows_anonymous: bool,
}

/// A service that receives a share of a route's calls.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

impl RouteRule {
    /// Chooses a service by weight, from a uniformly distributed random number.
    /// If all weights are 0, returns the first service.
    pub fn pick_service(&self, random: u64) -> Option<&str> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if total == 0 {
            return self.targets.first().map(|t| t.service.as_str());
        }
        let mut remaining = random % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if remaining < weight {
                return Some(&target.service);
            }
            remaining -= weight;
        }
        None
    }
}
