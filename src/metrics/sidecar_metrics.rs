//! Figures of a sidecar.

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

/// Upper bounds of the buckets of a report's time, in seconds: a report on
/// the same host takes about a millisecond.
const REPORT_BUCKETS_S: [f64; 6] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.5];

/// How something ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

/// Figures of a sidecar.
pub struct SidecarMetrics {
    registry: Registry,
    reports: Family<OutcomeLabels, Counter>,
    report_time: Histogram,
    orders: Family<OutcomeLabels, Counter>,
    news: Counter,
    is_alive: Gauge,
    is_accepting: Gauge,
}

impl SidecarMetrics {
    /// Creates figures of which nothing has been counted.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix(PREFIX);
        let reports = Family::<OutcomeLabels, Counter>::default();
        let report_time = Histogram::new(REPORT_BUCKETS_S);
        let orders = Family::<OutcomeLabels, Counter>::default();
        let (news, is_alive, is_accepting) =
            (Counter::default(), Gauge::default(), Gauge::default());
        registry.register("reports", "Engine reports by outcome", reports.clone());
        registry.register(
            "report_seconds",
            "Time from the question for a report to the engine's answer",
            report_time.clone(),
        );
        registry.register("orders", "Orders to the engine by outcome", orders.clone());
        registry.register("news", "News told to entries", news.clone());
        registry.register("engine_alive", "The engine answers", is_alive.clone());
        registry.register(
            "engine_accepting",
            "The engine takes new calls",
            is_accepting.clone(),
        );
        Self {
            registry,
            reports,
            report_time,
            orders,
            news,
            is_alive,
            is_accepting,
        }
    }

    /// Counts a report that the engine gave, and its time.
    pub fn count_report(&self, passed: Duration, is_accepting: bool) {
        self.reports
            .get_or_create(&OutcomeLabels { outcome: "read" })
            .inc();
        self.report_time.observe(passed.as_secs_f64());
        self.is_alive.set(1);
        self.is_accepting.set(i64::from(is_accepting));
    }

    /// Counts a report that did not come; `is_alive` tells whether the engine
    /// still counts as alive.
    pub fn count_report_failure(&self, is_alive: bool) {
        self.reports
            .get_or_create(&OutcomeLabels { outcome: "failed" })
            .inc();
        self.is_alive.set(i64::from(is_alive));
    }

    /// Counts an order.
    pub fn count_order(&self, outcome: &'static str) {
        self.orders.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts an answer to an entry.
    pub fn count_update(&self) {
        self.news.inc();
    }

    /// Writes the figures in the OpenMetrics text format.
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
