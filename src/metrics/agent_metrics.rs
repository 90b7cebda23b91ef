//! Metrics of an agent.

use std::fmt;

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::PREFIX;
use super::encode_registry;
use crate::core::Revision;

/// Metrics of an agent. All are gauges, set when they are read.
pub struct AgentMetrics {
    registry: Registry,
    running_requests: Gauge,
    rules_revision: Gauge,
}

impl AgentMetrics {
    /// Registers the metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let running_requests = Gauge::default();
        registry.register(
            "running_requests",
            "Requests running at the backend server",
            running_requests.clone(),
        );
        let rules_revision = Gauge::default();
        registry.register(
            "rules_revision",
            "Revision of the rules in force",
            rules_revision.clone(),
        );
        Self {
            registry,
            running_requests,
            rules_revision,
        }
    }

    /// Sets the gauges and encodes them in the OpenMetrics text format.
    pub fn encode(&self, running_requests: u32, rules_revision: Revision) -> String {
        self.running_requests.set(i64::from(running_requests));
        let revision = i64::try_from(rules_revision.0).unwrap_or(i64::MAX);
        self.rules_revision.set(revision);
        encode_registry(&self.registry)
    }
}

impl Default for AgentMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for AgentMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AgentMetrics").finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn encode_running_requests() {
        let text = AgentMetrics::new().encode(3, Revision(2));
        assert!(text.contains("teaseldrum_running_requests 3"), "{text}");
    }
}
