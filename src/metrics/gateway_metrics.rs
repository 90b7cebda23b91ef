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
use super::encode_registry;
use crate::logs::dropped_lines;

/// Upper bounds of the buckets of times, in seconds.
const TIME_BUCKETS_S: [f64; 10] = [0.01, 0.03, 0.06, 0.1, 0.2, 0.3, 0.6, 1.2, 3.0, 12.0];

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

/// What a belief is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct GaugeLabels {
    of: &'static str,
}

/// What a gateway counts on when its figures are read.
#[derive(Debug, Clone, Copy)]
pub struct GatewayGauges {
    /// Version of the configuration in force; zero without one.
    pub config_version: u64,
    /// Servers in the store.
    pub servers_listed: u64,
    /// Servers that may be sent calls now.
    pub servers_used: u64,
    /// Agents whose news are fresh.
    pub agents_heard: u64,
    /// Entries that share rates, this one included.
    pub entries: u64,
}

/// Figures of a gateway.
pub struct GatewayMetrics {
    registry: Registry,
    calls: Family<OutcomeLabels, Counter>,
    attempts: Family<OutcomeLabels, Counter>,
    repeats: Counter,
    lines_dropped: Gauge,
    beliefs: Family<GaugeLabels, Gauge>,
    first_event: Histogram,
    whole: Histogram,
    version: Gauge,
}

impl GatewayMetrics {
    /// Creates figures of which nothing has been counted.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let calls = Family::<OutcomeLabels, Counter>::default();
        let attempts = Family::<OutcomeLabels, Counter>::default();
        registry.register("attempts", "Sends to servers by outcome", attempts.clone());
        let repeats = Counter::default();
        registry.register(
            "repeats",
            "Sends beyond the first of a call that the operator's bound counts",
            repeats.clone(),
        );
        let lines_dropped = Gauge::default();
        registry.register(
            "log_lines_dropped",
            "Log lines that standard output did not take in time",
            lines_dropped.clone(),
        );
        let beliefs = Family::<GaugeLabels, Gauge>::default();
        registry.register(
            "beliefs",
            "What the gateway counts on: servers, agents heard lately, entries",
            beliefs.clone(),
        );
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
            attempts,
            repeats,
            lines_dropped,
            beliefs,
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

    /// Counts a send to a server.
    pub fn count_attempt(&self, outcome: &'static str) {
        self.attempts
            .get_or_create(&OutcomeLabels { outcome })
            .inc();
    }

    /// Counts a send that the bound on repeats allowed.
    pub fn count_retry(&self) {
        self.repeats.inc();
    }

    /// Counts the first event of a stream.
    pub fn observe_first_event(&self, passed: Duration) {
        self.first_event.observe(passed.as_secs_f64());
    }

    /// Writes the figures in the OpenMetrics text format.
    pub fn encode(&self, gauges: &GatewayGauges) -> String {
        let to_gauge = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.version.set(to_gauge(gauges.config_version));
        self.lines_dropped.set(to_gauge(dropped_lines()));
        for (of, count) in [
            ("servers_listed", gauges.servers_listed),
            ("servers_used", gauges.servers_used),
            ("agents_heard", gauges.agents_heard),
            ("entries", gauges.entries),
        ] {
            self.beliefs
                .get_or_create(&GaugeLabels { of })
                .set(to_gauge(count));
        }
        encode_registry(&self.registry)
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
