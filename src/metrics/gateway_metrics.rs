//! Figures of a gateway.

use std::fmt;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::PREFIX;
use super::write_registry;

/// Upper bounds of the buckets of times, in seconds.
const TIME_BUCKETS_S: [f64; 10] = [0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.6, 1.2, 3.0, 12.0];

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

/// Figures of a gateway.
pub struct GatewayMetrics {
    registry: Registry,
    calls: Family<OutcomeLabels, Counter>,
    first_event: Histogram,
    whole: Histogram,
    version: Gauge,
}

impl GatewayMetrics {
    /// Creates figures of which nothing has been counted.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let calls = Family::<OutcomeLabels, Counter>::default();
        let first_event = Histogram::new(TIME_BUCKETS_S);
        let whole = Histogram::new(TIME_BUCKETS_S);
        let version = Gauge::default();
        registry.register("calls", "Calls by outcome", calls.clone());
        registry.register(
            "first_event_seconds",
            "Time from a call's head to the first event of its answer",
            first_event.clone(),
        );
        registry.register(
            "call_seconds",
            "Time from a call's head to the end of its answer",
            whole.clone(),
        );
        registry.register(
            "configuration_version",
            "Version of the configuration in force",
            version.clone(),
        );
        Self {
            registry,
            calls,
            first_event,
            whole,
            version,
        }
    }

    /// Counts a call that has ended.
    pub fn count_call(&self, outcome: &'static str, passed: Duration) {
        self.calls.get_or_create(&OutcomeLabels { outcome }).inc();
        self.whole.observe(passed.as_secs_f64());
    }

    /// Counts the first event of a stream.
    pub fn count_first_event(&self, passed: Duration) {
        self.first_event.observe(passed.as_secs_f64());
    }

    /// Writes the figures in the OpenMetrics text format.
    pub fn write(&self, version: u64) -> String {
        self.version.set(i64::try_from(version).unwrap_or(i64::MAX));
        write_registry(&self.registry)
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for GatewayMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayMetrics").finish_non_exhaustive()
    }
}
