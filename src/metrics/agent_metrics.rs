//! Figures of an agent.

use std::fmt;

use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::PREFIX;
use super::encode_registry;
use crate::core::Revision;

/// Figures of an agent.
pub struct AgentMetrics {
    registry: Registry,
    running: Gauge,
    revision: Gauge,
}

impl AgentMetrics {
    /// Creates figures of an agent that has started.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let running = Gauge::default();
        registry.register(
            "running_requests",
            "Requests that the backend server runs",
            running.clone(),
        );
        let revision = Gauge::default();
        registry.register(
            "rules_revision",
            "Rules revision in force",
            revision.clone(),
        );
        Self {
            registry,
            running,
            revision,
        }
    }

    /// Writes the figures in the OpenMetrics text format.
    pub fn encode(&self, running: u32, revision: Revision) -> String {
        self.running.set(i64::from(running));
        let revision = i64::try_from(revision.0).unwrap_or(i64::MAX);
        self.revision.set(revision);
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
