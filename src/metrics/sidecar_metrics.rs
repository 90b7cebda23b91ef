//! Metrics of a sidecar.

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

/// Upper bounds of the report time histogram's buckets, in seconds. Reading a
/// report on the same host takes about a millisecond.
const REPORT_BUCKETS_S: [f64; 6] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.5];

/// Labels of the counters of reports and orders.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

/// Metrics of a sidecar.
pub struct SidecarMetrics {
    registry: Registry,
    reports: Family<OutcomeLabels, Counter>,
    report_time: Histogram,
    orders: Family<OutcomeLabels, Counter>,
    updates: Counter,
    is_alive: Gauge,
    is_accepting: Gauge,
}

impl SidecarMetrics {
    /// Registers the metrics, all at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let reports = Family::<OutcomeLabels, Counter>::default();
        let report_time = Histogram::new(REPORT_BUCKETS_S);
        let orders = Family::<OutcomeLabels, Counter>::default();
        let (updates, is_alive, is_accepting) =
            (Counter::default(), Gauge::default(), Gauge::default());
        registry.register("reports", "Engine reports by outcome", reports.clone());
        registry.register(
            "report_seconds",
            "Time from a request for a report to the engine's response",
            report_time.clone(),
        );
        registry.register("orders", "Orders to the engine by outcome", orders.clone());
        registry.register("news", "Updates sent to entries", updates.clone());
        registry.register(
            "engine_alive",
            "Whether the engine responds (1 or 0)",
            is_alive.clone(),
        );
        registry.register(
            "engine_accepting",
            "Whether the engine accepts new calls (1 or 0)",
            is_accepting.clone(),
        );
        Self {
            registry,
            reports,
            report_time,
            orders,
            updates,
            is_alive,
            is_accepting,
        }
    }

    /// Counts a report that the engine sent, and records the time it took.
    pub fn count_report(&self, elapsed: Duration, is_accepting: bool) {
        self.reports
            .get_or_create(&OutcomeLabels { outcome: "read" })
            .inc();
        self.report_time.observe(elapsed.as_secs_f64());
        self.is_alive.set(1);
        self.is_accepting.set(i64::from(is_accepting));
    }

    /// Counts a report that failed. `is_alive` tells whether the engine is still
    /// considered alive, as after a single failure.
    pub fn count_report_failure(&self, is_alive: bool) {
        self.reports
            .get_or_create(&OutcomeLabels { outcome: "failed" })
            .inc();
        self.is_alive.set(i64::from(is_alive));
    }

    /// Counts an order sent to the engine.
    pub fn count_order(&self, outcome: &'static str) {
        self.orders.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts an update sent to an entry.
    pub fn count_update(&self) {
        self.updates.inc();
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        encode_registry(&self.registry)
    }
}

impl Default for SidecarMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for SidecarMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SidecarMetrics").finish_non_exhaustive()
    }
}
